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

// memory is a network in memory, so that time can be virtual.
type memory struct {
	conns  chan net.Conn
	closed chan struct{}
}

func newMemory() *memory { return &memory{make(chan net.Conn), make(chan struct{})} }

func (m *memory) dial(ctx context.Context, _, _ string) (net.Conn, error) {
	ours, theirs := net.Pipe()
	select {
	case m.conns <- theirs:
		return ours, nil
	case <-m.closed:
		return nil, net.ErrClosed
	case <-ctx.Done():
		return nil, ctx.Err()
	}
}

func (m *memory) Accept() (net.Conn, error) {
	select {
	case c := <-m.conns:
		return c, nil
	case <-m.closed:
		return nil, net.ErrClosed
	}
}
func (m *memory) Close() error {
	select {
	case <-m.closed:
	default:
		close(m.closed)
	}
	return nil
}
func (m *memory) Addr() net.Addr { return &net.TCPAddr{} }

// delays are injected: how long request n is worked on, and from when on the server does nothing for how long, every so often.
type delays struct {
	each               func(n int64) time.Duration
	stallEvery, stalls time.Duration
}

// at is what a request that comes at an instant takes.
func (d delays) at(at time.Duration, n int64) (took time.Duration) {
	if d.stallEvery > 0 {
		if in := at % d.stallEvery; in >= d.stallEvery-d.stalls {
			took = d.stallEvery - in
		}
	}
	return took + d.each(n)
}

// draw gives each request a number of its own from 0 to 1.
func draw(n int64) float64 {
	h := fnv.New64a()
	_, _ = fmt.Fprint(h, n) // a hash takes all that is written to it
	return rand.New(rand.NewPCG(h.Sum64(), 1)).Float64()
}

// measured runs the generator before a server with the delays, in virtual time.
func measured(t *testing.T, o Options, d delays) (r *Result) {
	t.Helper()
	m := newMemory()
	start := time.Now()
	server := &http.Server{Handler: http.HandlerFunc(func(w http.ResponseWriter, q *http.Request) {
		var n int64
		if _, err := fmt.Sscan(q.URL.Path[1:], &n); err != nil {
			t.Error(err)
		}
		time.Sleep(d.at(time.Since(start), n))
		io.WriteString(w, "done")
	})}
	go func() {
		if err := server.Serve(m); !errors.Is(err, http.ErrServerClosed) {
			t.Error(err)
		}
	}()
	request, err := Simple(http.MethodGet, "http://server/{n}", nil, nil)
	if err != nil {
		t.Fatal(err)
	}
	h := NewHTTP(request, o.Connections, m.dial)
	r, err = Run(t.Context(), o, h)
	if err != nil {
		t.Fatal(err)
	}
	h.Close()
	server.Close()
	return r
}

// expected is what the schedule and the delays come to, by arithmetic alone.
// Ranks of percentiles are counted in more ways than one: the bounds are those of the ranks beside.
func expected(t *testing.T, o Options, d delays) (at func(share float64) (lo, hi time.Duration)) {
	t.Helper()
	s, err := schedule.NewStream(rand.New(rand.NewPCG(o.Seed, 0x6c6f6164)), o.Process)
	if err != nil {
		t.Fatal(err)
	}
	var all []time.Duration
	for n := int64(0); ; n++ {
		due, ok := s.Next(o.Duration)
		if !ok {
			break
		}
		all = append(all, d.at(due, n))
	}
	slices.Sort(all)
	return func(share float64) (lo, hi time.Duration) {
		rank := int(math.Ceil(share*float64(len(all)))) - 1
		return all[max(rank-1, 0)], all[min(rank+1, len(all)-1)]
	}
}

var shares = []float64{0.5, 0.9, 0.99, 0.999}

