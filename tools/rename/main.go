// Command rename renames declared identifiers of this repository by their types, never by their text.
//
//	go run -C tools ./rename TABLE
//
// Each line of the table names a package by its path within the module, an identifier, and the new name:
//
//	internal/route ErrNotPath ErrNotAbsolutePath
//	balance Events.Bar SetEjected
//
// An identifier is a package-level object, or a field or method of a type. Every use follows, in tests of all packages too, and so
// does the first word of a doc comment. Not renamed: struct tags, strings, other comments, and files that a build tag leaves out. Run
// gofmt afterwards, since alignment changes.
package main

import (
	"bufio"
	"errors"
	"fmt"
	"go/ast"
	"go/token"
	"go/types"
	"io"
	"maps"
	"os"
	"path/filepath"
	"slices"
	"strings"

	"golang.org/x/tools/go/packages"
)

// module is the path of the module that is rewritten, and root its folder as seen from tools.
const (
	module = "tuliprock"
	root   = ".."
)

// rule is a line of the table.
type rule struct {
	pkg, identifier, newName string
}

// edit replaces the bytes from start to end of a file.
type edit struct {
	start, end int
	text       string
}

// renamer collects the edits that follow from where the renamed objects are declared.
type renamer struct {
	files   *token.FileSet
	targets map[string]string            // the new name by the position of the declaration
	edits   map[string]map[edit]struct{} // by file; a file is seen once for each variant of its package
}

func main() {
	if len(os.Args) != 2 {
		fmt.Fprintln(os.Stderr, "usage: rename TABLE")
		os.Exit(2)
	}
	if err := run(os.Args[1]); err != nil {
		fmt.Fprintln(os.Stderr, "rename:", err)
		os.Exit(1)
	}
}

func run(table string) error {
	file, err := os.Open(table)
	if err != nil {
		return err
	}
	rules, err := readTable(file)
	if err = errors.Join(err, file.Close()); err != nil {
		return err
	}
	r := &renamer{files: token.NewFileSet(), targets: map[string]string{}, edits: map[string]map[edit]struct{}{}}
	loaded, err := packages.Load(&packages.Config{Mode: packages.LoadAllSyntax, Tests: true, Fset: r.files, Dir: root}, "./...")
	if err != nil {
		return err
	}
	for _, p := range loaded {
		for _, e := range p.Errors {
			err = errors.Join(err, e)
		}
	}
	if err = errors.Join(err, r.findTargets(loaded, rules)); err != nil {
		return err
	}
	for _, p := range loaded {
		for _, syntax := range p.Syntax {
			r.renameIn(p.TypesInfo, syntax)
		}
	}
	return r.write()
}

// readTable reads the rules; empty lines and those that begin with # are left out.
func readTable(in io.Reader) ([]rule, error) {
	var rules []rule
	lines := bufio.NewScanner(in)
	for lines.Scan() {
		fields := strings.Fields(lines.Text())
		switch {
		case len(fields) == 0 || strings.HasPrefix(fields[0], "#"):
		case len(fields) != 3:
			return nil, fmt.Errorf("not of the form PACKAGE IDENTIFIER NEWNAME: %q", lines.Text())
		default:
			rules = append(rules, rule{module + "/" + fields[0], fields[1], fields[2]})
		}
	}
	return rules, lines.Err()
}

// findTargets notes where the rules' objects are declared; each must be there.
func (r *renamer) findTargets(loaded []*packages.Package, rules []rule) error {
	var missing error
	for _, rule := range rules {
		found := false
		for _, p := range loaded {
			if p.PkgPath != rule.pkg {
				continue
			}
			if object := lookup(p.Types, rule.identifier); object != nil {
				found = true
				r.targets[r.position(object)] = rule.newName
			}
		}
		if !found {
			missing = errors.Join(missing, fmt.Errorf("%s has no %s", rule.pkg, rule.identifier))
		}
	}
	return missing
}

