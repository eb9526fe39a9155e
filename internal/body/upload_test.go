package body

import (
	"bytes"
	"context"
	"errors"
	"io"
	"net"
	"os"
	"slices"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"pgregory.net/rapid"
)

// The budget against a naive one that looks at all that waits after each step.
func TestMemoryBudgetKeepsBoundsAndOrder(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		total := rapid.IntRange(1, 100).Draw(t, "total")
		kept := rapid.IntRange(0, total).Draw(t, "kept")
		b := NewMemoryBudget(total, kept)
		sizes, waiting, held := map[int]Size{}, []int{}, []int{}
		note := func(granted []int) {
			for _, id := range granted {
				i := slices.Index(waiting, id)
				if i < 0 {
					t.Fatalf("%d was granted and did not wait", id)
				}
				for _, before := range waiting[:i] {
					if sizes[before].Long == sizes[id].Long {
						t.Fatalf("%d was granted before %d of its like", id, before)
					}
				}
				waiting, held = slices.Delete(waiting, i, i+1), append(held, id)
			}
		}
		for range rapid.IntRange(1, 60).Draw(t, "steps") {
			switch what := rapid.IntRange(0, 3).Draw(t, "what"); {
			case what <= 1:
				s := Size{rapid.IntRange(0, total).Draw(t, "bytes"), rapid.Bool().Draw(t, "long")}
				if !b.Fits(s) {
					continue
				}
				id, ok := b.Acquire(s)
				sizes[id] = s
				if waiting = append(waiting, id); ok {
					note([]int{id})
				}
			case what == 2 && len(held) > 0:
				i := rapid.IntRange(0, len(held)-1).Draw(t, "which")
				id := held[i]
				held = slices.Delete(held, i, i+1)
				note(b.Release(sizes[id]))
			case what == 3 && len(waiting) > 0:
				i := rapid.IntRange(0, len(waiting)-1).Draw(t, "which")
				id := waiting[i]
				waiting = slices.Delete(waiting, i, i+1)
				granted, ok := b.Cancel(id)
				if !ok {
					t.Fatalf("%d waits, and could not be withdrawn", id)
				}
				note(granted)
			}
			all, far, shortWaits := 0, 0, false
			for _, id := range held {
				all += sizes[id].Bytes
				if sizes[id].Long {
					far += sizes[id].Bytes
				}
			}
			if gotAll, gotFar := b.InUse(); gotAll != all || gotFar != far || all > total || far > total-kept || b.Waiting() != len(waiting) {
				t.Fatalf("held %d and %d, by the budget %d and %d, of %d and %d; %d wait, by the budget %d", all, far, gotAll, gotFar, total, total-kept, len(waiting), b.Waiting())
			}
			for _, id := range waiting { // the first of its like must be one that can't be had
				s := sizes[id]
				fits := all+s.Bytes <= total && (!s.Long || far+s.Bytes <= total-kept && !shortWaits)
				if first := !slices.ContainsFunc(waiting[:slices.Index(waiting, id)], func(o int) bool { return sizes[o].Long == s.Long }); first && fits &&
					!(s.Long && slices.ContainsFunc(waiting, func(o int) bool { return !sizes[o].Long })) {
					t.Fatalf("%v waits for nothing", s)
				}
			}
		}
	})
}

func TestLongBodiesLeaveMemoryForShortOnes(t *testing.T) {
	p := NewPool(4 * Window)
	ctx := t.Context()
	for range 3 {
		if _, err := p.AcquireWindow(ctx); err != nil {
			t.Fatal(err)
		}
	}
	short, cancel := context.WithTimeout(ctx, time.Millisecond)
	defer cancel()
	if _, err := p.AcquireWindow(short); !errors.Is(err, context.DeadlineExceeded) {
		t.Errorf("a fourth window of four: %v", err)
	}
	if err := p.Take(ctx, Size{Window, false}); err != nil {
		t.Errorf("a short body beside: %v", err)
	}
	if err := p.Take(ctx, Size{4*Window + 1, false}); !errors.Is(err, ErrNever) {
		t.Errorf("more than there is: %v", err)
	}
}

