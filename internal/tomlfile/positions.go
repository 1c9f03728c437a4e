package tomlfile

import (
	"fmt"
	"strings"

	"github.com/pelletier/go-toml/v2/unstable"
)

// Positions maps dotted keys to line numbers. Keys in array tables contain the
// index of the element, for example "operators[0].name".
type Positions struct {
	lines map[string]int
}

// Line returns the line of a key, or of the nearest enclosing key that has a position; zero if there is none.
func (p Positions) Line(key string) int {
	for key != "" {
		if line, ok := p.lines[key]; ok {
			return line
		}
		cut := strings.LastIndexAny(key, ".[")
		if cut < 0 {
			return 0
		}
		key = key[:cut]
	}
	return 0
}

// locate returns the positions of the tables and keys of a syntactically valid document. Elements of inline
// arrays and inline tables have none of their own.
func locate(document []byte) Positions {
	positions := Positions{lines: make(map[string]int)}
	counts := make(map[string]int)
	prefix := ""
	parser := &unstable.Parser{}
	parser.Reset(document)
	for parser.NextExpression() {
		node := parser.Expression()
		name, line := keyOf(parser, node)
		switch node.Kind {
		case unstable.Table:
			prefix = resolve(counts, name)
			positions.lines[prefix] = line
		case unstable.ArrayTable:
			parent := resolve(counts, name)
			prefix = fmt.Sprintf("%s[%d]", parent, counts[parent])
			counts[parent]++
			positions.lines[prefix] = line
		case unstable.KeyValue:
			positions.lines[join(prefix, strings.Join(name, "."))] = line
		}
	}
	return positions
}

// keyOf returns the parts of an expression's key and the line on which the key starts.
func keyOf(parser *unstable.Parser, node *unstable.Node) ([]string, int) {
	var parts []string
	line := 0
	for it := node.Key(); it.Next(); {
		part := it.Node()
		if line == 0 {
			line = parser.Shape(part.Raw).Start.Line
		}
		parts = append(parts, string(part.Data))
	}
	return parts, line
}

// resolve joins key parts to a dotted key, with the index of the latest element for every enclosing array table.
func resolve(counts map[string]int, parts []string) string {
	path := ""
	for i, part := range parts {
		path = join(path, part)
		if n := counts[path]; n > 0 && i < len(parts)-1 {
			path = fmt.Sprintf("%s[%d]", path, n-1)
		}
	}
	return path
}

// join appends a part to a dotted key.
func join(prefix, part string) string {
	if prefix == "" {
		return part
	}
	return prefix + "." + part
}