// What is measured is what the delays come to, within 1 % or 1 ms. In particular a stall shows in full.
func TestAgainstKnownDelays(t *testing.T) {
	for name, d := range map[string]delays{
		"constant":    {each: func(int64) time.Duration { return 10 * time.Millisecond }},
		"exponential": {each: func(n int64) time.Duration { return time.Duration(-math.Log(1-draw(n)) * float64(20*time.Millisecond)) }},
		"bimodal": {each: func(n int64) time.Duration {
			if draw(n) < 0.95 {
				return 5 * time.Millisecond
			}
			return 300 * time.Millisecond
		}},
		"a stall": {each: func(int64) time.Duration { return 10 * time.Millisecond }, stallEvery: 10 * time.Second, stalls: 2 * time.Second},
	} {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				o := Options{Process: schedule.Process{Rate: schedule.Steady(100), Gaps: schedule.Exponential}, Seed: 4, Duration: 20 * time.Second,
					ResponseTimeout: 10 * time.Second, Connections: 1000}
				r := measured(t, o, d)
				want := expected(t, o, d)
				for _, s := range shares {
					lo, hi := want(s)
					if got := r.All.At(s); got < lo-max(lo/100, time.Millisecond) || got > hi+max(hi/100, time.Millisecond) {
						t.Errorf("p%v: %v, want %v to %v", 100*s, got, lo, hi)
					}
				}
				if r.Due != r.Ended()["200"] || r.All.Count() != r.Due || r.NotSent != 0 || r.Invalid != "" || r.SendLateness.Most() > time.Millisecond {
					t.Errorf("of %d due: %v, not sent %d, %q, late by %v", r.Due, r.Ended(), r.NotSent, r.Invalid, r.SendLateness.Most())
				}
				if name == "a stall" {
					closed := closedLoop(t, o.Duration, d)
					t.Logf("p99 with a stall: %v from when requests were due, %v in a closed loop", r.All.At(0.99), closed.At(0.99))
					if closed.At(0.99) > 20*time.Millisecond || r.All.At(0.99) < time.Second {
						t.Errorf("p99: %v in a closed loop, %v here", closed.At(0.99), r.All.At(0.99))
					}
				}
			})
		})
	}
}

// closedLoop is the measurement that misses a stall: one request after another.
func closedLoop(t *testing.T, length time.Duration, d delays) *schedule.Latency {
	t.Helper()
	l := schedule.NewLatency()
	start := time.Now()
	for n := int64(0); time.Since(start) < length; n++ {
		began := time.Now()
		time.Sleep(d.at(time.Since(start), n))
		l.Record(time.Since(began))
	}
	return l
}

// Beyond its connections the generator neither waits nor hides what it could not send.
func TestWhatFindsNoConnectionIsNotSent(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		o := Options{Process: schedule.Process{Rate: schedule.Steady(100)}, Duration: 10 * time.Second, ResponseTimeout: 2 * time.Second, Connections: 10}
		r := measured(t, o, delays{each: func(int64) time.Duration { return 500 * time.Millisecond }})
		// 10 connections serve 20 a second.
		if r.Due != 1000 || r.NotSent < 790 || r.NotSent > 810 || r.Ended()["200"] != r.Due-r.NotSent || r.SendLateness.Most() > time.Millisecond {
			t.Errorf("of %d due %d not sent, %v, late by %v", r.Due, r.NotSent, r.Ended(), r.SendLateness.Most())
		}
	})
}

