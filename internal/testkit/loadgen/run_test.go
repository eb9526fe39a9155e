package loadgen

import (
	"context"
	"errors"
	"fmt"
	"hash/fnv"
	"io"
	"math"
	"math/rand/v2"
	"net"
	"net/http"
	"slices"
	"testing"
	"testing/synctest"
	"time"

	"tuliprock/internal/testkit/schedule"
)

// pipeNetwork is a net.Listener and the dialer of its connections, which are in memory so that tests can use virtual time.
type pipeNetwork struct {
	pending chan net.Conn // server sides of the connections that wait for Accept
	closed  chan struct{}
}

func newPipeNetwork() *pipeNetwork {
	return &pipeNetwork{make(chan net.Conn), make(chan struct{})}
}

func (p *pipeNetwork) dial(ctx context.Context, _, _ string) (net.Conn, error) {
	client, server := net.Pipe()
	select {
	case p.pending <- server:
		return client, nil
	case <-p.closed:
		return nil, net.ErrClosed
	case <-ctx.Done():
		return nil, ctx.Err()
	}
}

func (p *pipeNetwork) Accept() (net.Conn, error) {
	select {
	case nc := <-p.pending:
		return nc, nil
	case <-p.closed:
		return nil, net.ErrClosed
	}
}

func (p *pipeNetwork) Close() error {
	select {
	case <-p.closed:
	default:
		close(p.closed)
	}
	return nil
}

func (p *pipeNetwork) Addr() net.Addr { return &net.TCPAddr{} }

// serverDelays are the processing times of a simulated server, which stalls at the end of every stallPeriod if stallPeriod is not 0.
type serverDelays struct {
	processingTime func(n int64) time.Duration // returns the processing time of request n, without the wait for the end of a stall
	stallPeriod    time.Duration               // time from the end of one stall to the end of the next
	stallLength    time.Duration               // length of each stall; requests that arrive during a stall are processed from its end on
}

// delayOf returns the time from the arrival of request n, at an instant of the run, to its response.
func (d serverDelays) delayOf(instant time.Duration, n int64) (delay time.Duration) {
	if d.stallPeriod > 0 {
		if offset := instant % d.stallPeriod; offset >= d.stallPeriod-d.stallLength {
			delay = d.stallPeriod - offset
		}
	}
	return delay + d.processingTime(n)
}

// randomFraction returns a pseudo-random number from 0 to 1 that depends on the request's number alone.
func randomFraction(n int64) float64 {
	h := fnv.New64a()
	_, _ = fmt.Fprint(h, n) // writing to a hash does not fail
	return rand.New(rand.NewPCG(h.Sum64(), 1)).Float64()
}

// measure runs the generator in virtual time against a server with the given delays.
func measure(t *testing.T, o Options, d serverDelays) *Result {
	t.Helper()
	network := newPipeNetwork()
	start := time.Now()
	server := &http.Server{Handler: http.HandlerFunc(func(w http.ResponseWriter, q *http.Request) {
		var n int64
		if _, err := fmt.Sscan(q.URL.Path[1:], &n); err != nil {
			t.Error(err)
		}
		time.Sleep(d.delayOf(time.Since(start), n))
		io.WriteString(w, "done")
	})}
	go func() {
		if err := server.Serve(network); !errors.Is(err, http.ErrServerClosed) {
			t.Error(err)
		}
	}()
	newRequest, err := NewRequestTemplate(http.MethodGet, "http://server/{n}", nil, nil)
	if err != nil {
		t.Fatal(err)
	}
	sender := NewHTTPSender(newRequest, o.Connections, network.dial)
	result, err := Run(t.Context(), o, sender)
	if err != nil {
		t.Fatal(err)
	}
	sender.Close()
	server.Close()
	return result
}

// computeExpectedQuantiles computes the latencies from the schedule and the delays, without sending requests. The function that it
// returns gives the bounds of a quantile: the latencies of the ranks just below and above the quantile's rank, since there are
// several ways to round a rank.
func computeExpectedQuantiles(t *testing.T, o Options, d serverDelays) (quantile func(fraction float64) (lo, hi time.Duration)) {
	t.Helper()
	s, err := schedule.NewStream(rand.New(rand.NewPCG(o.Seed, 0x6c6f6164)), o.Process) // the same seed, and thus the same schedule, as in Run
	if err != nil {
		t.Fatal(err)
	}
	var latencies []time.Duration
	for n := int64(0); ; n++ {
		due, ok := s.Next(o.Duration)
		if !ok {
			break
		}
		latencies = append(latencies, d.delayOf(due, n))
	}
	slices.Sort(latencies)
	return func(fraction float64) (lo, hi time.Duration) {
		rank := int(math.Ceil(fraction*float64(len(latencies)))) - 1
		return latencies[max(rank-1, 0)], latencies[min(rank+1, len(latencies)-1)]
	}
}

