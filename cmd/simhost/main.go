// Simhost hosts balancers for the simulator: it reads batches of events on standard input and writes one
// reply a batch to standard output. The balancers share nothing; the host decides nothing.
package main

import (
	"fmt"
	"io"
	"os"
	"runtime/debug"

	"tuliprock/balance"
	"tuliprock/internal/simwire"
)

func main() {
	debug.SetGCPercent(400) // balancers are small and their garbage short-lived
	if err := run(os.Stdin, os.Stdout); err != nil {
		fmt.Fprintln(os.Stderr, "simhost:", err)
		os.Exit(1)
	}
}

// run plays the batches of in until it ends.
func run(in io.Reader, out io.Writer) error {
	r := simwire.NewReader(in)
	return r.Run(&hosts{out: out, reader: r, running: map[int]*balance.Balancer{}})
}

type hosts struct {
	out     io.Writer
	reader  *simwire.Reader
	reply   simwire.Reply
	running map[int]*balance.Balancer
}

// Start implements wire.Handler.
func (h *hosts) Start(instance int, s balance.Settings) error {
	h.running[instance] = balance.New(h.reader.Now(), s, h.reply.Of(instance))
	return nil
}

// Stop implements wire.Handler.
func (h *hosts) Stop(instance int) error {
	if _, err := h.Instance(instance); err != nil {
		return err
	}
	delete(h.running, instance)
	return nil
}

// Instance implements wire.Handler.
func (h *hosts) Instance(instance int) (balance.Events, error) {
	b, ok := h.running[instance]
	if !ok {
		return nil, fmt.Errorf("instance %d was never started", instance)
	}
	return b, nil
}

// EndBatch implements wire.Handler.
func (h *hosts) EndBatch() error {
	_, err := h.out.Write(h.reply.Bytes())
	return err
}
