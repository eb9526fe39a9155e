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
	heapLimitShare = 0.7 // of the memory limit that the heap may take before the collector works harder
	// The live heap is small. On the platform, where memory is watched, rare collections look like growth: 300 put off the
	// first one for a minute. Elsewhere frequent ones cost a sixth of the rate that one core serves to one caller.
	platformGCPercent = 50
	fileGCPercent     = 400
)

// configSource gives what the daemon is to serve, and reads it anew at each call.
type configSource func() (config.Service, error)

// platformConfig is what the platform tells. Of a later configuration a running sidecar takes where discovery is.
func platformConfig(log *slog.Logger) configSource {
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

// fileConfig is what an operators' file tells.
func fileConfig(path string) configSource {
	return func() (config.Service, error) {
		f, err := config.Read(path)
		if err != nil {
			return config.Service{}, err
		}
		return f.Service(), nil
	}
}

// daemon serves as the platform says.
func daemon() error { return servePlatform(eventloop.Module) }

// servePlatform is daemon with another decider in the module's place.
func servePlatform(decide eventloop.Decider) error {
	log := slog.New(slog.NewTextHandler(os.Stderr, nil))
	return serve(decide, platformConfig(log), platformGCPercent, log)
}

// serve serves until SIGTERM or SIGINT has come and all that was taken has been answered. SIGHUP reads the configuration
// again; a bad one changes nothing.
func serve(decide eventloop.Decider, read configSource, gcPercent int, log *slog.Logger) error {
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
		debug.SetMemoryLimit(int64(heapLimitShare * float64(c.Limits.MemoryMB) * (1 << 20)))
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
	go reloadOnHangup(s, hup, read, log)
	return s.Serve(ctx)
}

// reloadOnHangup reads the configuration again after each signal, for as long as the program runs.
func reloadOnHangup(s *sidecar.Sidecar, hup <-chan os.Signal, read configSource, log *slog.Logger) {
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
