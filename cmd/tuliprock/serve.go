package main

import (
	"log/slog"
	"os"

	"tuliprock/internal/eventloop"
)

// serveCommand runs the daemon on an operators' file.
type serveCommand struct {
	Config string `required:"" placeholder:"FILE" help:"An operators' file; 'tuliprock check' prints a summary of it."`
}

// Run implements kong's command.
func (c *serveCommand) Run() error {
	return serve(eventloop.NewBalancer, fileConfig(c.Config), fileGCPercent, slog.New(slog.NewTextHandler(os.Stderr, nil)))
}
