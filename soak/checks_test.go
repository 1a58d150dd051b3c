package soak

import (
	"errors"
	"net/http"
	"testing"
	"time"

	"github.com/gooseberryflow/gooseberryflow/platform/standin"
)

// history is a ledger with one of everything in order: two configurations, one
// request that was served and ran once.
func history() (l *ledger, s *sent, at time.Time) {
	at = time.Unix(1_800_000_000, 0)
	l = newLedger([]string{"maps", "status"})
	l.rate, l.burst = 10, 10
	l.changes = []change{
		{version: 1, at: at, keys: map[string]string{"k1": "farm", "k2": "club"}},
		{version: 2, at: at.Add(10 * time.Second), keys: map[string]string{"k2": "club"}},
	}
	s = &sent{
		ID: "r1", At: at.Add(time.Second), Node: 0, Boot: 1, Key: "k1", Service: "status", Once: true, Want: "GET /look/1 ",
		Ended: at.Add(time.Second + 10*time.Millisecond), Status: http.StatusOK, Body: "GET /look/1 ",
		ResponseMeta: standin.ResponseMeta{Stamped: true, ID: "r1"},
	}
	l.sent["r1"] = s
	l.runs = []run{{ID: "r1", At: s.At, Node: 1, Service: "status", Customer: "farm", Origin: "maps"}}
	return l, s, at
}

// Every check finds what it is for, and nothing in a history that is in order.
func TestChecksFindWhatIsBroken(t *testing.T) {
	cases := []struct {
		check string
		spoil func(l *ledger, s *sent, at time.Time)
	}{
		{"", func(*ledger, *sent, time.Time) {}},
		{"once", func(l *ledger, _ *sent, _ time.Time) { l.runs = append(l.runs, l.runs[0]) }},
		{"refused", func(_ *ledger, s *sent, _ time.Time) {
			s.Status, s.ResponseMeta = http.StatusServiceUnavailable, standin.ResponseMeta{RetryAfter: true}
		}},
		{"refused", func(l *ledger, s *sent, _ time.Time) {
			l.runs, s.Status, s.ResponseMeta = nil, http.StatusTooManyRequests, standin.ResponseMeta{}
		}},
		{"whole", func(_ *ledger, s *sent, _ time.Time) { s.Body = "GET /look/" }},
		{"whole", func(_ *ledger, s *sent, _ time.Time) { s.ResponseMeta.ID = "r2" }},
		{"whole", func(_ *ledger, s *sent, _ time.Time) { s.ResponseMeta.Stamped = false }},
		{"hygiene", func(l *ledger, _ *sent, _ time.Time) { l.runs[0].Customer = "club" }},
		{"hygiene", func(l *ledger, _ *sent, _ time.Time) { l.runs[0].Key = "Bearer k1" }},
		{"hygiene", func(l *ledger, _ *sent, _ time.Time) { l.runs[0].Origin = "forged" }},
		{"route", func(l *ledger, _ *sent, _ time.Time) { l.runs[0].Service = "maps" }},
		{"revoked", func(l *ledger, s *sent, at time.Time) {
			s.At = at.Add(16 * time.Second)
			l.runs[0].At, s.Ended = s.At, s.At
		}},
		{"drain", func(l *ledger, s *sent, at time.Time) {
			l.leaves = []leave{{node: 1, at: at}}
			s.At = at.Add(3 * time.Second)
			l.runs[0].At, s.Ended = s.At, s.At
		}},
		{"stop", func(l *ledger, s *sent, at time.Time) {
			l.stops[0] = []span{{at, at.Add(5 * time.Second)}}
			s.Err = errors.New("connection ended")
		}},
		{"behind", func(_ *ledger, s *sent, _ time.Time) { s.Behind, s.Err = true, errBehind }},
		{"config", func(l *ledger, s *sent, at time.Time) {
			s.Version, s.At, s.Ended, s.Key = 1, at.Add(14*time.Second), at.Add(14*time.Second), "k2"
			l.runs[0].Customer = "club"
		}},
		{"config", func(l *ledger, s *sent, at time.Time) {
			s.Version, s.Status, s.At, s.Ended = 2, http.StatusNotFound, at.Add(14*time.Second), at.Add(14*time.Second)
			l.runs = nil
		}},
		{"back", func(l *ledger, s *sent, at time.Time) {
			newer, older := *s, *s
			newer.ID, newer.Version, newer.At, newer.Ended = "n", 2, at.Add(10*time.Second), at.Add(10*time.Second)
			older.ID, older.Version, older.At, older.Ended = "o", 1, at.Add(11*time.Second), at.Add(11*time.Second)
			newer.ResponseMeta = standin.ResponseMeta{Stamped: true, ID: "n"}
			older.ResponseMeta = standin.ResponseMeta{Stamped: true, ID: "o"}
			l.sent = map[string]*sent{"n": &newer, "o": &older}
			l.runs = nil
		}},
		{"rate", func(l *ledger, s *sent, _ time.Time) {
			s.Once = false
			for range 90 {
				l.runs = append(l.runs, l.runs[0])
			}
		}},
		{"budget", func(l *ledger, s *sent, _ time.Time) {
			for range retrySlack + 2 {
				l.arrivals["status"] = append(l.arrivals["status"], s.At)
			}
		}},
	}
	for i, c := range cases {
		l, s, at := history()
		c.spoil(l, s, at)
		found := l.check()
		if c.check == "" && len(found) > 0 || c.check != "" && len(found[c.check]) == 0 {
			t.Errorf("case %d: found %v, want %q", i, found, c.check)
		}
		for name := range found {
			if name != c.check {
				t.Errorf("case %d: %s found %v as well", i, name, found[name])
			}
		}
	}
}
