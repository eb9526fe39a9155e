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

const modulePrefix = "tuliprock/" // prefix of the import paths of this module's packages

// findDaemonImports returns the folders of the packages of this module that the program of the deploy file imports, directly or indirectly. The
// imports of test files and of the other commands are not followed.
func findDaemonImports(t *testing.T, root string) []string {
	t.Helper()
	parsed, err := parser.ParseFile(token.NewFileSet(), filepath.Join(root, "cmd/tuliprockd/main.go"), nil, parser.ImportsOnly)
	if err != nil {
		t.Fatal(err)
	}
	var queue, found []string
	for _, i := range parsed.Imports {
		queue = append(queue, strings.Trim(i.Path.Value, `"`))
	}
	for len(queue) > 0 {
		folder, inModule := strings.CutPrefix(queue[0], modulePrefix)
		if queue = queue[1:]; !inModule || slices.Contains(found, folder) {
			continue
		}
		found = append(found, folder)
		p, err := build.ImportDir(filepath.Join(root, folder), 0)
		if err != nil {
			t.Fatal(err)
		}
		queue = append(queue, p.Imports...)
	}
	return found
}

// The operators' programs read the folders that "node" in deploy/balancer.toml lists, so the list must
// have all folders that the daemon is built from. If a folder is missing, these programs crash when they compute the full fleet
// score ("the len is 13 but the index is 13").
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
	// Two folders are not expected in the list: that of the balancer, whose files are listed under "policy", and internal/simwire, which
	// belongs to the simulator and of which the daemon uses only the decoder of settings.
	want := []string{"cmd/tuliprock", "cmd/tuliprockd"} // the daemon is either program: tuliprock without an argument is tuliprockd
	for _, folder := range findDaemonImports(t, root) {
		if folder != filepath.Dir(deploy.Policy[0]) && folder != "internal/simwire" {
			want = append(want, folder)
		}
	}
	slices.Sort(want)
	if !slices.Equal(deploy.Node, want) {
		t.Errorf("node lists %q, want the daemon's imports %q", deploy.Node, want)
	}
}
