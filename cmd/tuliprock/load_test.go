package main

import (
	"fmt"
	"path/filepath"
	"strings"
	"testing"

	"tuliprock/internal/testkit/testpeer"
)

// Two runs of load against a stand-in node, and the merge of their results.
func TestLoadWritesResultsThatMerge(t *testing.T) {
	addr, dir := testpeer.FreeAddress(t), t.TempDir()
	startProcess(t, "stand-in", addr).awaitText(t, addr)
	files := []string{filepath.Join(dir, "a.json"), filepath.Join(dir, "b.json")}
	for i, f := range files {
		// Exit code 1 is a busy machine's: the result is there all the same.
		code, out, errs := runProgram(t, programCommand("load", "--target", "http://"+addr+"/{n}", "--rate", "50", "--for", "1s",
			"--gaps", "even", "--seed", fmt.Sprint(i), "--json", f))
		if code > 1 || !strings.Contains(out, "due 50 in") || !strings.Contains(out, "from when due") {
			t.Fatalf("%d\n%s\n%s", code, out, errs)
		}
	}
	code, out, errs := runProgram(t, programCommand(append([]string{"load", "merge"}, files...)...))
	if code > 1 || !strings.Contains(out, "due 100 in") || !strings.Contains(out, "2 runs together") {
		t.Errorf("%d\n%s\n%s", code, out, errs)
	}
}
