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

// tinyDay is a day of two nodes without faults.
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

// writeTinyDay writes tinyDay with replacements, and returns its path.
func writeTinyDay(t *testing.T, change ...string) string {
	t.Helper()
	path := filepath.Join(t.TempDir(), "tiny.toml")
	text := strings.NewReplacer(change...).Replace(tinyDay)
	if err := os.WriteFile(path, []byte(text), 0o600); err != nil {
		t.Fatal(err)
	}
	return path
}

func TestRehearseWritesResultAndReport(t *testing.T) {
	dir := t.TempDir()
	report, result := filepath.Join(dir, "r.html"), filepath.Join(dir, "r.json")
	code, out, errs := runProgram(t, programCommand("rehearse", writeTinyDay(t), "--json", result, "--report", report))
	if code != 0 || !strings.Contains(out, "rule 1") || errs != "" {
		t.Fatalf("%d\n%s\n%s", code, out, errs)
	}
	text, err := os.ReadFile(result)
	if err != nil {
		t.Fatal(err)
	}
	var r struct {
		Format int
		Kind   string
		Runs   []struct {
			Held, Valid bool
			Whole       float64
			Requests    struct{ Asked, Served int }
			Referee     struct{ Rules []struct{ Verdict string } }
		}
	}
	if err := json.Unmarshal(text, &r); err != nil {
		t.Fatal(err)
	}
	if r.Format != 1 || r.Kind != "rehearsal" || len(r.Runs) != 1 || !r.Runs[0].Held || r.Runs[0].Whole < 0.9 || r.Runs[0].Requests.Asked < 50 ||
		r.Runs[0].Referee.Rules[0].Verdict != "held" || r.Runs[0].Referee.Rules[3].Verdict != "not put to the test" {
		t.Errorf("%+v", r)
	}
	page, err := os.ReadFile(report)
	if err != nil || !strings.Contains(string(page), "<svg") || strings.Contains(string(page), "http") {
		t.Errorf("the page is not whole, or loads something: %v", err)
	}
	left, _ := filepath.Glob(filepath.Join(dir, ".*"))
	if len(left) > 0 {
		t.Errorf("left behind: %v", left)
	}
}

// The same day with sidecars that serve operators' files has the same verdict.
func TestRehearseServeGivesTheSameVerdict(t *testing.T) {
	code, out, errs := runProgram(t, programCommand("rehearse", writeTinyDay(t), "--serve", "--json", "-"))
	if code != 0 {
		t.Fatalf("%d\n%s\n%s", code, out, errs)
	}
	var r struct {
		Runs []struct {
			Held, Valid bool
			Whole       float64
		}
	}
	if err := json.Unmarshal([]byte(out), &r); err != nil || len(r.Runs) != 1 || !r.Runs[0].Held || !r.Runs[0].Valid || r.Runs[0].Whole < 0.9 {
		t.Errorf("%v: %+v", err, r)
	}
}

func TestRehearseRejectsBadUsage(t *testing.T) {
	bad := writeTinyDay(t, "cores = 2", "cores = 0")
	for name, c := range map[string]struct {
		args []string
		want string
	}{
		"a bad day":           {[]string{"rehearse", bad}, ":15: tier[0].kind[0].cores: must be"},
		"no such day":         {[]string{"rehearse", "nowhere.toml"}, "nowhere.toml"},
		"an unknown picker":   {[]string{"rehearse", "--against", "best"}, "--against"},
		"an unknown command":  {[]string{"rehearsal"}, "unexpected argument"},
		"an unknown flag":     {[]string{"rehearse", "--loud"}, "--loud"},
		"no demand":           {[]string{"rehearse", "--demand", "0"}, "--demand"},
		"no such folder":      {[]string{"rehearse", "--json", "/nowhere/r.json"}, "/nowhere"},
		"a length of nothing": {[]string{"rehearse", "--length", "1ms"}, "1ms"},
	} {
		t.Run(name, func(t *testing.T) {
			code, out, errs := runProgram(t, programCommand(c.args...))
			if code != 2 || out != "" || !strings.Contains(errs, c.want) || strings.Count(errs, "\n") != 1 {
				t.Errorf("%d, %q, %q", code, out, errs)
			}
		})
	}
}

