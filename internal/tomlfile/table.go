package tomlfile

import (
	"fmt"
	"maps"
	"slices"
	"sort"
	"time"
)

// Table reads the values of one TOML table. Getters return the zero value if the
// key is absent or of another type; they report a wrong type as a problem.
type Table struct {
	doc    *Document
	path   string
	values map[string]any
	read   map[string]bool
	// rejected holds the keys whose values a getter has rejected.
	rejected map[string]bool
}

func (d *Document) newTable(path string, values map[string]any) *Table {
	t := &Table{doc: d, path: path, values: values, read: map[string]bool{}, rejected: map[string]bool{}}
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

// Names returns the names of the table's keys, sorted.
func (t *Table) Names() []string { return slices.Sorted(maps.Keys(t.values)) }

// Valid reports whether the key is present and no getter has rejected its value.
// Further checks of the value make sense only then.
func (t *Table) Valid(name string) bool { return t.Has(name) && !t.rejected[name] }

// Reportf adds a problem for a key of this table.
func (t *Table) Reportf(name, format string, args ...any) {
	t.doc.Report(t.Key(name), fmt.Sprintf(format, args...))
}

// Require reports a problem for each of the named keys that is absent.
func (t *Table) Require(names ...string) {
	for _, name := range names {
		if !t.Has(name) {
			t.Reportf(name, "is required")
		}
	}
}

// String returns a string.
func (t *Table) String(name string) string { return typedValue[string](t, name, "a string") }

// Bool returns a boolean.
func (t *Table) Bool(name string) bool { return typedValue[bool](t, name, "true or false") }

// Int returns an integer.
func (t *Table) Int(name string) int64 { return typedValue[int64](t, name, "an integer") }

// Float returns a floating-point number; it also accepts an integer.
func (t *Table) Float(name string) float64 {
	if n, ok := t.values[name].(int64); ok {
		t.read[name] = true
		return float64(n)
	}
	return typedValue[float64](t, name, "a number")
}

// Duration returns a duration, written as a string such as "250ms".
func (t *Table) Duration(name string) time.Duration {
	text := t.String(name)
	if text == "" {
		return 0
	}
	d, err := time.ParseDuration(text)
	if err != nil {
		t.rejected[name] = true
		t.Reportf(name, "%q is not a duration such as \"250ms\" or \"2s\"", text)
	}
	return d
}

// Strings returns an array of strings.
func (t *Table) Strings(name string) []string {
	values := typedValue[[]any](t, name, "an array of strings")
	list := make([]string, 0, len(values))
	for i, v := range values {
		s, ok := v.(string)
		if !ok {
			t.Reportf(indexKey(name, i), "must be a string")
		}
		list = append(list, s)
	}
	return list
}

// Table returns a subtable, which is empty if the key is absent.
func (t *Table) Table(name string) *Table {
	values := typedValue[map[string]any](t, name, "a table")
	return t.doc.newTable(t.Key(name), values)
}

// Tables returns the elements of an array of tables.
func (t *Table) Tables(name string) []*Table {
	values := typedValue[[]any](t, name, "an array of tables")
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

func typedValue[T any](t *Table, name, want string) T {
	t.read[name] = true
	var zero T
	v, present := t.values[name]
	if !present {
		return zero
	}
	typed, ok := v.(T)
	if !ok {
		t.rejected[name] = true
		t.Reportf(name, "must be %s", want)
	}
	return typed
}

// unknownKeys returns one problem for each key that no getter has read.
func (t *Table) unknownKeys() []Problem {
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
