package main

import (
	"strings"
	"testing"
)

func TestPlatformDaemonRunsWithoutArguments(t *testing.T) {
	cmd := programCommand()
	cmd.Env = append(cmd.Env, "ROUTER_CONFIG=")
	if code, _, errs := runProgram(t, cmd); code != 1 || errs != "tuliprock: ROUTER_CONFIG: not set\n" {
		t.Errorf("%d %q", code, errs)
	}
	if code, _, errs := runProgram(t, programCommand("plain", "best")); code != 2 || !strings.Contains(errs, "random") {
		t.Errorf("%d %q", code, errs)
	}
}

func TestCommandsRejectBadUsage(t *testing.T) {
	for name, args := range map[string][]string{
		"no file":        {"serve"},
		"no such file":   {"serve", "--config", "nowhere.toml"},
		"not loopback":   {"stand-in", "10.0.0.1:80"},
		"not an address": {"stand-in", "here"},
		"no target":      {"load"},
		"not allowed":    {"load", "--target", "http://a.example/"},
		"another host":   {"load", "--target", "http://a.example/", "--i-may-load", "b.example"},
		"no rate":        {"load", "--target", "http://127.0.0.1:1/", "--rate", "0"},
		"no such kind":   {"load", "--target", "http://127.0.0.1:1/", "--gaps", "odd"},
		"a bad header":   {"load", "--target", "http://127.0.0.1:1/", "-H", "x"},
		"no such result": {"load", "merge", "nowhere.json"},
		"a result twice": {"load", "merge", "serve_test.go", "serve_test.go"},
	} {
		t.Run(name, func(t *testing.T) {
			if code, out, errs := runProgram(t, programCommand(args...)); code != 2 || out != "" || strings.Count(errs, "\n") != 1 {
				t.Errorf("%d, %q, %q", code, out, errs)
			}
		})
	}
}
