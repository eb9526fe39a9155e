package main

import "tuliprock/internal/daemon"

// serveCommand runs the daemon on an operators' file.
type serveCommand struct {
	Config string `required:"" placeholder:"FILE" help:"An operators' file; 'tuliprock check' prints a summary of it."`
}

// Run executes the command "serve". The parser kong calls it with the flags and arguments set.
func (c *serveCommand) Run() error {
	return daemon.ServeFile(c.Config)
}
