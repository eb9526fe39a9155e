// Package loglimit bounds how much one part of the daemon writes to the log, so that lines about single requests can be written
// although clients cause them: however many requests fail, the log grows by a fixed number of lines a second.
//
// The package starts no goroutine. A Logger is safe for concurrent use.
package loglimit

import (
	"log/slog"
	"sync"
	"time"
)

// window is the time in which a Logger writes at most its maximum number of lines.
const window = time.Second

// Logger writes lines to a slog.Logger, up to a maximum in each second, and counts those that it omits.
type Logger struct {
	log      *slog.Logger
	maxLines int
	now      func() time.Time

	mu          sync.Mutex // guards the fields below
	windowStart time.Time
	lineCount   int // lines written since windowStart
	omitted     int // lines omitted that no line has reported yet
}

// New returns a Logger that writes at most maxLines lines a second to log, and a line that counts the omitted ones.
func New(log *slog.Logger, maxLines int) *Logger {
	return &Logger{log: log, maxLines: maxLines, now: time.Now}
}

// Info writes a line at level Info, as slog.Logger.Info does, or omits it.
func (l *Logger) Info(message string, attributes ...any) {
	if l.Allows() {
		l.Write(message, attributes...)
	}
}

// Allows reports whether a line may be written now, and counts it as written or omitted. A caller whose lines are costly to make calls
// Allows first, and Write only if it returns true.
func (l *Logger) Allows() bool {
	isAllowed, omitted := l.admit()
	if omitted > 0 {
		l.log.Info("log lines omitted", "count", omitted)
	}
	return isAllowed
}

// Write writes a line at level Info for which Allows has returned true.
func (l *Logger) Write(message string, attributes ...any) { l.log.Info(message, attributes...) }

// admit reports whether a line may be written now, and how many were omitted in earlier windows.
func (l *Logger) admit() (isAllowed bool, omitted int) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if now := l.now(); now.Sub(l.windowStart) >= window {
		omitted = l.omitted
		l.windowStart, l.lineCount, l.omitted = now, 0, 0
	}
	if l.lineCount >= l.maxLines {
		l.omitted++
		return false, omitted
	}
	l.lineCount++
	return true, omitted
}
