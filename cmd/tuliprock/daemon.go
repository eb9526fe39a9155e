package main

import (
	"context"
	"log/slog"
	"os"
	"os/signal"
	"runtime"
	"runtime/debug"
	"syscall"

	"tuliprock/internal/config"
	"tuliprock/internal/core"
	"tuliprock/internal/sidecar"
)

const (
	heapShare = 0.7 // of the memory limit that the heap may take before the collector works harder
	gcPercent = 50  // the live heap is small, and rare collections look like growth: 300 put off the first one for a minute
)

// daemon serves until SIGTERM or SIGINT has come and all that was taken has been answered. SIGHUP reads the
// configuration again.
func daemon() error { return serve(core.Module) }

// serve is daemon with another decider in the module's place.
func serve(decide core.Decider) error {
	hup := make(chan os.Signal, 1) // before all else: uncaught, the signal ends the program
	signal.Notify(hup, syscall.SIGHUP)
	c, err := config.Load(os.Getenv)
	if err != nil {
		return err
	}
	runtime.GOMAXPROCS(max(int(c.Limits.Cores), 1))
	debug.SetGCPercent(gcPercent)
	debug.SetMemoryLimit(int64(heapShare * float64(c.Limits.MemoryMB) * (1 << 20)))
	log := slog.New(slog.NewTextHandler(os.Stderr, nil)).With("name", c.Name)

	ctx, stop := signal.NotifyContext(context.Background(), syscall.SIGTERM, syscall.SIGINT)
	defer stop()
	s, err := sidecar.StartWith(decide, c, log)
	if err != nil {
		return err
	}
	go reload(s, hup, log)
	return s.Serve(ctx)
}

// reload reads the configuration again after each signal, for as long as the program runs. A bad one changes nothing.
func reload(s *sidecar.Sidecar, hup <-chan os.Signal, log *slog.Logger) {
	for range hup {
		c, err := config.Load(os.Getenv)
		if err != nil {
			log.Error("the new configuration is not taken up", "err", err)
			continue
		}
		s.Reload(c)
	}
}
