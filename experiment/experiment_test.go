package experiment

import (
	"context"
	"log/slog"
	"testing"
	"time"

	"github.com/gooseberryflow/gooseberryflow/peer"
)

// TestWholePath sends one booking through a fleet: entry node, owner node,
// upstream, nested calls through the owner node, and back.
func TestWholePath(t *testing.T) {
	d := Logistics()
	fleet, err := Start(context.Background(), FleetOptions{
		Deployment: d,
		Chain:      FullChain,
		Carrier:    peer.CarrierTLS,
		Seed:       1,
		Logger:     slog.New(slog.DiscardHandler),
	})
	if err != nil {
		t.Fatal(err)
	}
	defer fleet.Stop()
	if err := fleet.warmUp(context.Background()); err != nil {
		t.Fatal(err)
	}
	c := newCallers(fleet)
	for _, kind := range d.Requests {
		s := c.send(context.Background(), arrival{customer: "customer-1", kind: kind, id: "x7", at: time.Second})
		if !s.good {
			t.Errorf("%s: no whole answer in %d attempts", kind.Route, s.attempts)
		}
	}
	if n := fleet.Duplicates(); n != 0 {
		t.Errorf("%d duplicated runs", n)
	}
}
