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
// tenure, the period in log order for which they own it:
//
//	low  = time at which the change that opened the tenure was applied + Margin + Skew
//	high = last confirmed contact before the change that ended it + Margin
//
// A contact is the start of a read of the log's head that showed no later
// change, so every change that the owner has not seen was appended after it;
// hence high <= append time of the ending change + Margin. Any later tenure
// was opened by that change or a later one and applied after it was appended,
// on a clock that differs by at most Skew; hence its low >= high. The ranges
// are fixed numbers when a key is compared with them, so the argument holds
// for a pause of any length between the comparison and its effect.
//
// Three rules make the gaps between ranges small. An owner that learns that a
// shard has passed to a new member sends it the end of its range, and the new
// range starts there (claims.closed). A member that stops as planned hands
// ranges and keys to its next owner, which acts in its place and then goes on
// without a gap (claims.handover). The first member ever seen in a failure
// domain starts at once, because nobody was before it.
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
// minted within Margin + Skew of its removal are answered unknown. While the
// log can't be read, keys minted more than Margin after the last contact are
// refused. The log must keep records for longer than Margin + Skew. A change
// of the list of failure domains, or a jump over more than one configuration
// version, restarts all tenures.
//
// Times are Unix milliseconds. The ranges follow the way leases are fenced in
// Chubby (Burrows, 2006) and rendezvous hashing is due to Thaler and
// Ravishankar (1998).
package claims
