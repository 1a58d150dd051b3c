package tomlfile

import (
	"sort"

	"github.com/pelletier/go-toml/v2/unstable"
)

// indexer maps the full path of each key of a document to its line.
type indexer struct {
	parser unstable.Parser
	lines  map[string]int
	// newlineOffsets holds the offset of each line's end, in ascending order.
	newlineOffsets []uint32
	// elementCounts holds the number of elements found so far in each array of
	// tables.
	elementCounts map[string]int
}

// lineIndex returns the line of each key. The document must be valid.
func lineIndex(data []byte) map[string]int {
	x := &indexer{lines: map[string]int{}, elementCounts: map[string]int{}, newlineOffsets: newlineOffsets(data)}
	x.parser.Reset(data)
	table := ""
	for x.parser.NextExpression() {
		e := x.parser.Expression()
		switch e.Kind {
		case unstable.Table:
			table = x.recordPath("", e.Key())
		case unstable.ArrayTable:
			table = x.startElement(x.recordPath("", e.Key()), e)
		case unstable.KeyValue:
			x.recordElements(x.recordPath(table, e.Key()), e.Value())
		}
	}
	return x.lines
}

// recordPath records the line of each part of a dotted key below a parent. It
// returns the full path of the key.
func (x *indexer) recordPath(parent string, parts unstable.Iterator) string {
	key := parent
	for parts.Next() {
		if n := x.elementCounts[key]; n > 0 {
			key = indexKey(key, n-1)
		}
		key = childKey(key, string(parts.Node().Data))
		x.recordLine(key, parts.Node())
	}
	return key
}

// startElement records the next element of an array of tables and returns its
// path.
func (x *indexer) startElement(array string, e *unstable.Node) string {
	key := indexKey(array, x.elementCounts[array])
	x.elementCounts[array]++
	parts := e.Key()
	for parts.Next() {
		x.lines[key] = x.lineOf(parts.Node())
	}
	return key
}

// recordElements records the lines of the keys inside arrays and inline tables.
func (x *indexer) recordElements(key string, v *unstable.Node) {
	children := v.Children()
	switch v.Kind {
	case unstable.Array:
		for i := 0; children.Next(); i++ {
			x.recordElements(indexKey(key, i), children.Node())
		}
	case unstable.InlineTable:
		for children.Next() {
			field := children.Node()
			x.recordElements(x.recordPath(key, field.Key()), field.Value())
		}
	}
}

func (x *indexer) recordLine(key string, n *unstable.Node) {
	if _, seen := x.lines[key]; !seen {
		x.lines[key] = x.lineOf(n)
	}
}

// lineOf returns the line of a node. It does not use the parser's Shape, which
// counts lines from the start of the document at each call.
func (x *indexer) lineOf(n *unstable.Node) int {
	offset := n.Raw.Offset
	before := sort.Search(len(x.newlineOffsets), func(i int) bool { return x.newlineOffsets[i] >= offset })
	return before + 1
}

func newlineOffsets(data []byte) []uint32 {
	var ends []uint32
	for i, b := range data {
		if b == '\n' {
			ends = append(ends, uint32(i))
		}
	}
	return ends
}
