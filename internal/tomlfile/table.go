package tomlfile

import (
	"fmt"
	"sort"
	"time"
)

// Table reads the values of one TOML table. Getters return the zero value
// when the key is absent or of another type; a wrong type is reported.
type Table struct {
	doc    *Document
	path   string
	values map[string]any
	read   map[string]bool
	// faulty holds the keys whose values a getter has rejected.
	faulty map[string]bool
}

func (d *Document) newTable(path string, values map[string]any) *Table {
	t := &Table{doc: d, path: path, values: values, read: map[string]bool{}, faulty: map[string]bool{}}
	d.tables = append(d.tables, t)
	return t
}

// Key returns the full path of a key of this table.
func (t *Table) Key(name string) string { return childKey(t.path, name) }

// Has reports whether the key is present.
func (t *Table) Has(name string) bool {
	_, ok := t.values[name]
	return ok
}

// Valid reports whether the key is present and no getter has rejected it, so
// that a check of its value makes sense.
func (t *Table) Valid(name string) bool { return t.Has(name) && !t.faulty[name] }

// Reportf adds a problem for a key of this table.
func (t *Table) Reportf(name, format string, args ...any) {
	t.doc.Report(t.Key(name), fmt.Sprintf(format, args...))
}

// Require reports each of the named keys that is absent.
func (t *Table) Require(names ...string) {
	for _, name := range names {
		if !t.Has(name) {
			t.Reportf(name, "is required")
		}
	}
}

// String returns a text value.
func (t *Table) String(name string) string { return get[string](t, name, "text") }

// Bool returns a boolean value.
func (t *Table) Bool(name string) bool { return get[bool](t, name, "true or false") }

// Int returns an integer value.
func (t *Table) Int(name string) int64 { return get[int64](t, name, "a whole number") }

// Float returns a number; an integer is accepted too.
func (t *Table) Float(name string) float64 {
	if n, ok := t.values[name].(int64); ok {
		t.read[name] = true
		return float64(n)
	}
	return get[float64](t, name, "a number")
}

// Duration returns a duration written as text, such as "250ms".
func (t *Table) Duration(name string) time.Duration {
	text := t.String(name)
	if text == "" {
		return 0
	}
	d, err := time.ParseDuration(text)
	if err != nil {
		t.faulty[name] = true
		t.Reportf(name, "%q is not a duration such as \"250ms\" or \"2s\"", text)
	}
	return d
}

// Strings returns an array of text.
func (t *Table) Strings(name string) []string {
	values := get[[]any](t, name, "a list of text")
	texts := make([]string, 0, len(values))
	for i, v := range values {
		s, ok := v.(string)
		if !ok {
			t.Reportf(indexKey(name, i), "must be text")
		}
		texts = append(texts, s)
	}
	return texts
}

// Table returns a table below this one, empty when it is absent.
func (t *Table) Table(name string) *Table {
	values := get[map[string]any](t, name, "a table")
	return t.doc.newTable(t.Key(name), values)
}

// Tables returns the elements of an array of tables.
func (t *Table) Tables(name string) []*Table {
	values := get[[]any](t, name, "an array of tables")
	tables := make([]*Table, 0, len(values))
	for i, v := range values {
		fields, ok := v.(map[string]any)
		if !ok {
			t.Reportf(indexKey(name, i), "must be a table")
		}
		tables = append(tables, t.doc.newTable(indexKey(t.Key(name), i), fields))
	}
	return tables
}

func get[T any](t *Table, name, want string) T {
	t.read[name] = true
	var zero T
	v, present := t.values[name]
	if !present {
		return zero
	}
	typed, ok := v.(T)
	if !ok {
		t.faulty[name] = true
		t.Reportf(name, "must be %s", want)
	}
	return typed
}

// unread returns one problem for each key that no getter has asked for.
func (t *Table) unread() []Problem {
	var problems []Problem
	for name := range t.values {
		if t.read[name] {
			continue
		}
		key := t.Key(name)
		problems = append(problems, Problem{Line: t.doc.Line(key), Key: key, Reason: "unknown key"})
	}
	sort.Slice(problems, func(i, j int) bool { return problems[i].Key < problems[j].Key })
	return problems
}