// The quantiles that Run measures are those that follow from the server's delays, within 1 % or 1 ms. In particular, the p99 shows the
// server's stalls, which a closed loop mostly misses.
func TestLatencyMatchesServerDelays(t *testing.T) {
	for name, d := range map[string]serverDelays{
		"constant": {processingTime: func(int64) time.Duration { return 10 * time.Millisecond }},
		"exponential": {processingTime: func(n int64) time.Duration {
			return time.Duration(-math.Log(1-randomFraction(n)) * float64(20*time.Millisecond))
		}},
		"bimodal": {processingTime: func(n int64) time.Duration {
			if randomFraction(n) < 0.95 {
				return 5 * time.Millisecond
			}
			return 300 * time.Millisecond
		}},
		"stall": {processingTime: func(int64) time.Duration { return 10 * time.Millisecond }, stallPeriod: 10 * time.Second, stallLength: 2 * time.Second},
	} {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				o := Options{Process: schedule.Process{Rate: schedule.Steady(100), Gaps: schedule.Exponential}, Seed: 4, Duration: 20 * time.Second,
					ResponseTimeout: 10 * time.Second, Connections: 1000}
				result := measure(t, o, d)
				expectedQuantile := computeExpectedQuantiles(t, o, d)
				for _, fraction := range []float64{0.5, 0.9, 0.99, 0.999} {
					lo, hi := expectedQuantile(fraction)
					if got := result.Latency.Quantile(fraction); got < lo-max(lo/100, time.Millisecond) || got > hi+max(hi/100, time.Millisecond) {
						t.Errorf("p%v: %v, want %v to %v", 100*fraction, got, lo, hi)
					}
				}
				if result.Scheduled != result.CountByOutcome()["200"] || result.Latency.Count() != result.Scheduled || result.NotSent != 0 ||
					result.InvalidReason != "" || result.SendLateness.Max() > time.Millisecond {
					t.Errorf("%d requests were scheduled, outcomes: %v, %d not sent, invalid: %q, sent late by up to %v; want all sent on time with status 200",
						result.Scheduled, result.CountByOutcome(), result.NotSent, result.InvalidReason, result.SendLateness.Max())
				}
				if name == "stall" {
					closedLoop := measureClosedLoop(t, o.Duration, d)
					t.Logf("p99 with a stall: %v in an open loop, %v in a closed loop", result.Latency.Quantile(0.99), closedLoop.Quantile(0.99))
					if closedLoop.Quantile(0.99) > 20*time.Millisecond || result.Latency.Quantile(0.99) < time.Second {
						t.Errorf("p99 with a stall: %v in an open loop, want at least 1s; %v in a closed loop, want at most 20ms",
							result.Latency.Quantile(0.99), closedLoop.Quantile(0.99))
					}
				}
			})
		})
	}
}

// measureClosedLoop measures the server's delays with one request after another, which misses most of a stall.
func measureClosedLoop(t *testing.T, length time.Duration, d serverDelays) *schedule.LatencyHistogram {
	t.Helper()
	l := schedule.NewLatencyHistogram()
	start := time.Now()
	for n := int64(0); time.Since(start) < length; n++ {
		sentAt := time.Now()
		time.Sleep(d.delayOf(time.Since(start), n))
		l.Record(time.Since(sentAt))
	}
	return l
}

// A request that is due while all connections are in use is counted as not sent, and does not delay later requests.
func TestRequestsWithoutAConnectionAreNotSent(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		o := Options{Process: schedule.Process{Rate: schedule.Steady(100)}, Duration: 10 * time.Second, ResponseTimeout: 2 * time.Second, Connections: 10}
		result := measure(t, o, serverDelays{processingTime: func(int64) time.Duration { return 500 * time.Millisecond }})
		// With 500 ms per request, 10 connections serve 20 of the 100 requests that are due per second.
		if result.Scheduled != 1000 || result.NotSent < 790 || result.NotSent > 810 || result.CountByOutcome()["200"] != result.Scheduled-result.NotSent ||
			result.SendLateness.Max() > time.Millisecond {
			t.Errorf("%d requests were scheduled, %d not sent, outcomes: %v, sent late by up to %v; want 1000 scheduled, 790 to 810 not sent, the others on time with status 200",
				result.Scheduled, result.NotSent, result.CountByOutcome(), result.SendLateness.Max())
		}
	})
}

