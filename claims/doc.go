// Package claims lets a request that is not idempotent run at most once.
//
// # Algorithm
//
// Such a request carries an idempotency key, a UUIDv7 whose first 48 bits are
// its time of minting m. The key has a home failure domain and a shard there;
// each shard is owned by one member, chosen by rendezvous hashing over the
// roster that a prefix of the log gives. Before a call runs, its entry node
// claims the key from the shard's owner for one attempt. The owner grants a
// key to one attempt only, gives a repeated message of that attempt the same
// answer, and frees the key only when the entry node reports that the attempt
// has not run and never will.
//
// Two members may believe at once that they own a shard. What keeps them from
// granting the same key is the comparison of m with the range of their
// tenure, the period for which they own it:
//
//	low  = time at which the change that opened the tenure was applied + Margin + Skew
//	high = last confirmed contact before the change that ended it + Margin
//
// A contact with the log is the start of a read of its head that showed no
// later change. Of two members that both take themselves for the owner of a
// shard, rendezvous hashing always prefers the same one; so one of them has
// applied a change, the join of the preferred one or the end of the other,
// that the other has not seen. That change was appended after the other's last
// contact and before the first one's tenure began; hence the ranges do not
// meet, on clocks that differ by at most Skew. The ranges are fixed numbers
// when a key is compared with them, so the argument holds for a pause of any
// length between the comparison and its effect. Resignations may be learned
// outside the log: a member that has resigned grants nothing any more, so its
// absence from a roster creates no second owner.
//
// # Contact without the log
//
// When the last contact is old, an owner asks its failure domain for offsets
// (Round). If a majority has applied exactly what the owner has, the start of
// the round is a contact. A new tenure, unless it starts at a known end (see
// below), waits for Limit + Skew in place of Margin + Skew, and this is
// shortened to Margin + Skew after a round in which so many members have
// applied the change that no majority of any recent roster is left to confirm
// an earlier one: a member in both majorities confirmed before it answered the
// new owner, because offsets never decrease. Contacts by majority never carry
// a range further than Limit past the last contact with the log, which covers
// new owners that cannot ask enough members.
//
// # Handing on
//
// An owner that learns that a shard has passed to another member sends it the
// end of its range, and the new range starts there (claims.closed). A member
// that stops as planned hands ranges and keys to its next owner, which acts in
// its place and then goes on without a gap (claims.handover). The first member
// ever seen in a failure domain starts at once, because nobody was before it.
//
// # Outcomes
//
// A refusal says not-run of the attempt that it answers. If a key was sent
// before and that attempt's outcome was unknown, a later not-run says nothing
// about it; a caller may send a fresh key only when every attempt with the old
// one was answered not-run. Duplicates, keys past the retention period, and
// keys that belong to the range of an owner that is gone are answered unknown
// and never run.
//
// # Limits
//
// Clocks of nodes must agree within Settings.Skew; callers' clocks may differ
// by Settings.MaxAhead into the future and by the retention period into the
// past. After the loss of an owner without a planned stop, keys of its shards
// minted within Margin + Skew of its removal are answered unknown; where half
// of a recent roster is gone as well, within Limit + Skew. Without contact,
// keys minted more than Margin later are refused. Margin must be well above
// the time between reads of the log. A log that loses appended records is not
// covered. A change of the list of failure domains, or a jump over more than
// one configuration version, restarts all tenures.
//
// Times are Unix milliseconds. The ranges follow the way leases are fenced in
// Chubby (Burrows, 2006), the majorities quorum intersection as in Paxos
// (Lamport, 1998); rendezvous hashing is due to Thaler and Ravishankar (1998).
package claims
