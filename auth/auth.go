// Package auth is the plug-in that authenticates root requests by their key and
// sets their customer.
//
// The key is checked against the current snapshot on every request, so that a
// withdrawn key stops working on open connections, too. Nested calls carry no
// key: the node has already assigned them the root request's customer by their
// call token.
package auth

import (
	"context"
	"time"

	"github.com/gooseberryflow/gooseberryflow/config"
	"github.com/gooseberryflow/gooseberryflow/kernel"
	"github.com/gooseberryflow/gooseberryflow/state"
)

// Name is the plug-in's name in the settings.
const Name = "auth"

const chainOrder = 100

// staleRetryAfter is about the time that a node needs to reach the store or a
// peer again.
const staleRetryAfter = time.Second

func init() {
	kernel.Register(kernel.PluginInfo{Name: Name, Order: chainOrder, New: func() kernel.Plugin { return &plugin{} }})
}

type plugin struct {
	host *kernel.Host
}

// Provision keeps the host.
func (p *plugin) Provision(h *kernel.Host) error {
	p.host = h
	return nil
}

// Validate has nothing to check.
func (p *plugin) Validate() error { return nil }

// Cleanup has nothing to release.
func (p *plugin) Cleanup() error { return nil }

// WrapEntry refuses root requests without a valid key, except on open routes.
func (p *plugin) WrapEntry(next kernel.Handler) kernel.Handler {
	return kernel.HandlerFunc(func(ctx context.Context, c *kernel.Call) *kernel.Result {
		if c.Nested() {
			return next.Serve(ctx, c)
		}
		if refusal := p.authenticate(ctx, c); refusal != nil {
			return refusal
		}
		return next.Serve(ctx, c)
	})
}

// authenticate sets the customer of a root request or returns a refusal. On an
// open route a key is neither needed nor checked.
func (p *plugin) authenticate(ctx context.Context, c *kernel.Call) *kernel.Result {
	// The age is read before the snapshot, so that the keys are never older than
	// the age says.
	staleRefusal := p.staleRefusal()
	s := p.host.Snapshot()
	if isOpen(s, c) {
		return nil
	}
	if staleRefusal != nil {
		return staleRefusal
	}
	keyText := kernel.CredentialFrom(ctx).Key
	if keyText == "" {
		return kernel.Refuse(kernel.ReasonNoKey, "this route needs a key: Authorization: Bearer KEY", 0)
	}
	if s.Config != nil && s.Config.OpaqueKeys != nil {
		return p.authenticateOpaque(s, c, keyText)
	}
	key, ok := lookupKey(s, keyText)
	if !ok {
		return kernel.Refuse(kernel.ReasonBadKey, "the key is unknown or withdrawn", 0)
	}
	c.Customer = key.Customer
	return nil
}

// staleRefusal returns a refusal if the keys have not been confirmed for so long
// that one may have been withdrawn unnoticed.
func (p *plugin) staleRefusal() *kernel.Result {
	if p.host.ConfigAge == nil || p.host.MaxKeyAge == nil {
		return nil
	}
	age := p.host.ConfigAge()
	if age <= p.host.MaxKeyAge() {
		return nil
	}
	detail := "the keys were confirmed " + age.Truncate(time.Millisecond).String() + " ago"
	return kernel.Refuse(kernel.ReasonNotReady, detail, staleRetryAfter)
}

// authenticateOpaque authenticates a call by a key that has no public part.
func (p *plugin) authenticateOpaque(s *state.Snapshot, c *kernel.Call, keyText string) *kernel.Result {
	customer, ok := s.Config.OpaqueKeys[config.DigestKey(keyText)]
	if !ok {
		return kernel.Refuse(kernel.ReasonBadKey, "the key is unknown or withdrawn", 0)
	}
	c.Customer = customer
	return nil
}

// isOpen reports whether the call's route is open. If routes are selected by host,
// the front end has already copied that from the route to the call.
func isOpen(s *state.Snapshot, c *kernel.Call) bool {
	if s.Config != nil && s.Config.Hosts != nil {
		return c.OpenRoute
	}
	for _, r := range s.Routes(c.Service) {
		if r.Name == c.RouteName {
			return r.Open
		}
	}
	return false
}

// lookupKey returns the record of a key; false if the key text doesn't match a
// record, or the key is withdrawn or its customer unknown.
func lookupKey(s *state.Snapshot, keyText string) (config.Key, bool) {
	id, secret, ok := config.SplitKey(keyText)
	if !ok {
		return config.Key{}, false
	}
	key, ok := s.Keys[id]
	if !ok || s.Withdrawn[id] {
		return config.Key{}, false
	}
	if _, known := s.Customer(key.Customer); !known {
		return config.Key{}, false
	}
	return key, key.Verify(secret)
}