func TestServerFaultsDetermineTheOutcomeOfRequests(t *testing.T) {
	const statusLine = "HTTP/1.1 200 OK\r\n"
	for name, c := range map[string]struct {
		serve       func(net.Conn) // serves one connection, which is closed when serve returns
		wantOutcome string         // outcome that all requests must have
	}{
		"never responds": {func(nc net.Conn) { io.Copy(io.Discard, nc) }, FailureTimeout},
		"responds with a byte per second": {func(nc net.Conn) {
			go io.Copy(io.Discard, nc)
			for _, b := range []byte(statusLine + "Content-Length: 2\r\n\r\nhi") {
				time.Sleep(time.Second)
				if _, err := nc.Write([]byte{b}); err != nil {
					return
				}
			}
		}, FailureTimeout},
		"closes in the middle of a response": {func(nc net.Conn) {
			_, _ = nc.Read(make([]byte, 4096)) // the result is ignored, since the response depends neither on the request's content nor on an error
			io.WriteString(nc, statusLine+"Content-Length: 100\r\n\r\nhalf")
		}, FailureBrokenOff},
		"closes at once": {func(net.Conn) {}, FailureBrokenOff},
		"closes after each response": {func(nc net.Conn) {
			_, _ = nc.Read(make([]byte, 4096)) // the result is ignored, since the response depends neither on the request's content nor on an error
			io.WriteString(nc, statusLine+"Content-Length: 2\r\nConnection: close\r\n\r\nhi")
		}, "200"},
		"sends a second response without a request": {func(nc net.Conn) {
			_, _ = nc.Read(make([]byte, 4096)) // the result is ignored, since the response depends neither on the request's content nor on an error
			io.WriteString(nc, statusLine+"Content-Length: 2\r\n\r\nhi"+statusLine+"Content-Length: 1\r\n\r\nx")
		}, "200"},
	} {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				network := newPipeNetwork()
				go func() {
					for {
						nc, err := network.Accept()
						if err != nil {
							return
						}
						go func() { defer nc.Close(); c.serve(nc) }()
					}
				}()
				newRequest, _ := NewRequestTemplate(http.MethodGet, "http://server/", nil, nil)
				sender := NewHTTPSender(newRequest, 100, network.dial)
				o := Options{Process: schedule.Process{Rate: schedule.Steady(20)}, Duration: time.Second, ResponseTimeout: 3 * time.Second, Connections: 100}
				result, err := Run(t.Context(), o, sender)
				if err != nil {
					t.Fatal(err)
				}
				if result.Scheduled != 20 || result.CountByOutcome()[c.wantOutcome] != 20 {
					t.Errorf("%d requests were scheduled, outcomes: %v, want 20 with outcome %q", result.Scheduled, result.CountByOutcome(), c.wantOutcome)
				}
				sender.Close()
				network.Close()
				time.Sleep(time.Minute) // lets the server's goroutines end before the synctest bubble does
			})
		})
	}
}

// lateSender is a Sender that writes every request with the same delay and gets the response at once.
type lateSender struct{ lateness time.Duration }

func (s lateSender) Send(context.Context, int64) Response {
	time.Sleep(s.lateness)
	return Response{WrittenAt: time.Now(), Status: 200}
}

func TestResultIsInvalidIfTheGeneratorIsLate(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		o := Options{Process: schedule.Process{Rate: schedule.Steady(100)}, Duration: time.Second, ResponseTimeout: time.Second, Connections: 100}
		for lateness, wantValid := range map[time.Duration]bool{time.Millisecond: true, 50 * time.Millisecond: false} {
			result, err := Run(t.Context(), o, lateSender{lateness})
			if err != nil || (result.InvalidReason == "") != wantValid {
				t.Errorf("generator late by %v: error %v, invalid: %q, want valid: %v", lateness, err, result.InvalidReason, wantValid)
			}
		}
	})
}

func TestInterruptedRunHasAResult(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		ctx, cancel := context.WithTimeout(t.Context(), 3*time.Second)
		defer cancel()
		o := Options{Process: schedule.Process{Rate: schedule.Steady(10)}, Duration: time.Hour, ResponseTimeout: time.Second, Connections: 10}
		result, err := Run(ctx, o, lateSender{time.Millisecond})
		if err != nil || !result.Interrupted || result.Scheduled < 29 || result.Scheduled > 31 || result.CountByOutcome()["200"] != result.Scheduled ||
			result.SendDuration != 3*time.Second {
			t.Errorf("run interrupted after 3s at 10 requests per second: error %v, result %+v, want 29 to 31 requests, all with status 200, in 3s", err, result)
		}
	})
}

func TestRunRejectsInvalidOptions(t *testing.T) {
	validOptions := Options{Process: schedule.Process{Rate: schedule.Steady(10)}, Duration: time.Second, ResponseTimeout: time.Second, Connections: 1}
	for name, change := range map[string]func(*Options){
		"no rate":             func(o *Options) { o.Process.Rate = nil },
		"no duration":         func(o *Options) { o.Duration = 0 },
		"no response timeout": func(o *Options) { o.ResponseTimeout = 0 },
		"no connections":      func(o *Options) { o.Connections = 0 },
	} {
		o := validOptions
		change(&o)
		if _, err := Run(t.Context(), o, lateSender{}); err == nil {
			t.Errorf("%s: Run succeeded, want an error", name)
		}
	}
}
