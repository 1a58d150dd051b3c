package pipeline

import (
	"fmt"
	"slices"
	"testing"
)

// Pattern: callers send further requests before the first is answered. Steps
// are requests that come (s: may run beside others, a: alone, r: refused at
// once, f: the last of its connection), answers that are ready (their number; c
// closes) and what must have been started or written by then.
func TestLine(t *testing.T) {
	cases := map[string]struct {
		steps []string
		want  []string
	}{
		"answers keep the order":                    {[]string{"s", "s", "s", "2", "1", "0"}, []string{"+0", "+1", "+2", "0", "1", "2"}},
		"one that runs alone waits":                 {[]string{"s", "s", "a", "1", "0", "2"}, []string{"+0", "+1", "0", "1", "+2", "2"}},
		"one behind it need not wait":               {[]string{"s", "a", "s", "2", "0", "1"}, []string{"+0", "+2", "0", "+1", "1", "2"}},
		"alone at the front starts":                 {[]string{"a", "s", "0", "1"}, []string{"+0", "+1", "0", "1"}},
		"a refusal waits for its turn":              {[]string{"s", "r", "s", "0", "2"}, []string{"+0", "+2", "0", "1", "2"}},
		"a closing answer closes as the last":       {[]string{"s", "0c", "s"}, []string{"+0", "0 last", "not taken"}},
		"a closing answer with others behind":       {[]string{"s", "s", "0c", "s", "1", "2"}, []string{"+0", "+1", "0", "+2", "1", "2"}},
		"nothing is taken behind the last":          {[]string{"s", "f", "1", "0"}, []string{"+0", "+1", "0", "1 last"}},
		"a closing answer while one waits alone":    {[]string{"s", "a", "0c", "1c"}, []string{"+0", "0", "+1", "1 last"}},
		"a refusal that closes keeps those waiting": {[]string{"s", "a", "s", "2c", "0", "1"}, []string{"+0", "+2", "0", "+1", "1", "2 last"}},
	}
	for name, c := range cases {
		if got := play(c.steps); !slices.Equal(got, c.want) {
			t.Errorf("%s: %v, want %v", name, got, c.want)
		}
	}
}

func play(steps []string) (seen []string) {
	var l line
	var all []*entry
	write := func() {
		for e, last := l.due(false); e != nil; e, last = l.due(false) {
			text := fmt.Sprint(slices.Index(all, e))
			if last {
				text += " last"
			}
			seen = append(seen, text)
			if next := l.written(); next != nil {
				seen = append(seen, fmt.Sprint("+", slices.Index(all, next)))
			}
		}
	}
	for _, step := range steps {
		kind := step[len(step)-1]
		if kind >= '0' && kind <= '9' || kind == 'c' {
			all[step[0]-'0'].answer = &Response{Close: kind == 'c'}
			write()
			continue
		}
		e := &entry{exchange: &Exchange{Exclusive: kind == 'a'}, final: kind == 'f'}
		if kind == 'r' {
			e.answer = &Response{}
		}
		all = append(all, e)
		taken, starts := l.add(e)
		if !taken {
			seen = append(seen, "not taken")
		}
		if starts {
			seen = append(seen, fmt.Sprint("+", len(all)-1))
		}
		write()
	}
	return seen
}

// What waits when the caller leaves never starts, and gives its memory back.
func TestDropLeavesNothingToStart(t *testing.T) {
	var l line
	running := &entry{exchange: &Exchange{}, taken: 1}
	held := &entry{exchange: &Exchange{Exclusive: true}, taken: 10}
	l.add(running)
	l.add(held)
	if got, _ := l.drop(); got != 10 {
		t.Errorf("%d bytes given back, want those of the one that has not begun", got)
	}
	running.answer = &Response{}
	if next := l.written(); next != nil {
		t.Error("a dropped request starts")
	}
}
