// Simhost hosts the balancers of simulated sidecars, which are called instances, for the fleet simulator. It reads batches of
// events from standard input, passes each event to the balancer of the instance that the event is for, and writes one reply per
// batch, with the balancers' actions, to standard output. It makes no balancing decision itself. The balancers share no state,
// and the program uses one goroutine. It exits with code 0 at the end of input. At a malformed line it writes the reason to
// standard error and exits with code 1.
package main

import (
	"fmt"
	"io"
	"os"
	"runtime/debug"

	"tuliprock/balance"
	"tuliprock/internal/simwire"
)

// gcPercent lets the heap grow to five times its live size between garbage collections. The larger heap is acceptable,
// since balancers are small and their garbage is short-lived.
const gcPercent = 400

func main() {
	debug.SetGCPercent(gcPercent)
	if err := run(os.Stdin, os.Stdout); err != nil {
		fmt.Fprintln(os.Stderr, "simhost:", err)
		os.Exit(1)
	}
}

// run reads batches from in until the input ends and writes the reply to each batch to out.
func run(in io.Reader, out io.Writer) error {
	reader := simwire.NewReader(in)
	return reader.Run(&host{out: out, reader: reader, balancers: map[int]*balance.Balancer{}})
}

// host is the simwire.Handler that owns the running balancers.
type host struct {
	out       io.Writer
	reader    *simwire.Reader
	reply     simwire.Reply             // actions that the balancers have requested in the current batch
	balancers map[int]*balance.Balancer // running balancers, by the number of their simulated sidecar
}

// Start implements simwire.Handler: it creates the balancer of a simulated sidecar, or replaces its earlier balancer.
func (h *host) Start(instance int, s balance.Settings) error {
	h.balancers[instance] = balance.New(h.reader.Now(), s, h.reply.Host(instance))
	return nil
}

// Stop implements simwire.Handler: it discards the balancer of a simulated sidecar.
func (h *host) Stop(instance int) error {
	if _, err := h.Instance(instance); err != nil {
		return err
	}
	delete(h.balancers, instance)
	return nil
}

// Instance implements simwire.Handler: it returns the balancer of a simulated sidecar, or an error if the sidecar is not running.
func (h *host) Instance(instance int) (balance.Events, error) {
	b, ok := h.balancers[instance]
	if !ok {
		return nil, fmt.Errorf("instance %d is not running", instance)
	}
	return b, nil
}

// EndBatch implements simwire.Handler: it writes the reply to the batch.
func (h *host) EndBatch() error {
	_, err := h.out.Write(h.reply.Bytes())
	return err
}