func TestPoolLeaksNothingWhenWaitersTimeOut(t *testing.T) {
	p := NewPool(4 * Window)
	var busy sync.WaitGroup
	for i := range 64 {
		busy.Go(func() {
			ctx, cancel := context.WithTimeout(context.Background(), time.Duration(i)*100*time.Microsecond)
			defer cancel()
			if w, err := p.AcquireWindow(ctx); err == nil {
				time.Sleep(time.Millisecond)
				p.ReleaseWindow(w)
			}
		})
	}
	busy.Wait()
	if held, waiting := p.Held(); held != 0 || waiting != 0 || len(p.granted) != 0 {
		t.Errorf("%d bytes are held, %d wait, %d turns are kept", held, waiting, len(p.granted))
	}
}

// A peer at the least rate goes on for ever, one below it ends in bounded time, and a pause is forgiven up to Idle.
func TestMeterEnforcesMinimumRate(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		p := Pace{Idle: time.Duration(rapid.IntRange(1, 10).Draw(t, "idle")) * time.Second, Rate: int64(rapid.IntRange(10, 10_000).Draw(t, "rate"))}
		share := rapid.Float64Range(0.1, 3).Draw(t, "share of the rate")
		step := time.Duration(rapid.IntRange(1, 900).Draw(t, "step in ms")) * time.Millisecond
		m, total, moved := NewMeter(p), time.Duration(0), 0.0
		for range 5000 {
			if m.MaxWait() < step {
				break
			}
			n := int(share*float64(p.Rate)*(total+step).Seconds() - moved)
			moved += float64(n)
			m.Record(n, step)
			total += step
		}
		lasts := total >= 5000*step
		behind := (1 - share) * total.Seconds()
		switch {
		case share >= 1.01 && !lasts:
			t.Fatalf("ended after %v", total)
		case share < 1 && behind > p.Idle.Seconds()+step.Seconds()+2/float64(p.Rate):
			t.Fatalf("went on for %v, %.1f s behind", total, behind)
		}
	})
	if m := NewMeter(Pace{Idle: time.Second}); m.MaxWait() != time.Second {
		t.Errorf("without a rate: %v", m.MaxWait())
	}
}

// scriptedBody is a caller's body: parts that come at once, and what follows.
type scriptedBody struct {
	parts    [][]byte
	end      error
	deadline time.Time
	gate     chan struct{} // a part comes with each; nil: at once
}

func (s *scriptedBody) Read(to []byte) (int, error) {
	if s.gate != nil && len(s.parts) > 0 {
		select {
		case <-s.gate:
		case <-time.After(time.Until(s.deadline)):
			return 0, os.ErrDeadlineExceeded
		}
	}
	if len(s.parts) == 0 {
		return 0, s.end
	}
	n := copy(to, s.parts[0])
	if s.parts[0] = s.parts[0][n:]; len(s.parts[0]) == 0 {
		s.parts = s.parts[1:]
	}
	return n, nil
}

// source is the body as one of which the size is not known.
func (s *scriptedBody) source() Source {
	return Source{Body: s, Deadline: func(at time.Time) error { s.deadline = at; return nil }, Size: -1, Most: 1 << 20, Pace: Pace{Idle: time.Second, Rate: 1000}}
}

func newTestUpload(t *testing.T, pool *Pool, s Source) *Upload {
	t.Helper()
	u, err := NewUpload(t.Context(), pool, s)
	if err != nil {
		t.Fatal(err)
	}
	return u
}

// flowReader reads a flow. What Next fails with is passed on as it is.
type flowReader struct {
	f    *Flow
	part []byte
}

func (r *flowReader) Read(to []byte) (int, error) {
	if len(r.part) == 0 {
		var err error
		if r.part, err = r.f.Next(); err != nil {
			return 0, err
		}
	}
	n := copy(to, r.part)
	r.part = r.part[n:]
	return n, nil
}

// readAll is all of a flow. The error is nil where the flow ends with io.EOF itself, by which io.ReadAll and others know the end.
func readAll(f *Flow) ([]byte, error) { return io.ReadAll(&flowReader{f: f}) }

