package tomlfile

import (
	"bytes"
	"slices"

	"github.com/pelletier/go-toml/v2/unstable"
)

// RemoveTopLevel gives a text without what stands below some of its top-level names, and which of them it had. The rest stays as it
// was written; comment lines go with what follows them. The text must be sound.
func RemoveTopLevel(text []byte, names ...string) (rest []byte, had []string) {
	var p unstable.Parser
	p.Reset(text)
	var drop, inTable bool
	from := 0
	keep := func(until int) {
		if !drop {
			rest = append(rest, text[from:until]...)
		}
		from = until
	}
	for p.NextExpression() {
		e := p.Expression()
		if e.Kind == unstable.KeyValue && inTable { // it goes as its table does
			continue
		}
		inTable = e.Kind != unstable.KeyValue
		key := e.Key()
		key.Next()
		top := string(key.Node().Data)
		keep(blockStart(text, int(key.Node().Raw.Offset)))
		if drop = slices.Contains(names, top); drop && !slices.Contains(had, top) {
			had = append(had, top)
		}
	}
	keep(len(text))
	return rest, had
}

// blockStart is where the line round an offset begins, and the comment lines before it.
func blockStart(text []byte, offset int) int {
	at := bytes.LastIndexByte(text[:offset], '\n') + 1
	for at > 0 {
		before := bytes.LastIndexByte(text[:at-1], '\n') + 1
		if !bytes.HasPrefix(bytes.TrimSpace(text[before:at]), []byte("#")) {
			break
		}
		at = before
	}
	return at
}
