package tomlfile

import (
	"fmt"

	"github.com/pelletier/go-toml/v2/unstable"
)

// indexLines records the line of each key and table. The text must be valid TOML.
func (f *File) indexLines(text []byte) {
	var p unstable.Parser
	p.Reset(text)
	table := ""                       // full name of the current table
	tablesInArray := map[string]int{} // number of tables read so far in each array of tables, by full name
	for p.NextExpression() {
		e := p.Expression()
		switch e.Kind {
		case unstable.Table:
			table = f.recordLine(&p, "", e.Key(), tablesInArray)
		case unstable.ArrayTable:
			array, _ := fullName("", e.Key(), tablesInArray)
			tablesInArray[array]++
			table = f.recordLine(&p, "", e.Key(), tablesInArray)
		case unstable.KeyValue:
			f.recordValueLines(&p, table, e)
		}
	}
}

// recordLine records the line of a key, which is relative to table, and returns the key's full name.
func (f *File) recordLine(p *unstable.Parser, table string, key unstable.Iterator, tablesInArray map[string]int) string {
	line := 0
	for part := key; part.Next(); {
		line = p.Shape(part.Node().Raw).Start.Line
	}
	_, name := fullName(table, key, tablesInArray)
	f.lines[name] = line
	return name
}

// recordValueLines records the line of a key, and the lines of the keys inside its value if that is an inline table.
func (f *File) recordValueLines(p *unstable.Parser, table string, keyValue *unstable.Node) {
	name := f.recordLine(p, table, keyValue.Key(), nil)
	if keyValue.Value().Kind != unstable.InlineTable {
		return
	}
	for it := keyValue.Value().Children(); it.Next(); {
		f.recordValueLines(p, name, it.Node())
	}
}

// fullName returns the full name of a key that is relative to table. A part that names an array of tables gets the
// index of the last table read, since that is the one a TOML header refers to. array is the full name without the
// index of its last part.
func fullName(table string, key unstable.Iterator, tablesInArray map[string]int) (array, name string) {
	name = table
	for key.Next() {
		array = joinName(name, string(key.Node().Data))
		name = array
		if n := tablesInArray[array]; n > 0 {
			name = fmt.Sprintf("%s[%d]", array, n-1)
		}
	}
	return array, name
}
