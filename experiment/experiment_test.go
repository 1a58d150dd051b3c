package experiment

import (
	"context"
	"log/slog"
	"testing"
	"time"

	"github.com/gooseberryflow/gooseberryflow/peer"
)

// Each kind of request must succeed through entry node, owner node, upstream and
// nested calls, and execute non-idempotent work once.
func TestRequestsSucceedThroughNestedCalls(t *testing.T) {
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
	c := newClients(fleet)
	for _, request := range d.Requests {
		s := c.send(context.Background(), arrival{customer: "customer-1", request: request, id: "x7", at: time.Second})
		if !s.succeeded {
			t.Errorf("%s: no complete response in %d attempts", request.Route, s.attempts)
		}
	}
	if n := fleet.Duplicates(); n != 0 {
		t.Errorf("%d duplicate executions", n)
	}
}

func TestWorstOfFairShareIsMaxMinFair(t *testing.T) {
	cases := []struct {
		good     [3]int
		capacity float64
		want     float64
	}{
		{[3]int{10, 45, 45}, 100, 1},  // the small customer gets its demand, the rest is shared
		{[3]int{5, 50, 45}, 100, 0.5}, // the small customer gets half of its share
		{[3]int{10, 9, 81}, 100, 0.2}, // customer one gets a fifth of its share
	}
	for _, c := range cases {
		offered := map[string]*Goodput{
			"small": {Offered: 10, Good: c.good[0]},
			"one":   {Offered: 200, Good: c.good[1]},
			"two":   {Offered: 300, Good: c.good[2]},
		}
		if got := worstOfFairShare(offered, c.capacity); got != c.want {
			t.Errorf("good %v at capacity %v: got %v, want %v", c.good, c.capacity, got, c.want)
		}
	}
}
