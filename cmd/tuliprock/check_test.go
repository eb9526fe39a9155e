package main

import (
	"os"
	"path/filepath"
	"strings"
	"testing"
)

func TestCheckReportsFaultsAndRoutes(t *testing.T) {
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
		t.Run(name, func(t *testing.T) {
			code, out, errs := runProgram(t, programCommand(append([]string{"check"}, c.args...)...))
			if code != c.code || !strings.Contains(out, c.out) || !strings.Contains(errs, c.errs) || (c.errs == "") != (errs == "") {
				t.Errorf("%d, %q, %q", code, out, errs)
			}
		})
	}
}
