package tomlfile

import (
	"sort"

	"github.com/pelletier/go-toml/v2/unstable"
)

// indexer maps the full path of each key of a document to its line.
type indexer struct {
	parser unstable.Parser
	lines  map[string]int
	// newlines holds the offset of each line's end, in order.
	newlines []uint32
	// counts holds the number of elements seen of each array of tables.
	counts map[string]int
}

// lineIndex returns the line of each key. The document must be valid.
func lineIndex(data []byte) map[string]int {
	x := &indexer{lines: map[string]int{}, counts: map[string]int{}, newlines: newlines(data)}
	x.parser.Reset(data)
	table := ""
	for x.parser.NextExpression() {
		e := x.parser.Expression()
		switch e.Kind {
		case unstable.Table:
			table = x.path("", e.Key())
		case unstable.ArrayTable:
			table = x.element(x.path("", e.Key()), e)
		case unstable.KeyValue:
			x.value(x.path(table, e.Key()), e.Value())
		}
	}
	return x.lines
}

// path walks a dotted key below a parent and notes the line of each part.
func (x *indexer) path(parent string, parts unstable.Iterator) string {
	key := parent
	for parts.Next() {
		if n := x.counts[key]; n > 0 {
			key = indexKey(key, n-1)
		}
		key = childKey(key, string(parts.Node().Data))
		x.note(key, parts.Node())
	}
	return key
}

// element starts the next element of an array of tables.
func (x *indexer) element(array string, e *unstable.Node) string {
	key := indexKey(array, x.counts[array])
	x.counts[array]++
	parts := e.Key()
	for parts.Next() {
		x.lines[key] = x.line(parts.Node())
	}
	return key
}

// value notes the lines of the elements of arrays and inline tables.
func (x *indexer) value(key string, v *unstable.Node) {
	children := v.Children()
	switch v.Kind {
	case unstable.Array:
		for i := 0; children.Next(); i++ {
			x.value(indexKey(key, i), children.Node())
		}
	case unstable.InlineTable:
		for children.Next() {
			field := children.Node()
			x.value(x.path(key, field.Key()), field.Value())
		}
	}
}

func (x *indexer) note(key string, n *unstable.Node) {
	if _, seen := x.lines[key]; !seen {
		x.lines[key] = x.line(n)
	}
}

// line returns the line of a node. The parser's own Shape would count from the
// start of the document each time.
func (x *indexer) line(n *unstable.Node) int {
	offset := n.Raw.Offset
	before := sort.Search(len(x.newlines), func(i int) bool { return x.newlines[i] >= offset })
	return before + 1
}

func newlines(data []byte) []uint32 {
	var ends []uint32
	for i, b := range data {
		if b == '\n' {
			ends = append(ends, uint32(i))
		}
	}
	return ends
}
