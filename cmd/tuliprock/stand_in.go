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

type standInCommand struct {
	Addresses []string `arg:"" name:"address" help:"Loopback addresses (host:port) to answer at, one node each."`
}

// Run implements kong's command. It serves until it is interrupted.
func (c *standInCommand) Run() error {
	ctx, stop := signal.NotifyContext(context.Background(), syscall.SIGTERM, syscall.SIGINT)
	defer stop()
	var servers []*http.Server
	defer func() {
		for _, s := range servers {
			_ = s.Close() // the process ends, and its listeners with it
		}
	}()
	failed := make(chan error, len(c.Addresses))
	for _, addr := range c.Addresses {
		host, _, err := net.SplitHostPort(addr)
		if ip := net.ParseIP(host); err != nil || ip == nil || !ip.IsLoopback() {
			return fmt.Errorf("stand-in: %q is no loopback address", addr)
		}
		l, err := net.Listen("tcp", addr)
		if err != nil {
			return fmt.Errorf("stand-in: %w", err)
		}
		s := fake.EchoServer(l.Addr().String())
		servers = append(servers, s)
		fmt.Fprintln(os.Stderr, "stand-in node at", l.Addr())
		go func() {
			if err := s.Serve(l); !errors.Is(err, http.ErrServerClosed) {
				failed <- err
			}
		}()
	}
	select {
	case <-ctx.Done():
		return nil
	case err := <-failed:
		return fmt.Errorf("stand-in: %w", err)
	}
}
