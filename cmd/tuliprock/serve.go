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

// Run executes the command "serve". The parser kong calls it with the flags and arguments set.
func (c *serveCommand) Run() error {
	return serve(eventloop.NewBalancer, fileConfig(c.Config), fileGCPercent, slog.New(slog.NewTextHandler(os.Stderr, nil)))
}
