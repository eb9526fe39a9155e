package main

import (
	"encoding/json"
	"errors"
	"os"
	"os/exec"
	"path/filepath"
	"strings"
	"syscall"
	"testing"
	"time"
)

// The test binary is the program: a rehearsal starts it as its sidecars, with no argument.
const programEnv = "TULIPROCK_TEST_PROGRAM"

func TestMain(m *testing.M) {
	if what := os.Getenv(peerEnv); what != "" {
		peer(what)
		os.Exit(1)
	}
	if os.Getenv(programEnv) != "" {
		main()
		os.Exit(0)
	}
	os.Exit(m.Run())
}

func program(args ...string) *exec.Cmd {
	cmd := exec.Command(os.Args[0], args...)
	cmd.Env = append(os.Environ(), programEnv+"=1")
	return cmd
}

// tinyDay has one node and nothing that goes wrong.
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

func tiny(t *testing.T, change ...string) string {
	t.Helper()
	path := filepath.Join(t.TempDir(), "tiny.toml")
	text := strings.NewReplacer(change...).Replace(tinyDay)
	if err := os.WriteFile(path, []byte(text), 0o600); err != nil {
		t.Fatal(err)
	}
	return path
}

func run(t *testing.T, cmd *exec.Cmd) (code int, stdout, stderr string) {
	t.Helper()
	var out, errs strings.Builder
	cmd.Stdout, cmd.Stderr = &out, &errs
	err := cmd.Run()
	if exit := (*exec.ExitError)(nil); err != nil && !errors.As(err, &exit) {
		t.Fatal(err)
	}
	return cmd.ProcessState.ExitCode(), out.String(), errs.String()
}

