// Package retry repeats calls that failed, within four bounds.
//
// Whole tree: a root request carries an allowance of retries for itself and
// all calls nested in it (Call.Allowance, from the configuration's retry
// policy). Each retry spends one unit. The owner node of a call holds what
// the call brought in a Budget and lends it to the nested calls; what they
// don't spend comes back (Result.UnusedAllowance). Units are only ever moved
// or spent, so a tree makes at most as many extra attempts as its root
// carried, at any depth.
//
// One hop: only the node that sees the failure itself retries. A failure
// further down reaches this node as an answer of the upstream
// (OutcomeAnswered, whatever its status) and is passed on. An attempt that is
// lost together with what was lent to it costs those units, because the lost
// side may have spent them; to be able to retry such a loss, an idempotent
// call with two units or more keeps one back.
//
// One node: retries of all calls are held to a ratio of first attempts by a
// token bucket (retry budget, as in Finagle and in Beyer et al., Site
// Reliability Engineering, 2016, chapter 21).
//
// Time: nothing is retried at or after the deadline, or once the caller left.
//
// Retried are results that are not run for overload, draining or a missing
// connection, and unknown outcomes of idempotent calls. Each attempt goes to
// another owner (routing.WithTriedOwners); when none is left the last failure is
// returned. There is no delay between attempts, since each meets a fresh
// owner.
//
// Bound: a tree whose failed attempts were all refused makes at most as many
// attempts as it has calls plus its allowance. An attempt with an unknown
// outcome may have run its nested calls, and its retry runs them again, so
// with such failures the retries keep to the allowance and the attempts to the
// number of calls times one more than the allowance.
//
// Where services have budgets (kernel.RetryBounds) each of these bounds the
// repeats at one service, nested calls bring their own allowance, and nothing
// is lent.
//
// Limits: calls that a repeated run makes are not charged to the budget of the
// service called; the part of the budget left free stands for them. An upstream
// that repeats nested calls itself is bounded only by the admission of each
// call, not by the allowance.
package retry
