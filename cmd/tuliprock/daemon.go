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

// heapLimitFraction is the share of the memory limit that the Go runtime is told as its own limit: from there on it collects
// more often. The rest is for memory that the runtime does not count.
const heapLimitFraction = 0.7

// The garbage collector's target, in percent of the live heap, which is small. On the platform, where memory is watched,
// rare collections look like growth: 300 put off the first one for a minute. Elsewhere frequent ones cost a sixth of the
// rate that one core serves to one client.
const (
	platformGCPercent = 50
	fileGCPercent     = 400
)

// configSource returns what the daemon is to serve. It reads the configuration anew at each call, and is called by one
// goroutine at a time.
type configSource func() (config.Service, error)

// platformConfig reads the configuration that ROUTER_CONFIG names. Of all but the first one only what can change without a
// restart is taken.
func platformConfig(log *slog.Logger) configSource {
	var current *config.Config
	return func() (config.Service, error) {
		c, err := config.Load(os.Getenv)
		if err != nil {
			return config.Service{}, err
		}
		if current == nil {
			current = &c
			return c.Service()
		}
		log.Info("configuration read again", "discovery", c.Discovery, "moves", c.Discovery != current.Discovery)
		if c.Listen != current.Listen || c.Limits != current.Limits {
			log.Warn("listen and limits change with a restart only")
		}
		*current = current.WithReloadable(c)
		return current.Service()
	}
}

// fileConfig reads an operators' file.
func fileConfig(path string) configSource {
	return func() (config.Service, error) {
		f, err := config.Read(path)
		if err != nil {
			return config.Service{}, err
		}
		return f.Service(), nil
	}
}

// servePlatform runs the daemon as the platform configures it.
func servePlatform(decider eventloop.BalancerFactory) error {
	log := slog.New(slog.NewTextHandler(os.Stderr, nil))
	return serve(decider, platformConfig(log), platformGCPercent, log)
}

// serve runs the daemon until SIGTERM or SIGINT and then until all accepted requests are answered. SIGHUP reloads the
// configuration; a bad one is logged and changes nothing.
func serve(decider eventloop.BalancerFactory, source configSource, gcPercent int, log *slog.Logger) error {
	hangups := make(chan os.Signal, 1) // before all else: uncaught, the signal ends the process
	signal.Notify(hangups, syscall.SIGHUP)
	service, err := source()
	if err != nil {
		return err
	}
	setRuntimeLimits(service.Limits, gcPercent)
	log = log.With("name", service.Name)
	warnIfFewDescriptors(&service, log)

	ctx, stop := signal.NotifyContext(context.Background(), syscall.SIGTERM, syscall.SIGINT)
	defer stop()
	s, err := sidecar.StartWith(decider, service, log)
	if err != nil {
		return err
	}
	go reloadOnHangup(s, hangups, source, log) // until the process ends
	return s.Serve(ctx)
}

func setRuntimeLimits(limits config.Limits, gcPercent int) {
	if limits.Cores > 0 {
		runtime.GOMAXPROCS(max(int(limits.Cores), 1))
	}
	debug.SetGCPercent(gcPercent)
	if limits.MemoryMB > 0 {
		debug.SetMemoryLimit(int64(heapLimitFraction * float64(limits.MemoryMB) * (1 << 20)))
	}
}

func warnIfFewDescriptors(service *config.Service, log *slog.Logger) {
	var files syscall.Rlimit
	if err := syscall.Getrlimit(syscall.RLIMIT_NOFILE, &files); err == nil && files.Cur < uint64(service.MaxDescriptors()) {
		log.Warn("the system grants fewer descriptors than the connections that the configuration allows",
			"granted", files.Cur, "allowed", service.MaxDescriptors())
	}
}

// reloadOnHangup reloads the configuration after each signal, for as long as the process runs.
func reloadOnHangup(s *sidecar.Sidecar, hangups <-chan os.Signal, source configSource, log *slog.Logger) {
	for range hangups {
		service, err := source()
		if err == nil {
			err = s.Reload(service)
		}
		if err != nil {
			log.Error("the new configuration is not taken up", "error", err) // the text is read by .ci/run
			continue
		}
		log.Info("configuration reloaded")
	}
}