func TestRehearsePlanIsDeterministicBySeed(t *testing.T) {
	path := writeTinyDay(t)
	code, first, _ := runProgram(t, programCommand("rehearse", path, "--plan"))
	_, again, _ := runProgram(t, programCommand("rehearse", path, "--plan"))
	_, other, _ := runProgram(t, programCommand("rehearse", path, "--plan", "--seed", "2"))
	if code != 0 || first != again || first == other || strings.Count(first, "\n") < 50 {
		t.Errorf("%d, same %v, %d lines", code, first == again, strings.Count(first, "\n"))
	}
}

// When the result cannot be written after the day was played, one line says so, and the exit code is 1.
func TestRehearseReportsFullDisk(t *testing.T) {
	if _, err := os.Stat("/dev/full"); err != nil {
		t.Skip("no /dev/full here")
	}
	code, _, errs := runProgram(t, programCommand("rehearse", writeTinyDay(t), "--json", "/dev/full"))
	if code != 1 || !strings.Contains(errs, "no space left") || strings.Count(errs, "\n") != 1 {
		t.Errorf("%d %q", code, errs)
	}
}

func TestRehearseComparesBaselinesAndDemands(t *testing.T) {
	var code int
	var out, errs string
	for range 3 { // a play on a machine too busy for it says that it is not valid, which is no verdict
		code, out, errs = runProgram(t, programCommand("rehearse", writeTinyDay(t), "--against", "random,least-outstanding", "--demand", "0.5,1"))
		if !strings.Contains(out, "NOT VALID") {
			break
		}
	}
	if code != 0 || strings.Count(out, "\ntiny ") != 6 || strings.Count(out, "least-outstanding") != 2 || strings.Count(out, "held") != 6 {
		t.Errorf("%d\n%s\n%s", code, out, errs)
	}
}

// A rehearsal that was stopped for a while says that its result is not valid, and does not blame the sidecars.
func TestPausedRehearsalIsNotValid(t *testing.T) {
	cmd, errs := startRehearsal(t, writeTinyDay(t))
	for _, s := range []syscall.Signal{syscall.SIGSTOP, syscall.SIGCONT} {
		if err := cmd.Process.Signal(s); err != nil {
			t.Fatal(err)
		}
		time.Sleep(700 * time.Millisecond) // longer than the 500 ms that a valid rehearsal may stand still: the fault under test
	}
	_ = cmd.Wait()
	if cmd.ProcessState.ExitCode() != 1 || !strings.Contains(errs.String(), "tiny is not valid") {
		t.Errorf("%d %q", cmd.ProcessState.ExitCode(), errs.String())
	}
}

// startRehearsal starts a rehearsal and waits until its clients send requests.
func startRehearsal(t *testing.T, day string) (*exec.Cmd, *strings.Builder) {
	t.Helper()
	logs, errs := t.TempDir(), &strings.Builder{}
	cmd := programCommand("rehearse", day, "--logs", logs)
	cmd.Stderr = errs
	if err := cmd.Start(); err != nil {
		t.Fatal(err)
	}
	for end := time.Now().Add(20 * time.Second); ; time.Sleep(5 * time.Millisecond) {
		found, _ := filepath.Glob(filepath.Join(logs, "*", "sidecar-1.log"))
		if len(found) > 0 {
			if text, _ := os.ReadFile(found[0]); strings.Contains(string(text), "listening") {
				break
			}
		}
		if time.Now().After(end) {
			t.Fatal("never started")
		}
	}
	time.Sleep(200 * time.Millisecond) // from the sidecar's start to the first request, which nothing reports
	return cmd, errs
}

func TestInterruptEndsRehearsalAndItsProcesses(t *testing.T) {
	cmd, errs := startRehearsal(t, writeTinyDay(t, `"2s"`, `"60s"`))
	if err := cmd.Process.Signal(syscall.SIGINT); err != nil {
		t.Fatal(err)
	}
	_ = cmd.Wait()
	if cmd.ProcessState.ExitCode() != 1 || errs.String() != "tuliprock: interrupted; everything that was started has ended\n" {
		t.Errorf("%d %q", cmd.ProcessState.ExitCode(), errs.String())
	}
}
