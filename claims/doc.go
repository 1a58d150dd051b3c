// Package claims lets a request that is not idempotent run at most once.
//
// # Algorithm
//
// Such a request carries an idempotency key, a UUIDv7 whose first 48 bits are
// its minting time m. The key has a home failure domain and a shard there. Each
// shard is owned by one member, chosen by rendezvous hashing over the roster that
// results from a prefix of the log. Before a call runs, its entry node claims the
// key from the shard's owner for one attempt. The owner grants a key to one
// attempt only, gives a repeated message of that attempt the same response, and
// frees the key only when the entry node reports that the attempt has not run
// and never will.
//
// Two members may believe at the same time that they own a shard. They are kept
// from granting the same key by comparing m with the range of their tenure, the
// period for which a member owns the shard:
//
//	low  = time at which the change that opened the tenure was applied + Margin + Skew
//	high = last confirmed contact before the change that ended it + Margin
//
// A contact with the log is the start of a read of its head that showed no
// later change. If two members both believe that they own a shard, rendezvous
// hashing always prefers the same one of them. So one member has applied a change
// that the other has not seen: the join of the preferred member or the end of the
// other. That change was appended after the other's last contact and before the
// first one's tenure began; hence the ranges do not overlap, on clocks that differ
// by at most Skew. The ranges are fixed numbers when a key is compared with them,
// so the argument holds for a pause of any length between the comparison and its
// effect. Resignations may be learned outside the log: a member that has resigned
// grants nothing any more, so its absence from a roster creates no second owner.
//
// # Contact without the log
//
// When the last contact is old, an owner requests the log offsets of the members
// of its failure domain (Round). If a majority has applied exactly what the owner
// has, the start of the round is a contact. A new tenure, unless it starts at a
// known end (see below), waits for Limit + Skew in place of Margin + Skew. The
// wait is shortened to Margin + Skew after a round in which so many members have
// applied the change that no majority of any recent roster is left to confirm
// an earlier one: a member in both majorities confirmed before it responded to
// the new owner, because offsets never decrease. Contacts by majority never extend
// a range further than Limit past the last contact with the log, which covers
// new owners that cannot reach enough members.
//
// # Handover
//
// An owner that learns that a shard has passed to another member sends that member
// the end of its range, and the new range starts there (claims.closed). A member
// that stops as planned hands ranges and keys to its next owner, which acts in
// its place and then continues without a gap (claims.handover). The first member
// ever seen in a failure domain starts at once, because it has no predecessor.
//
// # Outcomes
//
// A refusal with outcome not-run applies only to the attempt that it responds to.
// If a key was sent before and that attempt's outcome was unknown, a later not-run
// says nothing about it; a caller may send a fresh key only when every attempt
// with the old one returned not-run. Duplicates, keys past the retention period,
// and keys that belong to the range of an owner that is gone return the outcome
// unknown and never run.
//
// # Limits
//
// Clocks of nodes must agree within Settings.Skew; callers' clocks may differ
// by Settings.MaxAhead into the future and by the retention period into the
// past. After the loss of an owner without a planned stop, keys of its shards
// minted within Margin + Skew of its removal return the outcome unknown; if half
// of a recent roster is gone as well, within Limit + Skew. Without contact,
// keys minted more than Margin later are refused. Margin must be well above
// the time between reads of the log. A log that loses appended records is not
// covered. A change of the list of failure domains, or an update that skips a
// configuration version, restarts all tenures.
//
// Times are Unix milliseconds. The ranges follow the fencing of leases in
// Chubby (Burrows, 2006), the majorities quorum intersection as in Paxos
// (Lamport, 1998); rendezvous hashing is due to Thaler and Ravishankar (1998).
package claims
