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

// faultEnv is an environment variable that makes the test binary run a sidecar: "good" without a fault, or the name of a fault that
// an invariant must detect.
const faultEnv = "TULIPROCK_TEST_FAULTY_SIDECAR"

// TestMain runs the tests, or a sidecar in the processes that the tests start.
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

// runSidecar runs a sidecar with a fault until SIGTERM. The name "good" stands for no fault.
func runSidecar(fault string) error {
	c, err := config.Load(os.Getenv)
	if err != nil {
		return err
	}
	newBalancer := eventloop.NewBalancer
	switch fault {
	case "good":
	case "sends responses twice":
		if c.Listen, err = duplicateResponses(c.Listen); err != nil {
			return err
		}
	case "sends to draining nodes":
		// The sidecar must send a request to a draining node later than Day.Rules.DrainGrace after the notification of the drain, since
		// only that is a violation. Therefore hideDrains keeps the notification from the sidecar, and a faultyBalancer replaces the
		// sidecar's own balancer. That balancer would eject the draining node for its rejections, and the violation might not occur.
		if c.Discovery, err = hideDrains(c.Discovery); err != nil {
			return err
		}
		newBalancer = newFaultyBalancer(fault)
	case "occupies its own port":
		if _, err := net.Listen("tcp", c.Listen); err != nil {
			return err
		}
	case "crashes":
		time.AfterFunc(2*time.Second, func() { os.Exit(3) })
	default:
		newBalancer = newFaultyBalancer(fault)
	}
	ctx, stop := signal.NotifyContext(context.Background(), syscall.SIGTERM)
	defer stop()
	service, err := c.Service()
	if err != nil {
		return err
	}
	s, err := sidecar.StartWith(newBalancer, service, slog.New(slog.NewTextHandler(os.Stderr, nil)))
	if err != nil {
		return err
	}
	return s.Serve(ctx)
}

// duplicateResponses starts a relay at the sidecar's address, which sends each response with status 200 to a client's attempt twice.
// It returns the address at which the sidecar must listen instead.
func duplicateResponses(listenAddr string) (string, error) {
	sidecarAddr, err := freeLoopbackAddr(250)
	if err != nil {
		return "", err
	}
	_, err = startRelay(listenAddr, sidecarAddr, func(text []byte) []byte {
		if strings.Contains(string(text), " 200 OK") && strings.Contains(string(text), "try-") {
			return append(slices.Clone(text), text...)
		}
		return text
	})
	return sidecarAddr, err
}

// hideDrains starts a relay to discovery that replaces the state of draining nodes by ready, and returns the relay's address.
func hideDrains(discoveryAddr string) (string, error) {
	return startRelay("127.0.0.1:0", discoveryAddr, func(text []byte) []byte {
		return bytes.ReplaceAll(text, []byte(`"Terminating"`), []byte(`"Ready"      `)) // padded to the same length
	})
}

// startRelay starts a relay that accepts connections at listenAddr, forwards them to targetAddr, and passes what it receives from
// there through change. It returns the address at which it listens. Its goroutines run until the process ends.
func startRelay(listenAddr, targetAddr string, change func([]byte) []byte) (string, error) {
	listener, err := net.Listen("tcp", listenAddr)
	if err != nil {
		return "", err
	}
	go func() {
		for {
			client, err := listener.Accept()
			if err != nil {
				return
			}
			go func() {
				defer client.Close()
				server, err := net.Dial("tcp", targetAddr)
				if err != nil {
					return
				}
				defer server.Close()
				go io.Copy(server, client)
				b := make([]byte, 64<<10)
				for {
					n, err := server.Read(b)
					if err != nil {
						return
					}
					if _, err := client.Write(change(b[:n])); err != nil {
						return
					}
				}
			}()
		}
	}()
	return listener.Addr().String(), nil
}

// faultyBalancer is a balancer that selects endpoints in rotation. It has a fault in its selection, or in how it handles a failed
// attempt.
type faultyBalancer struct {
	balance.Events        // always nil, so that a call of a method that faultyBalancer does not define panics
	fault          string // name of the fault; see runSidecar
	host           balance.Host
	readyEndpoints map[string]balance.Endpoint // endpoints that accept new requests, by ID
	readyIDs       []string                    // IDs of the ready endpoints, sorted
	requests       map[string]*pendingRequest  // requests without a final response, by ID
	attemptCount   int                         // number of attempts sent for all requests; selects the endpoint of the next attempt
}

// pendingRequest is a request that has not had its final response yet.
type pendingRequest struct {
	balance.Request
	attemptsSent int // number of attempts that were sent for the request, at most 3
}

// newFaultyBalancer returns a constructor of balancers with a fault, for sidecar.StartWith.
func newFaultyBalancer(fault string) func(time.Duration, balance.Settings, balance.Host) balance.Events {
	return func(_ time.Duration, _ balance.Settings, h balance.Host) balance.Events {
		return &faultyBalancer{fault: fault, host: h, requests: map[string]*pendingRequest{}, readyEndpoints: map[string]balance.Endpoint{}}
	}
}

func (b *faultyBalancer) EndpointList(_ time.Duration, l balance.EndpointUpdate) {
	if l.Complete {
		clear(b.readyEndpoints)
	}
	for _, e := range l.Endpoints {
		if e.State != balance.Ready {
			delete(b.readyEndpoints, e.ID)
		} else {
			b.readyEndpoints[e.ID] = e
		}
	}
	b.readyIDs = b.readyIDs[:0]
	for id := range b.readyEndpoints {
		b.readyIDs = append(b.readyIDs, id)
	}
	slices.Sort(b.readyIDs)
}

func (b *faultyBalancer) Request(now time.Duration, r balance.Request) {
	q := &pendingRequest{Request: r}
	b.requests[r.ID] = q
	b.send(now, q)
}

func (b *faultyBalancer) send(now time.Duration, q *pendingRequest) {
	if len(b.readyIDs) == 0 || q.attemptsSent == 3 {
		delete(b.requests, q.ID)
		b.host.Fail(q.ID)
		return
	}
	q.attemptsSent++
	b.attemptCount++
	endpoint := b.readyIDs[b.attemptCount%len(b.readyIDs)]
	if b.fault == "overloads warming nodes" {
		for id, e := range b.readyEndpoints {
			if e.StartedAt > b.readyEndpoints[endpoint].StartedAt {
				endpoint = id
			}
		}
	}
	b.host.Send(q.ID, endpoint, q.Deadline-now)
}

func (b *faultyBalancer) Outcome(now time.Duration, o balance.Outcome) {
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

func (b *faultyBalancer) ClientDisconnected(_ time.Duration, id string) { delete(b.requests, id) }

func (b *faultyBalancer) StreamStarted(time.Duration, string, int) {}

func (b *faultyBalancer) BodySent(time.Duration, string, int, time.Duration) {}

func (b *faultyBalancer) BodyOverdue(time.Duration, string, time.Duration) {}

func (b *faultyBalancer) Timer(time.Duration) {}

func (b *faultyBalancer) Probed(time.Duration, balance.ProbeResult) {}

// sidecarCommand returns an Options.NewCommand that runs this test binary as a sidecar with a fault.
func sidecarCommand(fault string) func() *exec.Cmd {
	return func() *exec.Cmd {
		cmd := exec.Command(os.Args[0])
		cmd.Env = append(os.Environ(), faultEnv+"="+fault)
		return cmd
	}
}
