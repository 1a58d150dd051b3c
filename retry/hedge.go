package retry

import (
	"context"
	"net/http"
	"sync"

	"github.com/gooseberryflow/gooseberryflow/kernel"
)

// hedge is the attempt at a call that runs beside an overdue one. The first of the two
// that gets a good answer ends the other; the call that is overdue is never ended for
// being overdue.
type hedge struct {
	plugin    *Plugin
	call      *kernel.Call
	allowance int
	budget    budget
	next      kernel.Handler
	// endFirst ends the overdue attempt.
	endFirst context.CancelFunc

	mu sync.Mutex // guards the fields below
	// closed is set when the first attempt has ended, after which no hedge starts.
	closed bool
	cancel context.CancelFunc // nil if no hedge has been started
	done   chan struct{}
	result *kernel.Result // set when done is closed; nil if no owner was left
}

// hedgedAttempt makes an attempt and, if it becomes overdue, another one beside it at
// another owner. It returns the result and the remaining allowance.
func (p *Plugin) hedgedAttempt(ctx context.Context, c *kernel.Call, id kernel.CallID, allowance int, b budget, next kernel.Handler) (*kernel.Result, int) {
	if !c.Idempotent || allowance < 1 || p.host.Retries.Ratio == 0 {
		return p.attempt(ctx, c, id, allowance, next)
	}
	firstCtx, endFirst := context.WithCancel(ctx)
	defer endFirst()
	h := &hedge{plugin: p, call: c, allowance: allowance, budget: b, next: next, endFirst: endFirst}
	first, remaining := p.attempt(kernel.WithOverdueHandler(firstCtx, func() { h.start(ctx) }), c, id, allowance, next)
	return h.choose(first, remaining)
}

// start starts the hedge, unless there is one already, the first attempt has ended, or
// the budget allows no retry.
func (h *hedge) start(ctx context.Context) {
	h.mu.Lock()
	defer h.mu.Unlock()
	if h.closed || h.cancel != nil || ctx.Err() != nil || !beforeDeadline(h.call, h.plugin.host.Now()) || !h.budget.spend() {
		return
	}
	ctx, h.cancel = context.WithCancel(ctx)
	h.done = make(chan struct{})
	go h.run(ctx)
}

func (h *hedge) run(ctx context.Context) {
	defer close(h.done)
	r, _ := h.plugin.attempt(ctx, h.call, h.plugin.newID(), h.allowance-1, h.next)
	if foundNoOwner(r) {
		h.budget.refund()
		return
	}
	h.plugin.hedgedCalls.Add(1)
	h.plugin.host.Log.Info("attempt beside an overdue one", "request", h.call.CallerID, "route", h.call.RouteName,
		"service", h.call.Service, "owner", string(r.Owner), "outcome", r.Outcome.String(), "reason", string(r.Reason), "status", r.Status)
	h.mu.Lock()
	h.result = r
	h.mu.Unlock()
	if goodAnswer(r) {
		h.endFirst()
	}
}

// choose returns the better result once the first attempt has ended, and the remaining
// allowance.
func (h *hedge) choose(first *kernel.Result, remaining int) (*kernel.Result, int) {
	h.mu.Lock()
	h.closed = true
	cancel := h.cancel
	h.mu.Unlock()
	if cancel == nil {
		return first, remaining
	}
	defer cancel()
	if goodAnswer(first) {
		return first, remaining
	}
	<-h.done // ends with the call's context at the latest
	h.mu.Lock()
	defer h.mu.Unlock()
	if h.result == nil {
		return first, remaining
	}
	if certainty(h.result) > certainty(first) {
		return h.result, h.allowance - 1
	}
	return first, h.allowance - 1
}

// certainty orders the results of two attempts at one call. A call of which one attempt
// may have run was not refused.
func certainty(r *kernel.Result) int {
	switch {
	case goodAnswer(r):
		return 3
	case r.Outcome == kernel.OutcomeAnswered:
		return 2
	case r.Outcome == kernel.OutcomeUnknown:
		return 1
	}
	return 0
}

// goodAnswer reports whether an instance has answered without an error of its own.
func goodAnswer(r *kernel.Result) bool {
	return r.Outcome == kernel.OutcomeAnswered && r.Status < http.StatusInternalServerError
}