func TestUploadCanBeResentWhileBuffered(t *testing.T) {
	for _, row := range []struct {
		length int
		again  bool
	}{{10, true}, {Held - 1, true}, {Held, true}, {Held + 1, false}, {5 * Window, false}} {
		text := bytes.Repeat([]byte("0123456789abcdef"), row.length/16+1)[:row.length]
		pool := NewPool(2 * Window)
		u := newTestUpload(t, pool, (&scriptedBody{parts: [][]byte{text[:row.length/2], text[row.length/2:]}, end: io.EOF}).source())
		if whole, err := u.Fill(); err != nil || whole != (row.length < Held) {
			t.Errorf("%d bytes: whole %v, %v", row.length, whole, err)
		}
		for try := range 2 {
			f, ok := u.NewFlow()
			if ok != (try == 0 || row.again) {
				t.Fatalf("%d bytes, try %d: %v", row.length, try, ok)
			}
			if !ok {
				continue
			}
			if got, err := readAll(f); err != nil || !bytes.Equal(got, text) {
				t.Errorf("%d bytes, try %d: %d bytes came, %v", row.length, try, len(got), err)
			}
			f.End()
		}
		if u.Close(time.Second, 1<<20); u.Spent() == row.again {
			t.Errorf("%d bytes: spent %v", row.length, u.Spent())
		}
		if held, _ := pool.Held(); held != 0 {
			t.Errorf("%d bytes are held after the end", held)
		}
	}
}

// What comes for an attempt that has ended is the next one's: nothing of the body is lost, nothing comes twice.
func TestReadOfEndedFlowGoesToNextFlow(t *testing.T) {
	for _, length := range []int{100, Held + 100} {
		synctest.Test(t, func(t *testing.T) {
			text := bytes.Repeat([]byte("0123456789"), length/10)
			s := &scriptedBody{parts: [][]byte{text[:length-100], text[length-100:]}, end: io.EOF, gate: make(chan struct{}, 9)}
			if len(s.parts[0]) == 0 {
				s.parts = s.parts[1:]
			}
			u := newTestUpload(t, NewPool(2*Window), s.source())
			for range (length - 100 + Held - 1) / Held {
				s.gate <- struct{}{}
			}
			first, _ := u.NewFlow()
			read := make(chan error)
			go func() { _, err := readAll(first); read <- err }()
			synctest.Wait()
			first.End()
			second, ok := u.NewFlow()
			if !ok || u.Spent() {
				t.Fatal("the body is spent, though all that was given out is held")
			}
			var got []byte
			done := make(chan error)
			go func() {
				var err error
				got, err = readAll(second)
				done <- err
			}()
			synctest.Wait()
			s.gate <- struct{}{}
			if err := <-read; !errors.Is(err, errFlowEnded) {
				t.Errorf("the first: %v", err)
			}
			if err := <-done; err != nil || !bytes.Equal(got, text) {
				t.Errorf("the second: %d bytes of %d, %v", len(got), len(text), err)
			}
			u.Close(time.Second, 100)
		})
	}
}

var errNothingComes = errors.New("nothing comes")

func TestUploadReportsWhyBodyFailed(t *testing.T) {
	for _, row := range []struct {
		name string
		s    *scriptedBody
		want error
	}{
		{"too long", &scriptedBody{parts: [][]byte{make([]byte, 2<<20)}, end: io.EOF}, ErrTooLong},
		{"an end too early", &scriptedBody{parts: [][]byte{{1}}, end: io.ErrUnexpectedEOF}, ErrBroken},
		{"bad chunks", &scriptedBody{end: errors.New("malformed chunked encoding")}, ErrBroken},
		{"nothing comes", &scriptedBody{parts: [][]byte{{1}}, end: errNothingComes}, ErrSlow},
	} {
		t.Run(row.name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				if errors.Is(row.s.end, errNothingComes) { // of this bubble's own
					row.s.gate = make(chan struct{})
				}
				pool := NewPool(2 * Window)
				u := newTestUpload(t, pool, row.s.source())
				f, _ := u.NewFlow()
				if _, err := readAll(f); !errors.Is(err, row.want) || !errors.Is(u.Err(), row.want) {
					t.Errorf("%v, %v, want %v", err, u.Err(), row.want)
				}
				select {
				case <-u.Failed():
				default:
					t.Error("nobody is told")
				}
				u.Close(time.Second, 100)
				if held, _ := pool.Held(); held != 0 {
					t.Errorf("%d bytes are held after the end", held)
				}
			})
		})
	}
}

