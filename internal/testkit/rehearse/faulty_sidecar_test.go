package rehearse

import (
	"bytes"
	"context"
	"io"
	"log/slog"
	"net"
	"os"
	"os/exec"
	"os/signal"
	"slices"
	"strings"
	"syscall"
	"testing"
	"time"

	"tuliprock/balance"
	"tuliprock/internal/config"
	"tuliprock/internal/eventloop"
	"tuliprock/internal/sidecar"
)

// faultEnv makes the test binary a sidecar: a good one, or one with a fault that an invariant must find.
const faultEnv = "REHEARSE_TEST_SIDECAR"

func TestMain(m *testing.M) {
	if fault := os.Getenv(faultEnv); fault != "" {
		if err := runSidecar(fault); err != nil {
			slog.Error("sidecar failed", "error", err)
			os.Exit(1)
		}
		return
	}
	os.Exit(m.Run())
}

// runSidecar runs a sidecar with a fault; "good" is none.
func runSidecar(fault string) error {
	c, err := config.Load(os.Getenv)
	if err != nil {
		return err
	}
	decide := eventloop.NewBalancer
	switch fault {
	case "good":
	case "sends responses twice":
		if c.Listen, err = duplicateResponses(c.Listen); err != nil {
			return err
		}
	case "sends to draining nodes": // neither its module nor its connections are notified of a drain
		if c.Discovery, err = hideDrains(c.Discovery); err != nil {
			return err
		}
	case "occupies its own port":
		if _, err := net.Listen("tcp", c.Listen); err != nil {
			return err
		}
	case "crashes":
		time.AfterFunc(2*time.Second, func() { os.Exit(3) })
	default:
		decide = func(now time.Duration, s balance.Settings, h balance.Host) balance.Events {
			return &faultyDecider{fault: fault, host: h, requests: map[string]*pendingRequest{},
				ready: map[string]balance.Endpoint{}}
		}
	}
	ctx, stop := signal.NotifyContext(context.Background(), syscall.SIGTERM)
	defer stop()
	service, err := c.Service()
	if err != nil {
		return err
	}
	s, err := sidecar.StartWith(decide, service, slog.New(slog.NewTextHandler(os.Stderr, nil)))
	if err != nil {
		return err
	}
	return s.Serve(ctx)
}

// duplicateResponses accepts clients at the sidecar's address, and sends the sidecar's responses to them twice. It returns the
// address at which the sidecar must listen.
func duplicateResponses(listen string) (string, error) {
	hidden, err := freeLoopbackAddr(250)
	if err != nil {
		return "", err
	}
	_, err = relay(listen, hidden, func(text []byte) []byte {
		if strings.Contains(string(text), " 200 OK") && strings.Contains(string(text), "try-") {
			return append(slices.Clone(text), text...)
		}
		return text
	})
	return hidden, err
}

// hideDrains returns the address of a relay to discovery that turns draining nodes into ready ones.
func hideDrains(discovery string) (string, error) {
	return relay("127.0.0.1:0", discovery, func(text []byte) []byte {
		return bytes.ReplaceAll(text, []byte(`"Terminating"`), []byte(`"Ready"      `)) // of the same length
	})
}

// relay accepts connections at an address, forwards them to another, and changes what comes back. It returns the address.
func relay(listen, to string, change func([]byte) []byte) (string, error) {
	front, err := net.Listen("tcp", listen)
	if err != nil {
		return "", err
	}
	go func() {
		for {
			caller, err := front.Accept()
			if err != nil {
				return
			}
			go func() {
				defer caller.Close()
				behind, err := net.Dial("tcp", to)
				if err != nil {
					return
				}
				defer behind.Close()
				go io.Copy(behind, caller)
				b := make([]byte, 64<<10)
				for {
					n, err := behind.Read(b)
					if err != nil {
						return
					}
					if _, err := caller.Write(change(b[:n])); err != nil {
						return
					}
				}
			}()
		}
	}()
	return front.Addr().String(), nil
}

// faultyDecider sends each request to the next endpoint, and has a fault in how it does that or in what follows.
type faultyDecider struct {
	balance.Events // nil: the other events are not used
	fault          string
	host           balance.Host
	ready          map[string]balance.Endpoint
	endpoints      []string
	requests       map[string]*pendingRequest
	nextIndex      int
}

type pendingRequest struct {
	balance.Request
	attempts int
}

func (b *faultyDecider) EndpointList(_ time.Duration, l balance.EndpointUpdate) {
	if l.Complete {
		clear(b.ready)
	}
	for _, e := range l.Endpoints {
		if e.State != balance.Ready {
			delete(b.ready, e.ID)
		} else {
			b.ready[e.ID] = e
		}
	}
	b.endpoints = b.endpoints[:0]
	for id := range b.ready {
		b.endpoints = append(b.endpoints, id)
	}
	slices.Sort(b.endpoints)
}

func (b *faultyDecider) Request(now time.Duration, r balance.Request) {
	q := &pendingRequest{Request: r}
	b.requests[r.ID] = q
	b.send(now, q)
}

func (b *faultyDecider) send(now time.Duration, q *pendingRequest) {
	if len(b.endpoints) == 0 || q.attempts == 3 {
		delete(b.requests, q.ID)
		b.host.Fail(q.ID)
		return
	}
	q.attempts++
	b.nextIndex++
	to := b.endpoints[b.nextIndex%len(b.endpoints)]
	if b.fault == "overloads warming nodes" {
		for id, e := range b.ready {
			if e.Started > b.ready[to].Started {
				to = id
			}
		}
	}
	b.host.Send(q.ID, to, q.Deadline-now)
}

func (b *faultyDecider) Outcome(now time.Duration, o balance.Outcome) {
	q := b.requests[o.ID]
	switch {
	case q == nil:
	case o.IsFinal || o.Result == balance.OK:
		delete(b.requests, o.ID)
	case b.fault == "retries what may have run":
		b.send(now, q)
	case b.fault == "rejects what may have run":
		delete(b.requests, o.ID)
		b.host.Reject(o.ID, 0)
	case b.fault == "never answers after a failure":
	default:
		delete(b.requests, o.ID)
		b.host.Fail(o.ID)
	}
}

func (b *faultyDecider) ClientLeft(_ time.Duration, id string) { delete(b.requests, id) }

func (b *faultyDecider) StreamStarted(time.Duration, string, int) {}

func (b *faultyDecider) BodySent(time.Duration, string, int, time.Duration) {}

func (b *faultyDecider) Timer(time.Duration) {}

func (b *faultyDecider) Probed(time.Duration, balance.ProbeResult) {}

func sidecarCommand(kind string) func() *exec.Cmd {
	return func() *exec.Cmd {
		cmd := exec.Command(os.Args[0])
		cmd.Env = append(os.Environ(), faultEnv+"="+kind)
		return cmd
	}
}
