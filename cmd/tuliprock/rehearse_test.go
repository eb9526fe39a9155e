package main

import (
	"encoding/json"
	"os"
	"os/exec"
	"path/filepath"
	"strings"
	"syscall"
	"testing"
	"time"
)

// tinyDay is the text of a day's file, which specifies a scenario to rehearse: 2 s with two nodes and no faults.
const tinyDay = `format = 1
name = "tiny"
seed = 1
length = "2s"
[load]
use = 0.3
quota = 5
[[tier]]
name = "front"
nodes = 2
work = 1
  [[tier.kind]]
  name = "k"
  share = 1
  cores = 2
  speed = 1
  slots = 20
  room = 5
  cold_from = 0.3
[[class]]
name = "look"
effect = "safe"
share = 1
work = "20ms"
aim = "1s"
deadline = "2s"
worth = 1
[[tenant]]
name = "t"
share = 1
usage = 1
`

// writeTinyDay writes tinyDay to a file and returns its path. changes are pairs of a text and its replacement.
func writeTinyDay(t *testing.T, changes ...string) string {
	t.Helper()
	path := filepath.Join(t.TempDir(), "tiny.toml")
	text := strings.NewReplacer(changes...).Replace(tinyDay)
	if err := os.WriteFile(path, []byte(text), 0o600); err != nil {
		t.Fatal(err)
	}
	return path
}

// A rehearsal writes its result as JSON and as a complete HTML page, and leaves no temporary files behind.
func TestRehearseWritesResultAndReport(t *testing.T) {
	dir := t.TempDir()
	reportFile, resultFile := filepath.Join(dir, "r.html"), filepath.Join(dir, "r.json")
	code, stdout, stderr := runProgram(t, programCommand("rehearse", writeTinyDay(t), "--json", resultFile, "--report", reportFile))
	if code != 0 || !strings.Contains(stdout, "rule 1") || stderr != "" {
		t.Fatalf("exit code %d, want 0, a table with a line on rule 1 and no errors\n%s\n%s", code, stdout, stderr)
	}
	text, err := os.ReadFile(resultFile)
	if err != nil {
		t.Fatal(err)
	}
	var result struct {
		Format int
		Kind   string
		Runs   []struct {
			Held, Valid    bool
			InTimeFraction float64 `json:"whole"`
			Requests       struct {
				Total  int `json:"asked"`
				Served int
			}
			Invariants struct{ Rules []struct{ Verdict string } } `json:"referee"`
		}
	}
	if err := json.Unmarshal(text, &result); err != nil {
		t.Fatal(err)
	}
	if result.Format != 1 || result.Kind != "rehearsal" || len(result.Runs) != 1 || !result.Runs[0].Held || result.Runs[0].InTimeFraction < 0.9 || result.Runs[0].Requests.Total < 50 ||
		result.Runs[0].Invariants.Rules[0].Verdict != "held" || result.Runs[0].Invariants.Rules[3].Verdict != "not put to the test" {
		t.Errorf("result %+v, want one run of at least 50 requests that held the rule on final responses and did not test the one on warming endpoints", result)
	}
	page, err := os.ReadFile(reportFile)
	if err != nil || !strings.Contains(string(page), "<svg") || strings.Contains(string(page), "http") {
		t.Errorf("the HTML page has no chart or loads something from the network; error %v", err)
	}
	temporaryFiles, _ := filepath.Glob(filepath.Join(dir, ".*"))
	if len(temporaryFiles) > 0 {
		t.Errorf("temporary files %v remain, want none", temporaryFiles)
	}
}

// A rehearsal whose sidecars run on operators' files (--serve) is valid and violates no invariant.
func TestRehearseWithServeBreaksNoRule(t *testing.T) {
	code, stdout, stderr := runProgram(t, programCommand("rehearse", writeTinyDay(t), "--serve", "--json", "-"))
	if code != 0 {
		t.Fatalf("exit code %d, want 0\n%s\n%s", code, stdout, stderr)
	}
	var result struct {
		Runs []struct {
			Held, Valid    bool
			InTimeFraction float64 `json:"whole"`
		}
	}
	if err := json.Unmarshal([]byte(stdout), &result); err != nil || len(result.Runs) != 1 || !result.Runs[0].Held || !result.Runs[0].Valid || result.Runs[0].InTimeFraction < 0.9 {
		t.Errorf("result %+v, error %v, want one valid run that held all rules", result, err)
	}
}

func TestRehearseRejectsBadUsage(t *testing.T) {
	invalidDay := writeTinyDay(t, "cores = 2", "cores = 0")
	for name, c := range map[string]struct {
		args []string
		want string // expected part of standard error
	}{
		"invalid day":              {[]string{"rehearse", invalidDay}, ":15: tier[0].kind[0].cores: must be"},
		"missing day":              {[]string{"rehearse", "nowhere.toml"}, "nowhere.toml"},
		"unknown baseline policy":  {[]string{"rehearse", "--against", "best"}, "--against"},
		"unknown command":          {[]string{"rehearsal"}, "unexpected argument"},
		"unknown flag":             {[]string{"rehearse", "--loud"}, "--loud"},
		"zero demand":              {[]string{"rehearse", "--demand", "0"}, "--demand"},
		"missing output directory": {[]string{"rehearse", "--json", "/nowhere/r.json"}, "/nowhere"},
		"too short length":         {[]string{"rehearse", "--length", "1ms"}, "1ms"},
	} {
		t.Run(name, func(t *testing.T) {
			code, stdout, stderr := runProgram(t, programCommand(c.args...))
			if code != 2 || stdout != "" || !strings.Contains(stderr, c.want) || strings.Count(stderr, "\n") != 1 {
				t.Errorf("exit code %d, stdout %q, stderr %q, want 2, nothing and one line with %q", code, stdout, stderr, c.want)
			}
		})
	}
}

