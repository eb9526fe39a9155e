package loglimit

import (
	"log/slog"
	"strings"
	"testing"
	"time"
)

// The log must not grow with the number of requests that clients make fail.
func TestLoggerOmitsLinesBeyondItsMaximum(t *testing.T) {
	var text strings.Builder
	l := New(slog.New(slog.NewTextHandler(&text, nil)), 3)
	now := time.Unix(1, 0)
	l.now = func() time.Time { return now }
	for range 10 {
		l.Info("failed", "id", "x")
	}
	if got := strings.Count(text.String(), "msg=failed id=x"); got != 3 {
		t.Errorf("%d lines were written within a second, want 3", got)
	}
	now = now.Add(window)
	l.Info("failed", "id", "y")
	if got := text.String(); !strings.Contains(got, `msg="log lines omitted" count=7`) || !strings.Contains(got, "id=y") {
		t.Errorf("after a second the log is %q, want 7 omitted lines reported and the next line written", got)
	}
}
