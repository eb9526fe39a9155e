// Package daemon runs a sidecar as a process: it reads the configuration, applies the limits of memory and processors to the Go runtime,
// and handles signals. What the sidecar does is in package sidecar.
//
// The package keeps no state. It starts one goroutine, which reloads the configuration and lasts as long as the process. The programs that
// run nothing but the daemon import this package alone, so that their memory does not hold what only tools use.
package daemon

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
	"tuliprock/internal/memusage"
	"tuliprock/internal/sidecar"
)

// Targets of the garbage collector, as for GOGC: how much the heap may grow until the next collection, in percent of the live
// heap, which is small. platformGCPercent is low because the platform monitors memory: with 300 the first collection would come
// a minute later, and the growth until then would look like a leak. fileGCPercent, for daemons on an operators' file, is high
// because frequent collections would cost a sixth of the request rate that one core serves to one client.
const (
	platformGCPercent = 50
	fileGCPercent     = 400
)

// configSource reads the configuration and returns the service that it describes. It reads the configuration again on every
// call, and must not be called concurrently.
type configSource func() (config.Service, error)

// platformConfig returns the source that reads the file that ROUTER_CONFIG names. The first call applies the complete file;
// later calls apply only the fields that can change without a restart.
func platformConfig(log *slog.Logger) configSource {
	var currentConfig *config.Config
	return func() (config.Service, error) {
		c, err := config.Load(os.Getenv)
		if err != nil {
			return config.Service{}, err
		}
		if currentConfig == nil {
			currentConfig = &c
			return c.Service()
		}
		log.Info("configuration file read again", "discovery", c.Discovery, "moves", c.Discovery != currentConfig.Discovery)
		if c.Listen != currentConfig.Listen || c.Limits != currentConfig.Limits {
			log.Warn("listen and limits change with a restart only")
		}
		*currentConfig = currentConfig.WithAgentAddressOf(c)
		return currentConfig.Service()
	}
}

// fileConfig returns the source that reads the operators' file at path.
func fileConfig(path string) configSource {
	return func() (config.Service, error) {
		f, err := config.Read(path)
		if err != nil {
			return config.Service{}, err
		}
		return f.Service(), nil
	}
}

// ServeFile runs the daemon on the operators' file at path until SIGTERM or SIGINT. It returns why the daemon could not start or has
// failed.
func ServeFile(path string) error {
	return serve(eventloop.NewBalancer, fileConfig(path), fileGCPercent, slog.New(slog.NewTextHandler(os.Stderr, nil)))
}

// ServePlatform runs the daemon on the configuration that the platform provides, with the balancer that newBalancer creates, until
// SIGTERM or SIGINT. It returns why the daemon could not start or has failed.
func ServePlatform(newBalancer eventloop.BalancerFactory) error {
	log := slog.New(slog.NewTextHandler(os.Stderr, nil))
	return serve(newBalancer, platformConfig(log), platformGCPercent, log)
}

// serve runs the daemon until SIGTERM or SIGINT, and then shuts it down gracefully: it returns when all accepted requests
// have got their responses. SIGHUP reloads the configuration; an invalid configuration is logged and changes nothing.
func serve(newBalancer eventloop.BalancerFactory, source configSource, gcPercent int, log *slog.Logger) error {
	hangups := make(chan os.Signal, 1) // SIGHUP is caught before the configuration is read, since an uncaught SIGHUP ends the process
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
	s, err := sidecar.StartWith(newBalancer, service, log)
	if err != nil {
		return err
	}
	s.GuardMemory()
	go reloadOnHangup(s, hangups, source, log) // runs until the process ends
	return s.Serve(ctx)
}

// setRuntimeLimits applies the processor and memory limits, where they are set, and the garbage collector's target to the
// Go runtime.
func setRuntimeLimits(limits config.Limits, gcPercent int) {
	if limits.Cores > 0 {
		runtime.GOMAXPROCS(max(int(limits.Cores), 1))
	}
	debug.SetGCPercent(gcPercent)
	if limits.MemoryMB > 0 {
		debug.SetMemoryLimit(memusage.RuntimeLimit(limits.MemoryMB, 1, memusage.Read().Shared))
	}
}

// warnIfFewDescriptors logs a warning if the process may open fewer file descriptors than the configured connections need.
func warnIfFewDescriptors(service *config.Service, log *slog.Logger) {
	var limit syscall.Rlimit
	if err := syscall.Getrlimit(syscall.RLIMIT_NOFILE, &limit); err == nil && limit.Cur < uint64(service.MaxDescriptors()) {
		log.Warn("the file descriptor limit is lower than what the configured connections need",
			"granted", limit.Cur, "allowed", service.MaxDescriptors())
	}
}

// reloadOnHangup reloads the configuration after each SIGHUP. It never returns, since hangups is never closed.
func reloadOnHangup(s *sidecar.Sidecar, hangups <-chan os.Signal, source configSource, log *slog.Logger) {
	for range hangups {
		service, err := source()
		if err == nil {
			err = s.Reload(service)
		}
		if err != nil {
			log.Error("the new configuration is not taken up", "error", err) // .ci/run searches the log for this message
			continue
		}
		log.Info("configuration reloaded")
	}
}
