package balance_test

import (
	"os"
	"path/filepath"
	"regexp"
	"strings"
	"testing"
	"unicode/utf8"
)

// TestModuleFitsItsLimits reads the deploy file as the operators do and holds the module to its size.
func TestModuleFitsItsLimits(t *testing.T) {
	const mostLines, mostColumns, tab = 800, 110, 4
	text, err := os.ReadFile(filepath.Join("..", "deploy", "balancer.toml"))
	if err != nil {
		t.Fatal(err)
	}
	for _, key := range []string{"build", "sim"} {
		if !regexp.MustCompile(`(?m)^` + key + ` = "[^"]+"$`).Match(text) {
			t.Errorf("deploy file has no %q command", key)
		}
	}
	policy := regexp.MustCompile(`(?m)^policy = \["([^"]+)"\]$`).FindSubmatch(text)
	if policy == nil || string(policy[1]) != "balance/balancer.go" {
		t.Fatalf("policy is not balance/balancer.go alone: %q", policy)
	}
	module, err := os.ReadFile(filepath.Join("..", string(policy[1])))
	if err != nil {
		t.Fatal(err)
	}
	lines := 0
	for i, line := range strings.Split(string(module), "\n") {
		if strings.TrimSpace(line) != "" {
			lines++
		}
		if n := utf8.RuneCountInString(strings.ReplaceAll(line, "\t", strings.Repeat(" ", tab))); n > mostColumns {
			t.Errorf("balancer.go:%d has %d columns", i+1, n)
		}
	}
	if lines < 100 || lines > mostLines {
		t.Errorf("the module has %d lines, at most %d are allowed", lines, mostLines)
	}
	if head := strings.Join(strings.Split(string(module), "\n")[:6], "\n"); !strings.Contains(head, "api.go") {
		t.Error("the first lines of the module do not name api.go")
	}
}
