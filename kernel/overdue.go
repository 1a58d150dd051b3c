package kernel

import "context"

type overdueKey struct{}

// WithOverdueHandler returns a context under which f is called when the owner node
// reports that a call is overdue (ReportOverdue). f may be called more than once and
// from any goroutine; it must not block.
func WithOverdueHandler(ctx context.Context, f func()) context.Context {
	return context.WithValue(ctx, overdueKey{}, f)
}

// OverdueHandler returns the handler that WithOverdueHandler has set, or nil.
func OverdueHandler(ctx context.Context) func() {
	f, _ := ctx.Value(overdueKey{}).(func())
	return f
}

// ReportOverdue tells the entry node that the instance seems not to run a call, since
// it has answered many later ones. The call goes on: the instance may still be at work.
func ReportOverdue(ctx context.Context) {
	if f := OverdueHandler(ctx); f != nil {
		f()
	}
}
