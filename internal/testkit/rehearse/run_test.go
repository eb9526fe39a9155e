package rehearse

import (
	"context"
	"encoding/json"
	"errors"
	"net"
	"os"
	"os/exec"
	"path/filepath"
	"strings"
	"testing"
	"time"

	"go.uber.org/goleak"
)

// TestInterruptedRunLeavesNothingBehind guards against processes and goroutines that outlive an interrupted run.
func TestInterruptedRunLeavesNothingBehind(t *testing.T) {
	defer goleak.VerifyNone(t)
	dir := t.TempDir()
	ctx, interrupt := context.WithCancel(context.Background())
	defer interrupt()
	opt := Options{LogDir: dir, NewCommand: sidecarCommand("good"), OnProgress: func(s Snapshot) {
		if s.Elapsed > 500*time.Millisecond {
			interrupt()
		}
	}}
	if _, err := Run(ctx, newTestPlan(t), opt); !errors.Is(err, context.Canceled) {
		t.Errorf("Run returned error %v, want context.Canceled", err)
	}
	configs, err := filepath.Glob(filepath.Join(dir, "*.json"))
	if err != nil || len(configs) != 6 {
		t.Fatalf("found the configurations %v (error %v), want one for each of 6 sidecars", configs, err)
	}
	for _, path := range configs {
		text, err := os.ReadFile(path)
		if err != nil {
			t.Fatal(err)
		}
		var c struct{ Listen string }
		if err := json.Unmarshal(text, &c); err != nil {
			t.Fatal(err)
		}
		if conn, err := net.DialTimeout("tcp", c.Listen, time.Second); err == nil {
			conn.Close()
			t.Errorf("a process still listens at %s after the run", c.Listen)
		}
	}
}

// TestSidecarThatDoesNotStartEndsTheRun checks that the error is one line, which quotes the log if the sidecar wrote one.
func TestSidecarThatDoesNotStartEndsTheRun(t *testing.T) {
	defer goleak.VerifyNone(t)
	for name, command := range map[string]func() *exec.Cmd{
		"no such program": func() *exec.Cmd { return exec.Command(filepath.Join(t.TempDir(), "nothing")) },
		"port in use":     sidecarCommand("occupies its own port"),
	} {
		t.Run(name, func(t *testing.T) {
			_, err := Run(context.Background(), newTestPlan(t), Options{NewCommand: command})
			if err == nil || strings.Contains(err.Error(), "\n") {
				t.Errorf("Run returned error %v, want one of a single line", err)
			}
			if name == "port in use" && (err == nil || !strings.Contains(err.Error(), "address already in use")) {
				t.Errorf("Run returned error %v, want one that quotes the sidecar's log", err)
			}
		})
	}
}