func TestARehearsalGivesItsResult(t *testing.T) {
	dir := t.TempDir()
	report, result := filepath.Join(dir, "r.html"), filepath.Join(dir, "r.json")
	code, out, errs := run(t, program("rehearse", tiny(t), "--json", result, "--report", report))
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

// The same day with sidecars on operators' files has the same verdict.
func TestARehearsalWithOperatorsFiles(t *testing.T) {
	code, out, errs := run(t, program("rehearse", tiny(t), "--serve", "--json", "-"))
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

func TestBadUsageStartsNothing(t *testing.T) {
	bad := tiny(t, "cores = 2", "cores = 0")
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
		code, out, errs := run(t, program(c.args...))
		if code != 2 || out != "" || !strings.Contains(errs, c.want) || strings.Count(errs, "\n") != 1 {
			t.Errorf("%s: %d, %q, %q", name, code, out, errs)
		}
	}
}

func TestAPlanIsPrintedAndNotPlayed(t *testing.T) {
	path := tiny(t)
	code, first, _ := run(t, program("rehearse", path, "--plan"))
	_, again, _ := run(t, program("rehearse", path, "--plan"))
	_, other, _ := run(t, program("rehearse", path, "--plan", "--seed", "2"))
	if code != 0 || first != again || first == other || strings.Count(first, "\n") < 50 {
		t.Errorf("%d, same %v, %d lines", code, first == again, strings.Count(first, "\n"))
	}
}

// The day is played, and its result has nowhere to go: one clear line, and a code that says so.
func TestAFullDiskIsSaid(t *testing.T) {
	if _, err := os.Stat("/dev/full"); err != nil {
		t.Skip("no /dev/full here")
	}
	code, _, errs := run(t, program("rehearse", tiny(t), "--json", "/dev/full"))
	if code != 1 || !strings.Contains(errs, "no space left") || strings.Count(errs, "\n") != 1 {
		t.Errorf("%d %q", code, errs)
	}
}

func TestPlainPickersAndDemandsAreSetSideBySide(t *testing.T) {
	var code int
	var out, errs string
	for range 3 { // a play on a machine that did not let it run says so, and is no verdict
		if code, out, errs = run(t, program("rehearse", tiny(t), "--against", "random,least-outstanding", "--demand", "0.5,1")); !strings.Contains(out, "NOT VALID") {
			break
		}
	}
	if code != 0 || strings.Count(out, "\ntiny ") != 6 || strings.Count(out, "least-outstanding") != 2 || strings.Count(out, "held") != 6 {
		t.Errorf("%d\n%s\n%s", code, out, errs)
	}
}

// A rehearsal that stood still must say that it can't judge, and not blame the sidecars.
func TestARehearsalThatStoodStillIsNotValid(t *testing.T) {
	cmd, errs := started(t, tiny(t))
	for _, s := range []syscall.Signal{syscall.SIGSTOP, syscall.SIGCONT} {
		if err := cmd.Process.Signal(s); err != nil {
			t.Fatal(err)
		}
		time.Sleep(700 * time.Millisecond) // over the 500 ms that are allowed: the fault itself
	}
	_ = cmd.Wait()
	if cmd.ProcessState.ExitCode() != 1 || !strings.Contains(errs.String(), "tiny is not valid") {
		t.Errorf("%d %q", cmd.ProcessState.ExitCode(), errs.String())
	}
}

// started runs a rehearsal until its clients are at work.
func started(t *testing.T, day string) (*exec.Cmd, *strings.Builder) {
	t.Helper()
	logs, errs := t.TempDir(), &strings.Builder{}
	cmd := program("rehearse", day, "--logs", logs)
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
	time.Sleep(200 * time.Millisecond) // from its sidecar's start to the day's: nothing tells it
	return cmd, errs
}

func TestAnInterruptEndsEverything(t *testing.T) {
	cmd, errs := started(t, tiny(t, `"2s"`, `"60s"`))
	if err := cmd.Process.Signal(syscall.SIGINT); err != nil {
		t.Fatal(err)
	}
	_ = cmd.Wait()
	if cmd.ProcessState.ExitCode() != 1 || errs.String() != "tuliprock: interrupted; everything that was started has ended\n" {
		t.Errorf("%d %q", cmd.ProcessState.ExitCode(), errs.String())
	}
}

func TestWithNoArgumentItIsTheDaemon(t *testing.T) {
	cmd := program()
	cmd.Env = append(cmd.Env, "ROUTER_CONFIG=")
	if code, _, errs := run(t, cmd); code != 1 || errs != "tuliprock: ROUTER_CONFIG: not set\n" {
		t.Errorf("%d %q", code, errs)
	}
	if code, _, errs := run(t, program("plain", "best")); code != 2 || !strings.Contains(errs, "random") {
		t.Errorf("%d %q", code, errs)
	}
}

func TestAnOperatorsFileIsChecked(t *testing.T) {
	const example = "../../deploy/example.toml"
	bad := filepath.Join(t.TempDir(), "bad.toml")
	text, err := os.ReadFile(example)
	if err != nil {
		t.Fatal(err)
	}
	if err := os.WriteFile(bad, []byte(strings.Replace(string(text), `class = "lookup"`, `class = "look"`, 1)), 0o600); err != nil {
		t.Fatal(err)
	}
	shadowed := filepath.Join(t.TempDir(), "shadowed.toml")
	more := string(text) + "\n[[route]]\nname = \"never\"\npath = \"/x\"\npool = \"desk\"\nclass = \"other\"\n" +
		"[[pool]]\nname = \"again\"\n[[pool.member]]\naddress = \"127.0.0.1:9001\"\n"
	if err := os.WriteFile(shadowed, []byte(more), 0o600); err != nil {
		t.Fatal(err)
	}
	for name, c := range map[string]struct {
		args      []string
		code      int
		out, errs string
	}{
		"sound":              {[]string{example}, 0, "2 members", ""},
		"a bad field":        {[]string{bad}, 2, "", "route[0].class: must be the name of a class"},
		"no file":            {[]string{"nowhere.toml"}, 2, "", "nowhere.toml"},
		"a shadowed route":   {[]string{shadowed}, 0, "warning: route[3] (never) takes nothing: route[2] (rest) takes all", ""},
		"one of two pools":   {[]string{shadowed}, 0, "note: desk-1 in pool desk and 127.0.0.1:9001 in pool again are both at 127.0.0.1:9001", ""},
		"a route":            {[]string{example, "--route", "GET http://A.example:80/item/./7"}, 0, "route[0] (lookups) takes it", ""},
		"a later one":        {[]string{example, "--route", "POST http://a/bag-dispatch"}, 0, "header Idempotency-Key is missing", ""},
		"with its header":    {[]string{example, "--route", "POST http://a/bag-dispatch", "-H", "idempotency-key: k"}, 0, "route[1] (dispatches) takes it", ""},
		"an ambiguous path":  {[]string{example, "--route", "GET http://a/x%2fy"}, 2, "", "400"},
		"no method":          {[]string{example, "--route", "http://a/x"}, 2, "", "no method and URL"},
		"a header that isnt": {[]string{example, "--route", "GET http://a/x", "-H", "x"}, 2, "", "no colon"},
	} {
		code, out, errs := run(t, program(append([]string{"check"}, c.args...)...))
		if code != c.code || !strings.Contains(out, c.out) || !strings.Contains(errs, c.errs) || (c.errs == "") != (errs == "") {
			t.Errorf("%s: %d, %q, %q", name, code, out, errs)
		}
	}
}
