// Simhost hosts balancers for the fleet simulator: it reads batches of events from standard input and writes one reply
// per batch to standard output. It makes no decision of its own, and the balancers share no state. It runs on one
// goroutine, and ends with exit code 0 at the end of input, and with 1 and the reason on standard error at a malformed line.
package main

import (
	"fmt"
	"io"
	"os"
	"runtime/debug"

	"tuliprock/balance"
	"tuliprock/internal/simwire"
)

// gcPercent lets the heap grow to five times its live size between collections: balancers are small and their garbage
// is short-lived.
const gcPercent = 400

func main() {
	debug.SetGCPercent(gcPercent)
	if err := run(os.Stdin, os.Stdout); err != nil {
		fmt.Fprintln(os.Stderr, "simhost:", err)
		os.Exit(1)
	}
}

// run answers the batches of in until it ends.
func run(in io.Reader, out io.Writer) error {
	reader := simwire.NewReader(in)
	return reader.Run(&host{out: out, reader: reader, balancers: map[int]*balance.Balancer{}})
}

// host is the simwire.Handler of the balancers that run.
type host struct {
	out       io.Writer
	reader    *simwire.Reader
	reply     simwire.Reply
	balancers map[int]*balance.Balancer // by instance
}

// Start implements simwire.Handler.
func (h *host) Start(instance int, s balance.Settings) error {
	h.balancers[instance] = balance.New(h.reader.Now(), s, h.reply.Host(instance))
	return nil
}

// Stop implements simwire.Handler.
func (h *host) Stop(instance int) error {
	if _, err := h.Instance(instance); err != nil {
		return err
	}
	delete(h.balancers, instance)
	return nil
}

// Instance implements simwire.Handler.
func (h *host) Instance(instance int) (balance.Events, error) {
	b, ok := h.balancers[instance]
	if !ok {
		return nil, fmt.Errorf("instance %d was never started", instance)
	}
	return b, nil
}

// EndBatch implements simwire.Handler.
func (h *host) EndBatch() error {
	_, err := h.out.Write(h.reply.Bytes())
	return err
}
