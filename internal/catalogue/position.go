package catalogue

import "github.com/pelletier/go-toml/v2/unstable"

// section is the position of one [[kind]] section of a file.
type section struct {
	// line is the line of the header.
	line int
	// keys maps each key to its line.
	keys map[string]int
}

// lineOf returns the line of a key, or of the header when the key is absent.
func (s section) lineOf(key string) int {
	if line, ok := s.keys[key]; ok {
		return line
	}
	return s.line
}

// positions are the sections of a file by header name, in file order, and the
// lines of the keys and headers at the top level.
type positions struct {
	sections map[string][]section
	top      map[string]int
}

// findPositions reads the positions of a syntactically valid document.
func findPositions(data []byte) positions {
	found := positions{sections: map[string][]section{}, top: map[string]int{}}
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
			found.sections[name] = append(found.sections[name], section{line: line, keys: map[string]int{}})
		case unstable.Table:
			name = key
			found.top[name] = line
		case unstable.KeyValue:
			found.record(name, key, line)
		}
	}
	return found
}

// record notes the line of a key in the latest section of the name.
func (p positions) record(name, key string, line int) {
	if name == "" {
		p.top[key] = line
		return
	}
	if all := p.sections[name]; len(all) > 0 {
		all[len(all)-1].keys[key] = line
	}
}

// firstKey returns the first part of an expression's key and its line.
func firstKey(parser *unstable.Parser, node *unstable.Node) (string, int) {
	keys := node.Key()
	if !keys.Next() {
		return "", 0
	}
	first := keys.Node()
	return string(first.Data), parser.Shape(first.Raw).Start.Line
}

// at returns the position of the section with the ordinal.
func (p positions) at(name string, ordinal int) section {
	if all := p.sections[name]; ordinal < len(all) {
		return all[ordinal]
	}
	return section{line: p.top[name]}
}