// lookup finds a package-level object, or a field or method written TYPE.MEMBER; nil: there is none.
func lookup(p *types.Package, identifier string) types.Object {
	name, member, isMember := strings.Cut(identifier, ".")
	object := p.Scope().Lookup(name)
	if object == nil || !isMember {
		return object
	}
	found, _, _ := types.LookupFieldOrMethod(object.Type(), true, p, member)
	return found
}

func (r *renamer) position(o types.Object) string { return r.files.Position(o.Pos()).String() }

// renameIn adds the edits of one file.
func (r *renamer) renameIn(info *types.Info, file *ast.File) {
	ast.Inspect(file, func(n ast.Node) bool {
		switch n := n.(type) {
		case *ast.Ident:
			if newName := cmpOr(r.newName(info.Defs[n]), r.newName(info.Uses[n])); newName != "" {
				r.replace(n.Pos(), n.End(), newName)
			}
		case *ast.FuncDecl:
			r.renameInDoc(info, n.Doc, n.Name)
		case *ast.GenDecl:
			for _, s := range n.Specs {
				switch s := s.(type) {
				case *ast.TypeSpec:
					r.renameInDoc(info, n.Doc, s.Name)
					r.renameInDoc(info, s.Doc, s.Name)
				case *ast.ValueSpec:
					r.renameInDoc(info, n.Doc, s.Names[0])
					r.renameInDoc(info, s.Doc, s.Names[0])
				}
			}
		}
		return true
	})
}

func cmpOr(a, b string) string {
	if a != "" {
		return a
	}
	return b
}

// newName is what an object is to be called; empty: it keeps its name. An embedded field goes by its type's name.
func (r *renamer) newName(o types.Object) string {
	switch v := o.(type) {
	case nil:
		return ""
	case *types.Var:
		o = v.Origin()
		if v.Embedded() {
			if name := r.newName(typeName(v.Type())); name != "" {
				return name
			}
		}
	case *types.Func:
		o = v.Origin()
	}
	return r.targets[r.position(o)]
}

// typeName is the declared name of a type or of what a pointer leads to; nil: it has none.
func typeName(t types.Type) types.Object {
	if pointer, ok := t.(*types.Pointer); ok {
		t = pointer.Elem()
	}
	switch t := t.(type) {
	case *types.Named:
		return t.Obj()
	case *types.Alias:
		return t.Obj()
	}
	return nil
}

// renameInDoc renames the first word of a doc comment, if it is the identifier.
func (r *renamer) renameInDoc(info *types.Info, doc *ast.CommentGroup, identifier *ast.Ident) {
	if doc == nil {
		return
	}
	newName := r.newName(info.Defs[identifier])
	if rest, ok := strings.CutPrefix(doc.List[0].Text, "// "+identifier.Name); newName != "" && ok && strings.HasPrefix(rest, " ") {
		begin := doc.Pos() + token.Pos(len("// "))
		r.replace(begin, begin+token.Pos(len(identifier.Name)), newName)
	}
}

func (r *renamer) replace(begin, end token.Pos, text string) {
	from, to := r.files.Position(begin), r.files.Position(end)
	if r.edits[from.Filename] == nil {
		r.edits[from.Filename] = map[edit]struct{}{}
	}
	r.edits[from.Filename][edit{from.Offset, to.Offset, text}] = struct{}{}
}

// write carries the edits out, from the end of each file to its beginning so that offsets hold.
func (r *renamer) write() error {
	count := 0
	for name, set := range r.edits {
		text, err := os.ReadFile(filepath.Clean(name))
		if err != nil {
			return err
		}
		edits := slices.SortedFunc(maps.Keys(set), func(a, b edit) int { return b.start - a.start })
		for _, e := range edits {
			text = slices.Replace(text, e.start, e.end, []byte(e.text)...)
		}
		if err := os.WriteFile(name, text, 0o644); err != nil {
			return err
		}
		count += len(edits)
	}
	fmt.Printf("%d edits in %d files\n", count, len(r.edits))
	return nil
}
