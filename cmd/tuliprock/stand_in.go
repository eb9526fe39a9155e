package main

import (
	"context"
	"errors"
	"fmt"
	"net"
	"net/http"
	"os"
	"os/signal"
	"syscall"

	"tuliprock/internal/testkit/fake"
)

// standInCommand runs fake nodes that echo each request that they receive.
type standInCommand struct {
	Addresses []string `arg:"" name:"address" help:"Loopback addresses (host:port), one for each stand-in node."`
}

// Run executes the command "stand-in". The parser kong calls it with the flags and arguments set. Run
// serves until SIGINT or SIGTERM.
func (c *standInCommand) Run() error {
	ctx, stop := signal.NotifyContext(context.Background(), syscall.SIGTERM, syscall.SIGINT)
	defer stop()
	var servers []*http.Server // running servers, each with a goroutine that ends when the server is closed
	defer func() {
		for _, s := range servers {
			_ = s.Close() // an error does not matter, since the process ends now
		}
	}()
	serveErrs := make(chan error, len(c.Addresses))
	for _, address := range c.Addresses {
		listener, err := listenOnLoopback(address)
		if err != nil {
			return fmt.Errorf("stand-in: %w", err)
		}
		server := fake.NewEchoServer(listener.Addr().String())
		servers = append(servers, server)
		fmt.Fprintln(os.Stderr, "stand-in node at", listener.Addr())
		go func() {
			if err := server.Serve(listener); !errors.Is(err, http.ErrServerClosed) {
				serveErrs <- err
			}
		}()
	}
	select {
	case <-ctx.Done():
		return nil
	case err := <-serveErrs:
		return fmt.Errorf("stand-in: %w", err)
	}
}

// listenOnLoopback listens at a host:port whose host must be a loopback IP address.
func listenOnLoopback(address string) (net.Listener, error) {
	host, _, err := net.SplitHostPort(address)
	if ip := net.ParseIP(host); err != nil || ip == nil || !ip.IsLoopback() {
		return nil, fmt.Errorf("%q is not a loopback address", address)
	}
	return net.Listen("tcp", address)
}
