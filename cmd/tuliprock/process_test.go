package main

import (
	"bytes"
	"errors"
	"os"
	"os/exec"
	"strings"
	"sync"
	"syscall"
	"testing"
	"time"

	"tuliprock/internal/testkit/testpeer"
)

// runAsProgramEnv makes the test binary the program itself: a rehearsal starts it as its sidecars, without an argument.
const runAsProgramEnv = "TULIPROCK_TEST_PROGRAM"

func TestMain(m *testing.M) {
	if what := os.Getenv(runAsPeerEnv); what != "" {
		runPeer(what)
		os.Exit(1)
	}
	if os.Getenv(runAsProgramEnv) != "" {
		main()
		os.Exit(0)
	}
	os.Exit(m.Run())
}

// programCommand returns the command that runs the program with these arguments.
func programCommand(args ...string) *exec.Cmd {
	cmd := exec.Command(os.Args[0], args...)
	cmd.Env = append(os.Environ(), runAsProgramEnv+"=1")
	return cmd
}

// runProgram runs the command until it ends.
func runProgram(t *testing.T, cmd *exec.Cmd) (code int, stdout, stderr string) {
	t.Helper()
	var out, errs strings.Builder
	cmd.Stdout, cmd.Stderr = &out, &errs
	err := cmd.Run()
	if exit := (*exec.ExitError)(nil); err != nil && !errors.As(err, &exit) {
		t.Fatal(err)
	}
	return cmd.ProcessState.ExitCode(), out.String(), errs.String()
}

// outputBuffer collects what a process writes while it runs.
type outputBuffer struct {
	mu   sync.Mutex
	text bytes.Buffer
}

// Write implements io.Writer.
func (s *outputBuffer) Write(b []byte) (int, error) {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.text.Write(b)
}

func (s *outputBuffer) String() string {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.text.String()
}

// awaitText waits until the process has written a text.
func (s *outputBuffer) awaitText(t *testing.T, want string) {
	t.Helper()
	for end := time.Now().Add(testpeer.Timeout); !strings.Contains(s.String(), want); time.Sleep(5 * time.Millisecond) {
		if time.Now().After(end) {
			t.Fatalf("never said %q: %s", want, s)
		}
	}
}

// process is a running process of the program. It is killed at the end of the test.
type process struct {
	outputBuffer
	cmd  *exec.Cmd
	wait func() error // waits for its end; may be called more than once
}

// startProcess runs the program with these arguments.
func startProcess(t *testing.T, args ...string) *process {
	t.Helper()
	return startProcessIn(t, "", args...)
}

// startProcessIn is startProcess in a working directory; empty: that of the test.
func startProcessIn(t *testing.T, dir string, args ...string) *process {
	t.Helper()
	s := &process{cmd: programCommand(args...)}
	s.cmd.Dir = dir
	s.start(t)
	return s
}

func (s *process) start(t *testing.T) {
	t.Helper()
	s.cmd.Stderr = &s.outputBuffer
	if err := s.cmd.Start(); err != nil {
		t.Fatal(err)
	}
	s.wait = sync.OnceValue(s.cmd.Wait)
	t.Cleanup(func() {
		_ = s.cmd.Process.Kill()
		_ = s.wait()
	})
}

func (s *process) signal(t *testing.T, sig syscall.Signal) {
	t.Helper()
	if err := s.cmd.Process.Signal(sig); err != nil {
		t.Fatal(err)
	}
}
