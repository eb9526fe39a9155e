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

// A daemon on deploy/example.toml, an operators' file, serves requests with stand-in nodes. A reload of an invalid file changes
// nothing and logs the file, line and field. On SIGTERM the daemon exits without error.
func TestServeReloadsOnHangupAndKeepsConfigurationOnError(t *testing.T) {
	text, err := os.ReadFile("../../deploy/example.toml")
	if err != nil {
		t.Fatal(err)
	}
	listenAddr, nodeA, nodeB := testpeer.FreeAddress(t), testpeer.FreeAddress(t), testpeer.FreeAddress(t)
	example := strings.NewReplacer("127.0.0.1:8080", listenAddr, "127.0.0.1:9001", nodeA, "127.0.0.1:9002", nodeB).Replace(string(text))
	path := filepath.Join(t.TempDir(), "ops.toml")
	writeConfig := func(text string) {
		if err := os.WriteFile(path, []byte(text), 0o600); err != nil {
			t.Fatal(err)
		}
	}
	writeConfig(example)
	startProcess(t, "stand-in", nodeA, nodeB).awaitText(t, nodeB)
	daemon := startProcess(t, "serve", "--config", path)
	daemon.awaitText(t, "msg=listening")
	checkRequest := func() {
		t.Helper()
		client := &http.Client{Transport: &http.Transport{DisableKeepAlives: true}, Timeout: testpeer.Timeout}
		resp, err := client.Get("http://" + listenAddr + "/item/42")
		if err != nil {
			t.Fatal(err)
		}
		defer resp.Body.Close()
		if text, _ := io.ReadAll(resp.Body); resp.StatusCode != http.StatusOK || !strings.Contains(string(text), "GET /item/42") {
			t.Errorf("response status %s, body %s, want 200 and an echo of the request", resp.Status, text)
		}
	}
	checkRequest()
	writeConfig(strings.Replace(example, `effect = "safe"`, `effect = "harmless"`, 1))
	daemon.signal(t, syscall.SIGHUP)
	daemon.awaitText(t, "the new configuration is not taken up")
	if !strings.Contains(daemon.String(), "ops.toml:") || !strings.Contains(daemon.String(), "class[0].effect") {
		t.Errorf("the log lacks the file or field of the error: %s", daemon.String())
	}
	checkRequest()
	writeConfig(example)
	daemon.signal(t, syscall.SIGHUP)
	daemon.awaitText(t, "configuration reloaded")
	checkRequest()
	daemon.signal(t, syscall.SIGTERM)
	if err := daemon.wait(); err != nil {
		t.Errorf("the daemon exited with %v, want no error: %s", err, daemon.String())
	}
}
