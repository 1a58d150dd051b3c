package pipeline

import (
	"fmt"
	"slices"
	"testing"
)

// Requests start and responses are written in the required order. A step adds a request
// (s: may run concurrently, a: exclusive, r: refused at once, f: the last of its
// connection) or sets the response of the request with the given number (c: the
// response closes). The result lists started requests (+), written responses and
// requests that were not accepted.
func TestQueueOrder(t *testing.T) {
	cases := map[string]struct {
		steps []string
		want  []string
	}{
		"responses keep the order":             {[]string{"s", "s", "s", "2", "1", "0"}, []string{"+0", "+1", "+2", "0", "1", "2"}},
		"an exclusive request waits":           {[]string{"s", "s", "a", "1", "0", "2"}, []string{"+0", "+1", "0", "1", "+2", "2"}},
		"one after it doesn't wait":            {[]string{"s", "a", "s", "2", "0", "1"}, []string{"+0", "+2", "0", "+1", "1", "2"}},
		"an exclusive first one starts":        {[]string{"a", "s", "0", "1"}, []string{"+0", "+1", "0", "1"}},
		"a refusal keeps the order":            {[]string{"s", "r", "s", "0", "2"}, []string{"+0", "+2", "0", "1", "2"}},
		"a closing response as the last":       {[]string{"s", "0c", "s"}, []string{"+0", "0 last", "not accepted"}},
		"a closing response before others":     {[]string{"s", "s", "0c", "s", "1", "2"}, []string{"+0", "+1", "0", "+2", "1", "2"}},
		"nothing is accepted after the last":   {[]string{"s", "f", "1", "0"}, []string{"+0", "+1", "0", "1 last"}},
		"closing while an exclusive one waits": {[]string{"s", "a", "0c", "1c"}, []string{"+0", "0", "+1", "1 last"}},
		"a closing refusal keeps earlier ones": {[]string{"s", "a", "s", "2c", "0", "1"}, []string{"+0", "+2", "0", "+1", "1", "2 last"}},
	}
	for name, c := range cases {
		if got := replay(c.steps); !slices.Equal(got, c.want) {
			t.Errorf("%s: %v, want %v", name, got, c.want)
		}
	}
}

// replay applies steps to a queue and returns what they start, write or reject.
func replay(steps []string) (seen []string) {
	var q queue
	var all []*queuedRequest
	write := func() {
		for e, last := q.due(false); e != nil; e, last = q.due(false) {
			text := fmt.Sprint(slices.Index(all, e))
			if last {
				text += " last"
			}
			seen = append(seen, text)
			if next := q.pop(); next != nil {
				seen = append(seen, fmt.Sprint("+", slices.Index(all, next)))
			}
		}
	}
	for _, step := range steps {
		kind := step[len(step)-1]
		if kind >= '0' && kind <= '9' || kind == 'c' {
			all[step[0]-'0'].response = &Response{Close: kind == 'c'}
			write()
			continue
		}
		e := &queuedRequest{exchange: &Exchange{Exclusive: kind == 'a'}, final: kind == 'f'}
		if kind == 'r' {
			e.response = &Response{}
		}
		all = append(all, e)
		accepted, starts := q.add(e)
		if !accepted {
			seen = append(seen, "not accepted")
		}
		if starts {
			seen = append(seen, fmt.Sprint("+", len(all)-1))
		}
		write()
	}
	return seen
}

// Requests that wait when the connection is aborted never start, and their memory is
// released.
func TestDroppedRequestsDoNotStart(t *testing.T) {
	var q queue
	running := &queuedRequest{exchange: &Exchange{}, bodyReserved: 1}
	waiting := &queuedRequest{exchange: &Exchange{Exclusive: true}, bodyReserved: 10}
	q.add(running)
	q.add(waiting)
	if got, _ := q.drop(); got != 10 {
		t.Errorf("%d bytes released, want those of the request that has not started", got)
	}
	running.response = &Response{}
	if next := q.pop(); next != nil {
		t.Error("a dropped request starts")
	}
}
