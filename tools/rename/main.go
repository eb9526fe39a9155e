// Command rename renames declared identifiers of this repository. It finds uses with the type checker, not by text search.
//
//	go run -C tools ./rename TABLE
//
// Each line of the table names a package by its path within the module, an identifier, and the new name:
//
//	internal/route ErrNotPath ErrNotAbsolutePath
//	balance Events.Bar SetEjected
//
// An identifier is a package-level object, or a field or method of a type, written TYPE.MEMBER. The command rewrites every use of
// it in all packages and their tests, and the first word of its doc comment. It does not change struct tags, strings, other
// comments, or files that a build tag excludes. Run gofmt afterwards, since the alignment of code changes.
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

const (
	modulePath = "tuliprock" // path of the module whose identifiers are renamed
	moduleDir  = ".."        // directory of the module tuliprock, relative to tools, where the command runs
)

// testMainSuffix ends the import paths of the main packages that the go command generates for tests. Their source is in the build
// cache, which must not be edited.
const testMainSuffix = ".test"

// rule is a line of the table: one identifier to rename.
type rule struct {
	pkgPath    string // import path of the package that declares the identifier
	identifier string // identifier to rename, as NAME or TYPE.MEMBER
	newName    string
}

// edit is the replacement of a piece of a source file by a new text.
type edit struct {
	start, end int    // byte offsets of the piece in the file; end is exclusive
	text       string // new text of the piece
}

// renamer collects the edits of all files. It identifies an object by the position of its declaration, since a package and its
// test variants are type-checked separately and so have different objects for the same identifier.
type renamer struct {
	files    *token.FileSet               // positions of all loaded files
	newNames map[string]string            // new names, by the position of the declaration
	edits    map[string]map[edit]struct{} // edits by file; a set, since a file is visited once for each test variant of its package
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

// run renames the identifiers that the table in the file at tablePath lists.
func run(tablePath string) error {
	file, err := os.Open(tablePath)
	if err != nil {
		return err
	}
	rules, err := readTable(file)
	if err = errors.Join(err, file.Close()); err != nil {
		return err
	}
	r := &renamer{files: token.NewFileSet(), newNames: map[string]string{}, edits: map[string]map[edit]struct{}{}}
	loaded, err := packages.Load(&packages.Config{Mode: packages.LoadAllSyntax, Tests: true, Fset: r.files, Dir: moduleDir}, "./...")
	if err != nil {
		return err
	}
	for _, p := range loaded {
		for _, e := range p.Errors {
			err = errors.Join(err, e)
		}
	}
	if err = errors.Join(err, r.findDeclarations(loaded, rules)); err != nil {
		return err
	}
	for _, p := range loaded {
		if strings.HasSuffix(p.PkgPath, testMainSuffix) {
			continue
		}
		for _, syntax := range p.Syntax {
			r.renameIn(p.TypesInfo, syntax)
		}
	}
	return r.write()
}

// readTable parses the rules of a table. It skips empty lines and lines that begin with #.
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
			rules = append(rules, rule{modulePath + "/" + fields[0], fields[1], fields[2]})
		}
	}
	return rules, lines.Err()
}

// findDeclarations records the declaration of each rule's identifier. It returns an error that names all identifiers that do not
// exist.
func (r *renamer) findDeclarations(loaded []*packages.Package, rules []rule) error {
	var missing error
	for _, rule := range rules {
		found := false
		for _, p := range loaded {
			if p.PkgPath != rule.pkgPath {
				continue
			}
			if object := lookup(p.Types, rule.identifier); object != nil {
				found = true
				r.newNames[r.position(object)] = rule.newName
			}
		}
		if !found {
			missing = errors.Join(missing, fmt.Errorf("%s has no %s", rule.pkgPath, rule.identifier))
		}
	}
	return missing
}

// lookup returns the package-level object, or the field or method written TYPE.MEMBER, that an identifier names, or nil if it
// does not exist.
func lookup(p *types.Package, identifier string) types.Object {
	name, member, isMember := strings.Cut(identifier, ".")
	object := p.Scope().Lookup(name)
	if object == nil || !isMember {
		return object
	}
	found, _, _ := types.LookupFieldOrMethod(object.Type(), true, p, member)
	return found
}

// position returns the file, line and column at which an object is declared.
func (r *renamer) position(o types.Object) string { return r.files.Position(o.Pos()).String() }

// renameIn collects the edits of one file: one for each use, and one for each doc comment, of an identifier to rename.
func (r *renamer) renameIn(info *types.Info, file *ast.File) {
	ast.Inspect(file, func(n ast.Node) bool {
		switch n := n.(type) {
		case *ast.Ident:
			if newName := firstNonEmpty(r.newName(info.Defs[n]), r.newName(info.Uses[n])); newName != "" {
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

func firstNonEmpty(a, b string) string {
	if a != "" {
		return a
	}
	return b
}

// newName returns the new name of an object, or an empty string if the object keeps its name. An embedded field is renamed
// with its type.
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
	return r.newNames[r.position(o)]
}

// typeName returns the object that declares a type, which may be a named type, an alias or a pointer to one of them. It returns nil for
// any other type.
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

// renameInDoc renames the first word of a doc comment if that word is the identifier.
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

// replace adds an edit that replaces the source between two positions.
func (r *renamer) replace(begin, end token.Pos, text string) {
	from, to := r.files.Position(begin), r.files.Position(end)
	if r.edits[from.Filename] == nil {
		r.edits[from.Filename] = map[edit]struct{}{}
	}
	r.edits[from.Filename][edit{from.Offset, to.Offset, text}] = struct{}{}
}

// write applies the edits to the files. In each file it begins with the last edit, so that the offsets of the others stay valid.
func (r *renamer) write() error {
	editCount := 0
	for name, fileEdits := range r.edits {
		text, err := os.ReadFile(filepath.Clean(name))
		if err != nil {
			return err
		}
		edits := slices.SortedFunc(maps.Keys(fileEdits), func(a, b edit) int { return b.start - a.start })
		for _, e := range edits {
			text = slices.Replace(text, e.start, e.end, []byte(e.text)...)
		}
		if err := os.WriteFile(name, text, 0o644); err != nil {
			return err
		}
		editCount += len(edits)
	}
	fmt.Printf("%d edits in %d files\n", editCount, len(r.edits))
	return nil
}
