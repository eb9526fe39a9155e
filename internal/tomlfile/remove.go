package tomlfile

import (
	"bytes"
	"slices"

	"github.com/pelletier/go-toml/v2/unstable"
)

// RemoveTopLevel returns a text without the keys and tables whose names begin with one of the given top-level names, and
// which of these names it had, in order of appearance. The rest stays byte for byte; comment lines belong to what
// follows them. The text must be valid TOML.
func RemoveTopLevel(text []byte, names ...string) (rest []byte, found []string) {
	var p unstable.Parser
	p.Reset(text)
	var isRemoved, inTable bool // of the block that is being read; a block is a key with its value, or a table with its keys
	blockBegin := 0
	endBlock := func(end int) {
		if !isRemoved {
			rest = append(rest, text[blockBegin:end]...)
		}
		blockBegin = end
	}
	for p.NextExpression() {
		e := p.Expression()
		if e.Kind == unstable.KeyValue && inTable {
			continue // in the block of its table
		}
		inTable = e.Kind != unstable.KeyValue
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

// blockStart is the beginning of the line that has an offset, and of the comment lines right before it.
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
