package tomlfile

import (
	"bytes"
	"slices"

	"github.com/pelletier/go-toml/v2/unstable"
)

// RemoveTopLevel removes the keys and tables whose full names begin with one of the given top-level names. It returns
// the remaining text, unchanged byte for byte, and those of the names that were found, in order of appearance. Comment
// lines directly above a removed key or table are removed with it. The text must be valid TOML.
func RemoveTopLevel(text []byte, names ...string) (rest []byte, found []string) {
	var p unstable.Parser
	p.Reset(text)
	// A block is a top-level key with its value, or a table header with the table's keys.
	var isRemoved, isTable bool // whether the block that begins at currentStart is removed, and whether it is a table
	currentStart := 0           // offset of the current block in text
	endBlock := func(end int) {
		if !isRemoved {
			rest = append(rest, text[currentStart:end]...)
		}
		currentStart = end
	}
	for p.NextExpression() {
		e := p.Expression()
		if e.Kind == unstable.KeyValue && isTable {
			continue // a key in a table is kept or removed together with the table
		}
		isTable = e.Kind != unstable.KeyValue
		key := e.Key()
		key.Next()
		name := string(key.Node().Data)
		endBlock(blockStart(text, int(key.Node().Raw.Offset)))
		if isRemoved = slices.Contains(names, name); isRemoved && !slices.Contains(found, name) {
			found = append(found, name)
		}
	}
	endBlock(len(text))
	return rest, found
}

// blockStart returns the offset at which the line that contains offset begins. If comment lines stand directly above that line, it
// returns the offset at which the first of them begins.
func blockStart(text []byte, offset int) int {
	start := bytes.LastIndexByte(text[:offset], '\n') + 1
	for start > 0 {
		previous := bytes.LastIndexByte(text[:start-1], '\n') + 1
		if !bytes.HasPrefix(bytes.TrimSpace(text[previous:start]), []byte("#")) {
			break
		}
		start = previous
	}
	return start
}
