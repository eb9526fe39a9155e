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

// runAsProgramEnv is the environment variable that makes the test binary run main instead of the tests. It is inherited by
// the sidecars that a rehearsal starts.
const runAsProgramEnv = "TULIPROCK_TEST_PROGRAM"

func TestMain(m *testing.M) {
	if description := os.Getenv(runAsServerEnv); description != "" {
		runServer(description)
		os.Exit(1)
	}
	if os.Getenv(runAsProgramEnv) != "" {
		main()
		os.Exit(0)
	}
	code := m.Run()
	if daemonDir != "" {
		_ = os.RemoveAll(daemonDir) // what is left in the temporary directory does no harm
	}
	os.Exit(code)
}

// programCommand returns a command that runs the program, as a process of the test binary, with these arguments.
func programCommand(args ...string) *exec.Cmd {
	cmd := exec.Command(os.Args[0], args...)
	cmd.Env = append(os.Environ(), runAsProgramEnv+"=1")
	return cmd
}

// runProgram runs the command to its end and returns its exit code and output.
func runProgram(t *testing.T, cmd *exec.Cmd) (code int, stdout, stderr string) {
	t.Helper()
	var stdoutText, stderrText strings.Builder
	cmd.Stdout, cmd.Stderr = &stdoutText, &stderrText
	err := cmd.Run()
	if exitErr := (*exec.ExitError)(nil); err != nil && !errors.As(err, &exitErr) {
		t.Fatal(err)
	}
	return cmd.ProcessState.ExitCode(), stdoutText.String(), stderrText.String()
}

// outputBuffer collects the output of a process, and can be read while the process runs.
type outputBuffer struct {
	mu   sync.Mutex
	text bytes.Buffer
}

// Write implements io.Writer. It may be called concurrently with String and awaitText.
func (b *outputBuffer) Write(p []byte) (int, error) {
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.text.Write(p)
}

func (b *outputBuffer) String() string {
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.text.String()
}

// awaitText waits until the output contains a text.
func (b *outputBuffer) awaitText(t *testing.T, want string) {
	t.Helper()
	for end := time.Now().Add(testpeer.Timeout); !strings.Contains(b.String(), want); time.Sleep(5 * time.Millisecond) {
		if time.Now().After(end) {
			t.Fatalf("the output lacks %q: %s", want, b)
		}
	}
}

// process is a process of the program, whose standard error is collected in the outputBuffer. It is killed at the end of the test.
type process struct {
	outputBuffer
	cmd  *exec.Cmd
	wait func() error // waits until the process exits and returns its exit error; may be called more than once
}

// startProcess starts the program with these arguments, in the working directory of the test.
func startProcess(t *testing.T, args ...string) *process {
	t.Helper()
	return startProcessIn(t, "", args...)
}

// startProcessIn starts the program with these arguments in the working directory dir, or in that of the test if dir is empty.
func startProcessIn(t *testing.T, dir string, args ...string) *process {
	t.Helper()
	p := &process{cmd: programCommand(args...)}
	p.cmd.Dir = dir
	p.start(t)
	return p
}

func (p *process) start(t *testing.T) {
	t.Helper()
	p.cmd.Stderr = &p.outputBuffer
	if err := p.cmd.Start(); err != nil {
		t.Fatal(err)
	}
	p.wait = sync.OnceValue(p.cmd.Wait)
	t.Cleanup(func() {
		_ = p.cmd.Process.Kill()
		_ = p.wait()
	})
}

func (p *process) signal(t *testing.T, sig syscall.Signal) {
	t.Helper()
	if err := p.cmd.Process.Signal(sig); err != nil {
		t.Fatal(err)
	}
}