// A caller that trickles is let go by the least rate, though it never pauses for long.
func TestTricklingClientFailsMinimumRate(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		s := &scriptedBody{gate: make(chan struct{})}
		for range 1000 {
			s.parts = append(s.parts, []byte{1})
		}
		u := newTestUpload(t, NewPool(2*Window), s.source())
		go func() {
			for {
				select {
				case s.gate <- struct{}{}:
					time.Sleep(100 * time.Millisecond)
				case <-u.Failed():
					return
				}
			}
		}()
		began := time.Now()
		if _, err := u.Fill(); !errors.Is(err, ErrSlow) || time.Since(began) > 2*time.Second {
			t.Errorf("%v after %v", err, time.Since(began))
		}
		u.Close(time.Second, 100)
		time.Sleep(time.Second) // the caller sees the end
	})
}

// Of a sender who has ended what is left is read to its end, but not asked for: one that waits for a word has sent nothing.
func TestExhaustReadsRestWithoutTriggeringContinue(t *testing.T) {
	for name, c := range map[string]struct {
		end     error
		expects bool
		parts   int
		want    error
		left    int // parts that nobody read
	}{
		"whole":                  {end: io.EOF, parts: 5},
		"without its end":        {end: io.ErrUnexpectedEOF, parts: 5, want: ErrBroken},
		"waits for a word":       {end: io.EOF, expects: true, parts: 1, want: ErrBroken, left: 1},
		"too long":               {end: io.EOF, parts: 40, want: ErrTooLong, left: 7},
		"broken before its half": {end: io.ErrUnexpectedEOF, want: ErrBroken},
	} {
		t.Run(name, func(t *testing.T) {
			s := &scriptedBody{end: c.end}
			for range c.parts {
				s.parts = append(s.parts, make([]byte, Held))
			}
			from := s.source()
			from.Expects = c.expects
			u := newTestUpload(t, NewPool(2*Window), from)
			if err := u.Exhaust(); !errors.Is(err, c.want) || !errors.Is(u.Err(), c.want) || u.Whole() != (c.want == nil) || len(s.parts) != c.left {
				t.Errorf("%v, whole %v, %d parts left", err, u.Whole(), len(s.parts))
			}
			u.Close(0, 0)
		})
	}
}

// A flow that nobody wants to hear more of waits neither for the caller nor for ever.
func TestCloseDrainsWithinTimeAndByteLimits(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		s := &scriptedBody{parts: [][]byte{make([]byte, 300<<10), {1}}, gate: make(chan struct{})}
		u := newTestUpload(t, NewPool(2*Window), s.source())
		go func() {
			for range 100 {
				select {
				case s.gate <- struct{}{}:
				case <-time.After(5 * time.Second):
				}
			}
		}()
		f, _ := u.NewFlow()
		if _, err := f.Next(); err != nil {
			t.Error(err)
		}
		f.End()
		began := time.Now()
		u.Close(500*time.Millisecond, 128<<10)
		if took := time.Since(began); took > time.Second || len(s.parts[0]) < 100<<10 {
			t.Errorf("closed after %v, with %d bytes left", took, len(s.parts[0]))
		}
		time.Sleep(10 * time.Minute) // the caller gives up
	})
}

func TestWriteEndsWhenPeerDoesNotReadOrStopped(t *testing.T) {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	defer l.Close()
	nc, err := net.Dial("tcp", l.Addr().String())
	if err != nil {
		t.Fatal(err)
	}
	defer nc.Close()
	peer, err := l.Accept()
	if err != nil {
		t.Fatal(err)
	}
	defer peer.Close()
	big := make([]byte, 32<<20) // more than the system keeps of a connection
	m := NewMeter(Pace{Idle: 50 * time.Millisecond, Rate: 100 << 20})
	if n, err := Write(nc, &m, func() bool { return false }, net.Buffers{big}); !errors.Is(err, ErrSlow) || n == 0 || n == int64(len(big)) {
		t.Errorf("%d bytes, %v", n, err)
	}
	m = NewMeter(Pace{Idle: 20 * time.Second})
	var stop sync.Once
	stopped := make(chan struct{})
	isStopped := func() bool {
		select {
		case <-stopped:
			return true
		default:
			return false
		}
	}
	time.AfterFunc(50*time.Millisecond, func() {
		stop.Do(func() { close(stopped) })
		nc.SetWriteDeadline(time.Unix(1, 0))
	})
	if _, err := Write(nc, &m, isStopped, net.Buffers{big}); !errors.Is(err, ErrStopped) {
		t.Errorf("stopped: %v", err)
	}
}
