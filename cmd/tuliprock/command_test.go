package main

import (
	"strings"
	"testing"
)

// Without an argument the program runs the platform's daemon; the command "plain" runs this daemon with a baseline policy. Both
// report bad input in the exit code and on standard error.
func TestPlatformDaemonReportsBadInput(t *testing.T) {
	cmd := programCommand()
	cmd.Env = append(cmd.Env, "ROUTER_CONFIG=")
	if code, _, stderr := runProgram(t, cmd); code != 1 || stderr != "tuliprock: ROUTER_CONFIG: not set\n" {
		t.Errorf("without ROUTER_CONFIG: exit code %d, stderr %q, want 1 and that it is not set", code, stderr)
	}
	if code, _, stderr := runProgram(t, programCommand("plain", "best")); code != 2 || !strings.Contains(stderr, "random") {
		t.Errorf("unknown baseline policy: exit code %d, stderr %q, want 2 and the names of the policies", code, stderr)
	}
}

func TestCommandsRejectBadUsage(t *testing.T) {
	for name, args := range map[string][]string{
		"serve without a file":             {"serve"},
		"serve with a missing file":        {"serve", "--config", "nowhere.toml"},
		"stand-in not on loopback":         {"stand-in", "10.0.0.1:80"},
		"stand-in at a malformed address":  {"stand-in", "here"},
		"load without a target":            {"load"},
		"load off loopback, unconfirmed":   {"load", "--target", "http://a.example/"},
		"load with another host confirmed": {"load", "--target", "http://a.example/", "--i-may-load", "b.example"},
		"load at rate 0":                   {"load", "--target", "http://127.0.0.1:1/", "--rate", "0"},
		"load with unknown gaps":           {"load", "--target", "http://127.0.0.1:1/", "--gaps", "odd"},
		"load with a malformed header":     {"load", "--target", "http://127.0.0.1:1/", "-H", "x"},
		"merge of a missing result":        {"load", "merge", "nowhere.json"},
		"merge of one result twice":        {"load", "merge", "serve_test.go", "serve_test.go"},
	} {
		t.Run(name, func(t *testing.T) {
			if code, stdout, stderr := runProgram(t, programCommand(args...)); code != 2 || stdout != "" || strings.Count(stderr, "\n") != 1 {
				t.Errorf("exit code %d, stdout %q, stderr %q, want 2, nothing and one line", code, stdout, stderr)
			}
		})
	}
}
