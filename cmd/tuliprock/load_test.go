package main

import (
	"fmt"
	"path/filepath"
	"strings"
	"testing"

	"tuliprock/internal/testkit/testpeer"
)

// Two load runs against a stand-in node write results that "load merge" adds up.
func TestLoadWritesResultsThatMerge(t *testing.T) {
	addr, dir := testpeer.FreeAddress(t), t.TempDir()
	startProcess(t, "stand-in", addr).awaitText(t, addr)
	files := []string{filepath.Join(dir, "a.json"), filepath.Join(dir, "b.json")}
	for i, file := range files {
		// Exit code 1 is accepted: a run on a busy machine can be reported as not valid, but still writes its result.
		code, stdout, stderr := runProgram(t, programCommand("load", "--target", "http://"+addr+"/{n}", "--rate", "50", "--for", "1s",
			"--gaps", "even", "--seed", fmt.Sprint(i), "--json", file))
		if code > 1 || !strings.Contains(stdout, "due 50 in") || !strings.Contains(stdout, "from when due") {
			t.Fatalf("load: exit code %d, want at most 1 and 50 due requests\n%s\n%s", code, stdout, stderr)
		}
	}
	code, stdout, stderr := runProgram(t, programCommand(append([]string{"load", "merge"}, files...)...))
	if code > 1 || !strings.Contains(stdout, "due 100 in") || !strings.Contains(stdout, "2 runs together") {
		t.Errorf("load merge: exit code %d, want at most 1 and 100 due requests of 2 runs\n%s\n%s", code, stdout, stderr)
	}
}