// The printed plan of a day is the same for the same seed, and differs for another seed.
func TestRehearsePlanIsDeterministicBySeed(t *testing.T) {
	path := writeTinyDay(t)
	code, first, _ := runProgram(t, programCommand("rehearse", path, "--plan"))
	_, firstAgain, _ := runProgram(t, programCommand("rehearse", path, "--plan"))
	_, ofOtherSeed, _ := runProgram(t, programCommand("rehearse", path, "--plan", "--seed", "2"))
	if code != 0 || first != firstAgain || first == ofOtherSeed || strings.Count(first, "\n") < 50 {
		t.Errorf("exit code %d, same plan for the same seed: %v, same for another seed: %v, %d lines; want 0, true, false, at least 50",
			code, first == firstAgain, first == ofOtherSeed, strings.Count(first, "\n"))
	}
}

// If the result cannot be written after the rehearsal, the command reports that in one line and exits with 1.
func TestRehearseReportsFullDisk(t *testing.T) {
	if _, err := os.Stat("/dev/full"); err != nil {
		t.Skip("no /dev/full here")
	}
	code, _, stderr := runProgram(t, programCommand("rehearse", writeTinyDay(t), "--json", "/dev/full"))
	if code != 1 || !strings.Contains(stderr, "no space left") || strings.Count(stderr, "\n") != 1 {
		t.Errorf("exit code %d, stderr %q, want 1 and one line that no space is left", code, stderr)
	}
}

// A rehearsal with two baseline policies besides the daemon's own balancer, and with two demand factors, makes six runs, and
// prints a table with all of them.
func TestRehearseComparesBaselinesAndDemands(t *testing.T) {
	var code int
	var stdout, stderr string
	// The rehearsal is repeated if a run is reported as not valid: the machine was then too busy to judge whether the
	// sidecars kept the invariants.
	for range 3 {
		code, stdout, stderr = runProgram(t, programCommand("rehearse", writeTinyDay(t), "--against", "random,least-outstanding", "--demand", "0.5,1"))
		if !strings.Contains(stdout, "NOT VALID") {
			break
		}
	}
	if code != 0 || strings.Count(stdout, "\ntiny ") != 6 || strings.Count(stdout, "least-outstanding") != 2 || strings.Count(stdout, "held") != 6 {
		t.Errorf("exit code %d, want 0 and six runs that held\n%s\n%s", code, stdout, stderr)
	}
}

// A rehearsal whose process was paused reports that its result is not valid, rather than that an invariant was violated.
func TestPausedRehearsalIsNotValid(t *testing.T) {
	cmd, stderr := startRehearsal(t, writeTinyDay(t))
	for _, s := range []syscall.Signal{syscall.SIGSTOP, syscall.SIGCONT} {
		if err := cmd.Process.Signal(s); err != nil {
			t.Fatal(err)
		}
		time.Sleep(700 * time.Millisecond) // a rehearsal that is paused for over 500 ms is not valid
	}
	_ = cmd.Wait()
	if cmd.ProcessState.ExitCode() != 1 || !strings.Contains(stderr.String(), "tiny is not valid") {
		t.Errorf("exit code %d, stderr %q, want 1 and that the day is not valid", cmd.ProcessState.ExitCode(), stderr.String())
	}
}

// startRehearsal starts a rehearsal of the day in the file dayFile, waits until its clients send requests, and returns its
// command and standard error. The standard error must not be read before the command has ended.
func startRehearsal(t *testing.T, dayFile string) (*exec.Cmd, *strings.Builder) {
	t.Helper()
	logDir, stderr := t.TempDir(), &strings.Builder{}
	cmd := programCommand("rehearse", dayFile, "--logs", logDir)
	cmd.Stderr = stderr
	if err := cmd.Start(); err != nil {
		t.Fatal(err)
	}
	for end := time.Now().Add(20 * time.Second); ; time.Sleep(5 * time.Millisecond) {
		logFiles, _ := filepath.Glob(filepath.Join(logDir, "*", "sidecar-1.log"))
		if len(logFiles) > 0 {
			if text, _ := os.ReadFile(logFiles[0]); strings.Contains(string(text), "listening") {
				break
			}
		}
		if time.Now().After(end) {
			t.Fatal("no sidecar of the rehearsal was listening after 20 s")
		}
	}
	time.Sleep(200 * time.Millisecond) // the first request, whose sending is not logged, is sent in this time
	return cmd, stderr
}

// SIGINT ends a rehearsal and the processes that it started.
func TestInterruptEndsRehearsalAndItsProcesses(t *testing.T) {
	cmd, stderr := startRehearsal(t, writeTinyDay(t, `"2s"`, `"60s"`))
	if err := cmd.Process.Signal(syscall.SIGINT); err != nil {
		t.Fatal(err)
	}
	_ = cmd.Wait()
	if cmd.ProcessState.ExitCode() != 1 || stderr.String() != "tuliprock: interrupted; everything that was started has ended\n" {
		t.Errorf("exit code %d, stderr %q, want 1 and that the rehearsal was interrupted", cmd.ProcessState.ExitCode(), stderr.String())
	}
}
