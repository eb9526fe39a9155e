package main

import (
	"io"
	"net/http"
	"os"
	"path/filepath"
	"strings"
	"syscall"
	"testing"

	"tuliprock/internal/testkit/testpeer"
)

// The example that ships serves with the stand-in nodes that the README starts. A reload of a bad file changes nothing and
// reports file, line and field. SIGTERM ends the daemon without error.
func TestServeReloadsOnHangupAndKeepsConfigurationOnError(t *testing.T) {
	text, err := os.ReadFile("../../deploy/example.toml")
	if err != nil {
		t.Fatal(err)
	}
	listen, a, b := testpeer.FreeAddress(t), testpeer.FreeAddress(t), testpeer.FreeAddress(t)
	example := strings.NewReplacer("127.0.0.1:8080", listen, "127.0.0.1:9001", a, "127.0.0.1:9002", b).Replace(string(text))
	path := filepath.Join(t.TempDir(), "ops.toml")
	write := func(text string) {
		if err := os.WriteFile(path, []byte(text), 0o600); err != nil {
			t.Fatal(err)
		}
	}
	write(example)
	startProcess(t, "stand-in", a, b).awaitText(t, b)
	said := startProcess(t, "serve", "--config", path)
	said.awaitText(t, "msg=listening")
	ask := func() {
		t.Helper()
		client := &http.Client{Transport: &http.Transport{DisableKeepAlives: true}, Timeout: testpeer.Timeout}
		resp, err := client.Get("http://" + listen + "/item/42")
		if err != nil {
			t.Fatal(err)
		}
		defer resp.Body.Close()
		if text, _ := io.ReadAll(resp.Body); resp.StatusCode != http.StatusOK || !strings.Contains(string(text), "GET /item/42") {
			t.Errorf("%s: %s", resp.Status, text)
		}
	}
	ask()
	write(strings.Replace(example, `effect = "safe"`, `effect = "harmless"`, 1))
	said.signal(t, syscall.SIGHUP)
	said.awaitText(t, "the new configuration is not taken up")
	if !strings.Contains(said.String(), "ops.toml:") || !strings.Contains(said.String(), "class[0].effect") {
		t.Errorf("the fault is not named: %s", said.String())
	}
	ask()
	write(example)
	said.signal(t, syscall.SIGHUP)
	said.awaitText(t, "configuration reloaded")
	ask()
	said.signal(t, syscall.SIGTERM)
	if err := said.wait(); err != nil {
		t.Errorf("ended with %v: %s", err, said.String())
	}
}
