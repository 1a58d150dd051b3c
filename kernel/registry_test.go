package kernel

import (
	"context"
	"testing"
)

// orderPlugin appends its label to the path of every call.
type orderPlugin struct{ label string }

func (p *orderPlugin) Provision(*Host) error { return nil }
func (p *orderPlugin) Validate() error       { return nil }
func (p *orderPlugin) Cleanup() error        { return nil }

func (p *orderPlugin) WrapEntry(next Handler) Handler {
	return HandlerFunc(func(ctx context.Context, c *Call) *Result {
		c.Path += p.label
		return next.Serve(ctx, c)
	})
}

func TestChainFollowsPluginOrder(t *testing.T) {
	Register(PluginInfo{Name: "test-b", Order: 2, New: func() Plugin { return &orderPlugin{"b"} }})
	Register(PluginInfo{Name: "test-a", Order: 1, New: func() Plugin { return &orderPlugin{"a"} }})
	set, err := NewPluginSet(&Host{}, []string{"test-b", "test-a"})
	if err != nil {
		t.Fatal(err)
	}
	c := &Call{}
	set.Entry(HandlerFunc(func(context.Context, *Call) *Result { return &Result{} })).Serve(context.Background(), c)
	if c.Path != "ab" {
		t.Fatalf("chain order %q, want ab", c.Path)
	}
	if _, err := NewPluginSet(&Host{}, []string{"absent"}); err == nil {
		t.Fatal("an unknown plug-in name was accepted")
	}
}