func TestServersThatGoWrong(t *testing.T) {
	const head = "HTTP/1.1 200 OK\r\n"
	for name, c := range map[string]struct {
		talk func(net.Conn)
		want string
	}{
		"accepts and never answers": {func(nc net.Conn) { io.Copy(io.Discard, nc) }, FailedTimeout},
		"answers a byte a second": {func(nc net.Conn) {
			go io.Copy(io.Discard, nc)
			for _, b := range []byte(head + "Content-Length: 2\r\n\r\nhi") {
				time.Sleep(time.Second)
				if _, err := nc.Write([]byte{b}); err != nil {
					return
				}
			}
		}, FailedTimeout},
		"sends half an answer": {func(nc net.Conn) {
			_, _ = nc.Read(make([]byte, 4096)) // whatever came, it answers
			io.WriteString(nc, head+"Content-Length: 100\r\n\r\nhalf")
		}, FailedBroken},
		"closes at once": {func(net.Conn) {}, FailedBroken},
		"closes after each": {func(nc net.Conn) {
			_, _ = nc.Read(make([]byte, 4096)) // whatever came, it answers
			io.WriteString(nc, head+"Content-Length: 2\r\nConnection: close\r\n\r\nhi")
		}, "200"},
		"sends more than asked": {func(nc net.Conn) {
			_, _ = nc.Read(make([]byte, 4096)) // whatever came, it answers
			io.WriteString(nc, head+"Content-Length: 2\r\n\r\nhi"+head+"Content-Length: 1\r\n\r\nx")
		}, "200"},
	} {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				m := newMemory()
				go func() {
					for {
						nc, err := m.Accept()
						if err != nil {
							return
						}
						go func() { defer nc.Close(); c.talk(nc) }()
					}
				}()
				request, _ := Simple(http.MethodGet, "http://server/", nil, nil)
				h := NewHTTP(request, 100, m.dial)
				o := Options{Process: schedule.Process{Rate: schedule.Steady(20)}, Duration: time.Second, ResponseTimeout: 3 * time.Second, Connections: 100}
				r, err := Run(t.Context(), o, h)
				if err != nil {
					t.Fatal(err)
				}
				if r.Due != 20 || r.Ended()[c.want] != 20 {
					t.Errorf("of %d due: %v, want %q", r.Due, r.Ended(), c.want)
				}
				h.Close()
				m.Close()
				time.Sleep(time.Minute) // the server's goroutines end
			})
		})
	}
}

// late is a sender that is slow to write.
type late struct{ by time.Duration }

func (l late) Send(context.Context, int64) Response {
	time.Sleep(l.by)
	return Response{Wrote: time.Now(), Status: 200}
}

func TestARunThatIsItselfLateIsNotValid(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		o := Options{Process: schedule.Process{Rate: schedule.Steady(100)}, Duration: time.Second, ResponseTimeout: time.Second, Connections: 100}
		for by, valid := range map[time.Duration]bool{time.Millisecond: true, 50 * time.Millisecond: false} {
			r, err := Run(t.Context(), o, late{by})
			if err != nil || (r.Invalid == "") != valid {
				t.Errorf("late by %v: %v, %q", by, err, r.Invalid)
			}
		}
	})
}

func TestAnInterruptedRunHasAResult(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		ctx, cancel := context.WithTimeout(t.Context(), 3*time.Second)
		defer cancel()
		o := Options{Process: schedule.Process{Rate: schedule.Steady(10)}, Duration: time.Hour, ResponseTimeout: time.Second, Connections: 10}
		r, err := Run(ctx, o, late{time.Millisecond})
		if err != nil || !r.Interrupted || r.Due < 29 || r.Due > 31 || r.Ended()["200"] != r.Due || r.Sent != 3*time.Second {
			t.Errorf("%v: %+v", err, r)
		}
	})
}

func TestOptionsThatCannotBe(t *testing.T) {
	good := Options{Process: schedule.Process{Rate: schedule.Steady(10)}, Duration: time.Second, ResponseTimeout: time.Second, Connections: 1}
	for name, change := range map[string]func(*Options){"no rate": func(o *Options) { o.Process.Rate = nil }, "no length": func(o *Options) { o.Duration = 0 },
		"no wait": func(o *Options) { o.ResponseTimeout = 0 }, "no connections": func(o *Options) { o.Connections = 0 }} {
		o := good
		change(&o)
		if _, err := Run(t.Context(), o, late{}); err == nil {
			t.Errorf("%s: run all the same", name)
		}
	}
}
