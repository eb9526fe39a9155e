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
	"tuliprock/internal/eventloop"
	"tuliprock/internal/sidecar"
)

const (
	heapShare = 0.7 // of the memory limit that the heap may take before the collector works harder
	// The live heap is small. On the platform, where memory is watched, rare collections look like growth: 300 put off the
	// first one for a minute. Elsewhere frequent ones cost a sixth of the rate that one core serves to one caller.
	platformGC = 50
	fileGC     = 400
)

// told gives what the daemon is to serve, and reads it anew at each call.
type told func() (config.Service, error)

// platform is what the platform tells. Of a later configuration a running sidecar takes where discovery is.
func platform(log *slog.Logger) told {
	var first *config.Config
	return func() (config.Service, error) {
		c, err := config.Load(os.Getenv)
		if err != nil {
			return config.Service{}, err
		}
		if first == nil {
			first = &c
			return c.Service()
		}
		log.Info("configuration read again", "discovery", c.Discovery, "moves", c.Discovery != first.Discovery)
		if c.Listen != first.Listen || c.Limits != first.Limits {
			log.Warn("listen and limits change with a restart only")
		}
		*first = first.WithReloadable(c)
		return first.Service()
	}
}

// file is what an operators' file tells.
func file(path string) told {
	return func() (config.Service, error) {
		f, err := config.Read(path)
		if err != nil {
			return config.Service{}, err
		}
		return f.Service(), nil
	}
}

// daemon serves as the platform says.
func daemon() error { return platformDaemon(eventloop.Module) }

// platformDaemon is daemon with another decider in the module's place.
func platformDaemon(decide eventloop.Decider) error {
	log := slog.New(slog.NewTextHandler(os.Stderr, nil))
	return serve(decide, platform(log), platformGC, log)
}

// serve serves until SIGTERM or SIGINT has come and all that was taken has been answered. SIGHUP reads the configuration
// again; a bad one changes nothing.
func serve(decide eventloop.Decider, read told, gcPercent int, log *slog.Logger) error {
	hup := make(chan os.Signal, 1) // before all else: uncaught, the signal ends the program
	signal.Notify(hup, syscall.SIGHUP)
	c, err := read()
	if err != nil {
		return err
	}
	if c.Limits.Cores > 0 {
		runtime.GOMAXPROCS(max(int(c.Limits.Cores), 1))
	}
	debug.SetGCPercent(gcPercent)
	if c.Limits.MemoryMB > 0 {
		debug.SetMemoryLimit(int64(heapShare * float64(c.Limits.MemoryMB) * (1 << 20)))
	}
	log = log.With("name", c.Name)

	var files syscall.Rlimit
	if err := syscall.Getrlimit(syscall.RLIMIT_NOFILE, &files); err == nil && files.Cur < uint64(c.Descriptors()) {
		log.Warn("the system grants fewer descriptors than the connections that the configuration allows", "granted", files.Cur, "allowed", c.Descriptors())
	}

	ctx, stop := signal.NotifyContext(context.Background(), syscall.SIGTERM, syscall.SIGINT)
	defer stop()
	s, err := sidecar.StartWith(decide, c, log)
	if err != nil {
		return err
	}
	go reload(s, hup, read, log)
	return s.Serve(ctx)
}

// reload reads the configuration again after each signal, for as long as the program runs.
func reload(s *sidecar.Sidecar, hup <-chan os.Signal, read told, log *slog.Logger) {
	for range hup {
		c, err := read()
		if err == nil {
			err = s.Reload(c)
		}
		if err != nil {
			log.Error("the new configuration is not taken up", "err", err)
			continue
		}
		log.Info("the new configuration is in force")
	}
}
