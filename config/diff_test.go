package config

import (
	"strings"
	"testing"
	"time"
)

func TestDiffListsEveryChange(t *testing.T) {
	old := &Config{
		FailureDomains: []string{"a", "b"},
		Customers:      []Customer{{Name: "golf", Rate: 10, Burst: 20}, {Name: "tennis", Rate: 1, Burst: 1}},
		Routes:         []Route{{Name: "maps", Deadline: time.Second}},
		Retry:          RetryPolicy{Allowance: 3},
	}
	next := &Config{
		FailureDomains: []string{"b", "a"},
		Customers:      []Customer{{Name: "camp", Rate: 5, Burst: 5}, {Name: "golf", Rate: 15, Burst: 20}},
		Routes:         []Route{{Name: "maps", Deadline: 2 * time.Second, Open: true}},
		Keys:           []Key{{ID: "0123456789", Customer: "camp", Hash: "0011223344", Salt: "5566778899"}},
		Retry:          RetryPolicy{Allowance: 2},
	}
	var lines []string
	for _, c := range Diff(old, next) {
		lines = append(lines, c.String())
	}
	want := `changed retry: allowance 3 -> 2
added   customer camp: rate 5/s, burst 5
changed customer golf: rate 10/s -> 15/s
removed customer tennis
added   key 0123456789: customer camp, hash 00112233, salt 55667788
changed route maps: open false -> true, deadline 1s -> 2s`
	if got := strings.Join(lines, "\n"); got != want {
		t.Errorf("diff:\n%s\nwant:\n%s", got, want)
	}
	if same := Diff(next, next); len(same) != 0 {
		t.Errorf("diff of a configuration with itself is not empty: %v", same)
	}
	if Diff(nil, nil) != nil {
		t.Error("diff of two nil configurations is not empty")
	}
}
