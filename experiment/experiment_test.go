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
		Transport:  peer.TransportTLS,
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

func TestWorstOfFairShare(t *testing.T) {
	cases := []struct {
		good     [3]int
		capacity float64
		want     float64
	}{
		{[3]int{10, 45, 45}, 100, 1},  // the small one whole, the rest shared
		{[3]int{5, 50, 45}, 100, 0.5}, // the small one gets half of its share
		{[3]int{10, 9, 81}, 100, 0.2}, // one gets a fifth of its share
	}
	for _, c := range cases {
		offered := map[string]*Goodput{
			"small": {Offered: 10, Good: c.good[0]},
			"one":   {Offered: 200, Good: c.good[1]},
			"two":   {Offered: 300, Good: c.good[2]},
		}
		if got := worstOfFairShare(offered, c.capacity); got != c.want {
			t.Errorf("%v of %v: %v, want %v", c.good, c.capacity, got, c.want)
		}
	}
}
