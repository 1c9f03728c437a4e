package catalogue

import "github.com/pelletier/go-toml/v2/unstable"

// sectionPosition is the position of one [[kind]] section of a file.
type sectionPosition struct {
	// line is the line of the header.
	line int
	// keys maps each key to its line.
	keys map[string]int
}

// lineOf returns the line of a key, or the line of the header when the key is absent.
func (s sectionPosition) lineOf(key string) int {
	if line, ok := s.keys[key]; ok {
		return line
	}
	return s.line
}

// filePositions holds the sections of a file by header name, in file order, and the
// lines of the keys and headers at the top level.
type filePositions struct {
	sections map[string][]sectionPosition
	top      map[string]int
}

// findPositions returns the positions in a syntactically valid document.
func findPositions(data []byte) filePositions {
	found := filePositions{sections: map[string][]sectionPosition{}, top: map[string]int{}}
	var parser unstable.Parser
	parser.Reset(data)
	name := ""
	for parser.NextExpression() {
		node := parser.Expression()
		key, line := firstKey(&parser, node)
		switch node.Kind {
		case unstable.ArrayTable:
			name = key
			found.top[name] = line
			found.sections[name] = append(found.sections[name], sectionPosition{line: line, keys: map[string]int{}})
		case unstable.Table:
			name = key
			found.top[name] = line
		case unstable.KeyValue:
			found.record(name, key, line)
		}
	}
	return found
}

// record stores the line of a key in the latest section with the header name, or
// at the top level when name is empty.
func (p filePositions) record(name, key string, line int) {
	if name == "" {
		p.top[key] = line
		return
	}
	if all := p.sections[name]; len(all) > 0 {
		all[len(all)-1].keys[key] = line
	}
}

// firstKey returns the first part of an expression's dotted key and its line.
func firstKey(parser *unstable.Parser, node *unstable.Node) (string, int) {
	keys := node.Key()
	if !keys.Next() {
		return "", 0
	}
	first := keys.Node()
	return string(first.Data), parser.Shape(first.Raw).Start.Line
}

// section returns the position of the section with the header name and ordinal.
// Sections written as inline tables have no position of their own; the line is
// then that of the top-level key.
func (p filePositions) section(name string, ordinal int) sectionPosition {
	if all := p.sections[name]; ordinal < len(all) {
		return all[ordinal]
	}
	return sectionPosition{line: p.top[name]}
}
