// Package retry repeats failed calls, within four bounds.
//
// Whole tree: a root request carries an allowance of retries for itself and
// all calls nested in it (Call.Allowance, from the configuration's retry
// policy). Each retry spends one unit. The owner node of a call holds the
// call's allowance in a Budget and lends units of it to the nested calls; units
// that they don't spend are returned (Result.UnusedAllowance). Units are only
// ever moved or spent, so a tree makes at most as many extra attempts as its
// root carried, at any depth.
//
// One hop: only the node that sees the failure itself retries. A failure
// further down reaches this node as an answer of the upstream
// (OutcomeAnswered, whatever its status) and is passed on. If an attempt is
// lost, the units lent to it count as spent, because the lost side may have
// spent them. To be able to retry a lost attempt, an idempotent call with two
// units or more reserves one.
//
// One node: retries of all calls are limited to a ratio of first attempts by a
// token bucket (retry budget, as in Finagle and in Beyer et al., Site
// Reliability Engineering, 2016, chapter 21).
//
// Time: nothing is retried at or after the deadline, or once the caller has
// disconnected.
//
// A call is retried if it was not run because of overload, draining, an
// instance that is not ready or a missing connection, or if it is idempotent
// and its outcome is unknown. Each attempt goes to another owner
// (routing.WithTriedOwners); when none is left the last failure is returned.
// There is no delay between attempts, since each goes to a new owner.
//
// Where services have budgets, an idempotent call that is overdue at its owner (see
// admission/graph) gets one further attempt at another owner, from the same budget and
// allowance, while the first goes on. The first good answer ends the other attempt.
// Nothing else ends a run that has not answered but its deadline and its caller.
//
// Bound: a tree whose failed attempts were all refused makes at most as many
// attempts as it has calls plus its allowance. An attempt with an unknown
// outcome may have run its nested calls, and its retry runs them again. With
// such failures the retries stay within the allowance, and the attempts within
// the number of calls times one more than the allowance.
//
// Where services have budgets (kernel.RetryBounds), each budget bounds the
// retries at one service, nested calls bring their own allowance, and nothing
// is lent.
//
// Limits: calls that a repeated run makes are not charged to the budget of the
// service called; the unused fraction of the budget covers them. An upstream
// that repeats nested calls itself is bounded only by the admission of each
// call, not by the allowance.
package retry
