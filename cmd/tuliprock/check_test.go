package main

import (
	"os"
	"path/filepath"
	"strings"
	"testing"
)

// The command check reports a summary of a valid file, the field of an error, suspicious routes and members, and which route
// a request takes.
func TestCheckReportsErrorsWarningsAndRoutes(t *testing.T) {
	const example = "../../deploy/example.toml"
	invalidPath := filepath.Join(t.TempDir(), "bad.toml")
	text, err := os.ReadFile(example)
	if err != nil {
		t.Fatal(err)
	}
	if err := os.WriteFile(invalidPath, []byte(strings.Replace(string(text), `class = "lookup"`, `class = "look"`, 1)), 0o600); err != nil {
		t.Fatal(err)
	}
	shadowedPath := filepath.Join(t.TempDir(), "shadowed.toml")
	shadowedText := string(text) + "\n[[route]]\nname = \"never\"\npath = \"/x\"\npool = \"desk\"\nclass = \"other\"\n" +
		"[[pool]]\nname = \"again\"\n[[pool.member]]\naddress = \"127.0.0.1:9001\"\n"
	if err := os.WriteFile(shadowedPath, []byte(shadowedText), 0o600); err != nil {
		t.Fatal(err)
	}
	for name, c := range map[string]struct {
		args   []string
		code   int    // expected exit code
		stdout string // expected part of standard output
		stderr string // expected part of standard error; empty: nothing is written there
	}{
		"valid file":                     {[]string{example}, 0, "2 members", ""},
		"invalid field":                  {[]string{invalidPath}, 2, "", "route[0].class: must be the name of a class"},
		"missing file":                   {[]string{"nowhere.toml"}, 2, "", "nowhere.toml"},
		"shadowed route":                 {[]string{shadowedPath}, 0, "warning: route[3] (never) takes nothing: route[2] (rest) takes all", ""},
		"member of two pools":            {[]string{shadowedPath}, 0, "note: desk-1 in pool desk and 127.0.0.1:9001 in pool again are both at 127.0.0.1:9001", ""},
		"request of the first route":     {[]string{example, "--route", "GET http://A.example:80/item/./7"}, 0, "route[0] (lookups) takes it", ""},
		"request without the key header": {[]string{example, "--route", "POST http://a/bag-dispatch"}, 0, "header Idempotency-Key is missing", ""},
		"request with the key header":    {[]string{example, "--route", "POST http://a/bag-dispatch", "-H", "idempotency-key: k"}, 0, "route[1] (dispatches) takes it", ""},
		"ambiguous path":                 {[]string{example, "--route", "GET http://a/x%2fy"}, 2, "", "400"},
		"no method":                      {[]string{example, "--route", "http://a/x"}, 2, "", "is not of the form 'METHOD URL'"},
		"malformed header":               {[]string{example, "--route", "GET http://a/x", "-H", "x"}, 2, "", "no colon"},
	} {
		t.Run(name, func(t *testing.T) {
			code, stdout, stderr := runProgram(t, programCommand(append([]string{"check"}, c.args...)...))
			if code != c.code || !strings.Contains(stdout, c.stdout) || !strings.Contains(stderr, c.stderr) || (c.stderr == "") != (stderr == "") {
				t.Errorf("exit code %d, stdout %q, stderr %q, want %d, %q and %q", code, stdout, stderr, c.code, c.stdout, c.stderr)
			}
		})
	}
}
