// Package tomlfile reads TOML documents strictly. Values are read through typed
// getters. Parsing does not stop at the first problem (a wrong type, a missing
// value, an unknown key): all problems are collected with their lines.
package tomlfile

import (
	"errors"
	"fmt"
	"sort"

	"github.com/pelletier/go-toml/v2"
)

// Problem is an error found in a document.
type Problem struct {
	// Line counts from 1; zero means that the problem concerns the whole document.
	Line int
	// Key is the full path of the key, such as routes[2].deadline.
	Key    string
	Reason string
}

// Document is a parsed TOML document with the problems found in it so far.
type Document struct {
	root     *Table
	tables   []*Table
	lines    map[string]int
	problems []Problem
	failed   bool
}

// Parse parses a document. After a syntax error the document is empty, with the
// error as its only problem.
func Parse(data []byte) *Document {
	d := &Document{lines: map[string]int{}}
	values := map[string]any{}
	if err := toml.Unmarshal(data, &values); err != nil {
		d.reportSyntax(err)
		values = map[string]any{}
	} else {
		d.lines = lineIndex(data)
	}
	d.root = d.newTable("", values)
	return d
}

// Root returns the top-level table.
func (d *Document) Root() *Table { return d.root }

// Failed reports whether the document is not valid TOML. Its contents are then
// unknown.
func (d *Document) Failed() bool { return d.failed }

// Report adds a problem at the line of a key, or of its nearest existing parent
// if the key is absent.
func (d *Document) Report(key, reason string) {
	d.problems = append(d.problems, Problem{Line: d.Line(key), Key: key, Reason: reason})
}

// Line returns the line of a key, or of its nearest existing parent; zero if
// there is none.
func (d *Document) Line(key string) int {
	for key != "" {
		if line, ok := d.lines[key]; ok {
			return line
		}
		key = parentKey(key)
	}
	return 0
}

// HasKey reports whether the document contains the key.
func (d *Document) HasKey(key string) bool {
	_, ok := d.lines[key]
	return ok
}

// Problems returns all problems in line order, including an unknown key for each
// key that no getter has read. Call it after the last getter.
func (d *Document) Problems() []Problem {
	all := append([]Problem(nil), d.problems...)
	for _, t := range d.tables {
		all = append(all, t.unknownKeys()...)
	}
	sort.SliceStable(all, func(i, j int) bool {
		if all[i].Line != all[j].Line {
			return all[i].Line < all[j].Line
		}
		return all[i].Key < all[j].Key
	})
	return all
}

func (d *Document) reportSyntax(err error) {
	d.failed = true
	p := Problem{Reason: err.Error()}
	var decode *toml.DecodeError
	if errors.As(err, &decode) {
		p.Line, _ = decode.Position()
		p.Key = joinKey(decode.Key())
	}
	d.problems = append(d.problems, p)
}

func joinKey(parts []string) string {
	key := ""
	for _, p := range parts {
		key = childKey(key, p)
	}
	return key
}

func childKey(parent, name string) string {
	if parent == "" {
		return name
	}
	return parent + "." + name
}

func indexKey(parent string, i int) string {
	return fmt.Sprintf("%s[%d]", parent, i)
}

func parentKey(key string) string {
	for i := len(key) - 1; i >= 0; i-- {
		if key[i] == '.' || key[i] == '[' {
			return key[:i]
		}
	}
	return ""
}
