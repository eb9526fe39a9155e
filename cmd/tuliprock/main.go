// Tuliprock is a load-balancing sidecar: it takes requests from callers and passes each to the endpoint that
// the decision module chooses.
package main

import (
	"context"
	"fmt"
	"log/slog"
	"os"
	"os/signal"
	"runtime"
	"runtime/debug"
	"syscall"

	"tuliprock/internal/sidecar"
)

const (
	heapShare = 0.7 // of the memory limit that the heap may take before the collector works harder
	gcPercent = 300 // the live heap is small: collect less often
)

func main() {
	if err := run(); err != nil {
		fmt.Fprintln(os.Stderr, "tuliprock:", err)
		os.Exit(1)
	}
}

// run serves until SIGTERM or SIGINT has come and all that was taken has been answered.
func run() error {
	c, err := sidecar.LoadConfig(os.Getenv)
	if err != nil {
		return err
	}
	runtime.GOMAXPROCS(max(int(c.Limits.Cores), 1))
	debug.SetGCPercent(gcPercent)
	debug.SetMemoryLimit(int64(heapShare * float64(c.Limits.MemoryMB) * (1 << 20)))
	log := slog.New(slog.NewTextHandler(os.Stderr, nil)).With("name", c.Name)

	ctx, stop := signal.NotifyContext(context.Background(), syscall.SIGTERM, syscall.SIGINT)
	defer stop()
	s, err := sidecar.Start(c, log)
	if err != nil {
		return err
	}
	return s.Serve(ctx)
}
