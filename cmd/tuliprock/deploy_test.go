package main

import (
	"go/build"
	"go/parser"
	"go/token"
	"os"
	"path/filepath"
	"slices"
	"strings"
	"testing"

	"github.com/pelletier/go-toml/v2"
)

const module = "tuliprock/"

// daemonImports are the packages of this module that daemon.go imports, directly or not; those of tests and tools are not
// followed.
func daemonImports(t *testing.T, root string) []string {
	t.Helper()
	parsed, err := parser.ParseFile(token.NewFileSet(), filepath.Join(root, "cmd/tuliprock/daemon.go"), nil, parser.ImportsOnly)
	if err != nil {
		t.Fatal(err)
	}
	var todo, found []string
	for _, i := range parsed.Imports {
		todo = append(todo, strings.Trim(i.Path.Value, `"`))
	}
	for len(todo) > 0 {
		folder, ours := strings.CutPrefix(todo[0], module)
		if todo = todo[1:]; !ours || slices.Contains(found, folder) {
			continue
		}
		found = append(found, folder)
		p, err := build.ImportDir(filepath.Join(root, folder), 0)
		if err != nil {
			t.Fatal(err)
		}
		todo = append(todo, p.Imports...)
	}
	return found
}

// The operators' programs read the folders that "node" lists: one that was missing ended their full fleet score four times
// ("the len is 13 but the index is 13").
func TestDeployFileListsTheDaemonsPackages(t *testing.T) {
	root := filepath.Join("..", "..")
	text, err := os.ReadFile(filepath.Join(root, "deploy", "balancer.toml"))
	if err != nil {
		t.Fatal(err)
	}
	var deploy struct{ Node, Policy []string }
	if err := toml.Unmarshal(text, &deploy); err != nil {
		t.Fatal(err)
	}
	// The policy's folder has a line of its own in the file, and simwire is the simulator's: the daemon uses only its decoder
	// of settings.
	want := []string{"cmd/tuliprock"}
	for _, folder := range daemonImports(t, root) {
		if folder != filepath.Dir(deploy.Policy[0]) && folder != "internal/simwire" {
			want = append(want, folder)
		}
	}
	slices.Sort(want)
	if !slices.Equal(deploy.Node, want) {
		t.Errorf("node names %q, the daemon imports %q", deploy.Node, want)
	}
}
