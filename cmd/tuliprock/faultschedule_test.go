package main

import (
	"cmp"
	"crypto/sha256"
	"errors"
	"fmt"
	"math/rand/v2"
	"net/http"
	"os"
	"path/filepath"
	"slices"
	"strconv"
	"strings"
	"sync"
	"sync/atomic"
	"syscall"
	"testing"
	"time"

	"github.com/anishathalye/porcupine"

	"tuliprock/internal/cluster/status"
	"tuliprock/internal/cluster/transport"
	"tuliprock/internal/testkit/clusterinvariant"
	"tuliprock/internal/testkit/faultnet"
	"tuliprock/internal/testkit/testpeer"
)

// drawnPlay is one play of drawn troubles on real processes, with load on all and puts all the time, and what was seen of it.
type drawnPlay struct {
	*councilDaemons
	rng   *rand.Rand
	began time.Time
	load  sync.WaitGroup
	over  atomic.Bool

	mu      sync.Mutex
	sent    map[string]sending // requests, by id
	arrived map[string]arrival
	refused map[string]bool // ids of those that were answered with 503
	gone    int             // requests without an answer: their daemon was killed
	odd     []string        // answers that should not be
	lives   []int           // of each daemon
	stops   [][]stopped     // of each daemon
	up      []bool
	marks   map[[32]byte]string // marks of settings, by the digest of the text
	made    map[uint64][32]byte // what a put was told that it made, by version
	ops     []porcupine.Operation

	troubles []trouble
}

// trouble is one that was played; its effect ends where the next one begins.
type trouble struct {
	name string
	from time.Duration
}

type sending struct {
	daemon, life int
	at           time.Duration
}

type arrival struct {
	mark string
	at   time.Duration
}

type stopped struct{ from, to time.Duration }

const (
	troubleMost  = 2500 * time.Millisecond
	scheduleTime = 12 * time.Second       // of troubles
	restLeast    = 500 * time.Millisecond // between two troubles
	callRest     = 8 * time.Millisecond
	putRest      = 150 * time.Millisecond
	flagName     = "flag/x"
)

func (s *drawnPlay) now() time.Duration { return time.Since(s.began) }

func newSchedule(t *testing.T, seed uint64, daemons int) *drawnPlay {
	t.Helper()
	s := &drawnPlay{rng: rand.New(rand.NewPCG(seed, 4)), began: time.Now(), sent: map[string]sending{}, arrived: map[string]arrival{}, refused: map[string]bool{},
		marks: map[[32]byte]string{}, made: map[uint64][32]byte{}, lives: make([]int, daemons), stops: make([][]stopped, daemons), up: make([]bool, daemons)}
	for i := range s.up {
		s.up[i] = true
	}
	// In builds with the race detector clocks differ by what is allowed; all daemons of one start have one rate.
	t.Setenv(transport.ClockRate, "0.99")
	s.councilDaemons = newCouncil(t, councilOf{daemons: daemons, voters: 3, remember: true, shared: `shared = { unsure = "refuse" }`, saw: s.arrives})
	return s
}

func (s *drawnPlay) arrives(r *http.Request) {
	s.mu.Lock()
	defer s.mu.Unlock()
	id := r.Header.Get("Req-Id")
	if was, ok := s.arrived[id]; ok && was.mark != r.Header.Get(markHeader) {
		s.odd = append(s.odd, fmt.Sprintf("%s came by %q and by %q", id, was.mark, r.Header.Get(markHeader)))
	}
	s.arrived[id] = arrival{r.Header.Get(markHeader), s.now()}
}

// call sends requests through a daemon, one after another.
func (s *drawnPlay) call(daemon int) {
	client := &http.Client{Timeout: 10 * time.Second, Transport: &http.Transport{DisableKeepAlives: true}}
	for n := 0; !s.over.Load(); n++ {
		id := fmt.Sprintf("s%d-%d", daemon, n)
		s.mu.Lock()
		up := s.up[daemon]
		s.sent[id] = sending{daemon, s.lives[daemon], s.now()}
		s.mu.Unlock()
		status, after, err := s.ds[daemon].ask(client, id)
		s.mu.Lock()
		switch {
		case err != nil:
			s.gone++
		case status == http.StatusServiceUnavailable:
			s.refused[id] = true
			if after == "" {
				s.odd = append(s.odd, id+" was refused without advice")
			}
		case status != http.StatusOK:
			s.odd = append(s.odd, fmt.Sprintf("%s was answered with %d", id, status))
		}
		s.mu.Unlock()
		if time.Sleep(callRest); !up {
			time.Sleep(10 * callRest)
		}
	}
}

// operate puts settings and a flag, and reads the flag, by daemons that are drawn.
func (s *drawnPlay) operate(client int, rng *rand.Rand) {
	for n := 0; !s.over.Load(); n++ {
		s.mu.Lock()
		d := rng.IntN(len(s.ds))
		up := s.up[d]
		s.mu.Unlock()
		if up {
			value := fmt.Sprintf("%d-%d", client, n)
			switch rng.IntN(3) {
			case 0:
				_, _ = s.putText(d, value, rng.IntN(3)*rng.IntN(20_000))
			case 1:
				s.putFlag(d, value)
			default:
				s.readFlag(d)
			}
		}
		time.Sleep(putRest)
	}
}

const putTime = 4 * time.Second

// putText puts settings of a mark and a size by a daemon.
func (s *drawnPlay) putText(d int, mark string, pad int) (*status.CommandResult, error) {
	text := s.settingsText(mark, pad)
	s.mu.Lock()
	s.marks[sha256.Sum256(text)] = mark
	s.mu.Unlock()
	a, err := s.ds[d].put(mark, "shared", text, putTime)
	if err == nil {
		s.mu.Lock()
		defer s.mu.Unlock()
		s.made[a.Version] = sha256.Sum256(text)
	}
	return a, err
}

// flagOp is what a register does: it is put, or read.
type flagOp struct {
	put   bool
	value string
}

// register is the flag, as a sequence of operations.
var register = porcupine.Model{
	Init: func() any { return "" },
	Step: func(state, input, output any) (bool, any) {
		if in := input.(flagOp); in.put {
			return true, in.value
		}
		return output.(string) == state.(string), state
	},
	DescribeOperation: func(input, output any) string { return fmt.Sprint(input, output) },
}

// forever is when an operation ends whose end nobody has seen.
const forever = time.Hour

func (s *drawnPlay) putFlag(d int, value string) {
	began := s.now()
	_, err := s.ds[d].put(value, flagName, []byte(value), putTime)
	ends := s.now()
	if err != nil {
		ends = forever
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	s.ops = append(s.ops, porcupine.Operation{ClientId: len(s.ops), Input: flagOp{true, value}, Call: int64(began), Return: int64(ends), Output: ""})
}

func (s *drawnPlay) readFlag(d int) {
	began := s.now()
	a, err := status.Call(s.ds[d].admin, []string{"show", flagName}, nil, putTime)
	value := ""
	if err == nil {
		value = string(a.Body)
	} else if !strings.Contains(err.Error(), "no such document") {
		return
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	s.ops = append(s.ops, porcupine.Operation{ClientId: len(s.ops), Input: flagOp{}, Call: int64(began), Return: int64(s.now()), Output: value})
}

// trouble draws one fault, lets it last, and ends it.
func (s *drawnPlay) trouble() string {
	length := 200*time.Millisecond + time.Duration(s.rng.Int64N(int64(troubleMost)))
	names := make([]string, len(s.ds))
	for i := range names {
		names[i] = fmt.Sprint("s", i)
	}
	s.rng.Shuffle(len(names), func(i, k int) { names[i], names[k] = names[k], names[i] })
	n := 1 + s.rng.IntN(len(names)-1)
	some, others := names[:n], names[n:]
	d := s.rng.IntN(len(s.ds))
	if leads := s.leader(); leads >= 0 && s.rng.IntN(2) == 0 {
		d = leads
	}
	switch which := s.rng.IntN(8); which {
	case 0:
		s.net.Between(some, others, faultnet.Link{Cut: true})
		time.Sleep(length)
		s.net.Heal()
		return "cut"
	case 1: // two cuts in a row, so that a new leader falls at once
		s.net.Between(some, others, faultnet.Link{Cut: true})
		time.Sleep(length / 2)
		s.net.Heal()
		s.net.Between(others[:1], names, faultnet.Link{Cut: true})
		time.Sleep(length / 2)
		s.net.Heal()
		return "cuts"
	case 2:
		s.net.OneWay(some, others, faultnet.Link{Cut: true})
		time.Sleep(length)
		s.net.Heal()
		return "one way"
	case 3:
		s.net.Between(names, names, faultnet.Link{Loss: 0.3, Delay: 20 * time.Millisecond, Jitter: 50 * time.Millisecond, Duplicate: 0.1})
		time.Sleep(length)
		s.net.Heal()
		return "loss"
	case 4, 5:
		s.ds[d].signal(s.t, syscall.SIGSTOP)
		from := s.now()
		time.Sleep(length)
		to := s.now()
		s.mu.Lock()
		s.stops[d] = append(s.stops[d], stopped{from, to})
		s.mu.Unlock()
		s.ds[d].signal(s.t, syscall.SIGCONT)
		return "stop"
	case 6:
		s.kill(d)
		time.Sleep(length / 2)
		if s.rng.IntN(3) == 0 && d >= 3 { // who does not vote may lose its disk
			_ = os.RemoveAll(filepath.Join(s.dir, fmt.Sprint("s", d)))
		}
		s.start(d)
		return "kill"
	default:
		for i := range s.ds {
			s.kill(i)
		}
		for i := range s.ds {
			s.start(i)
		}
		return "kill all"
	}
}

func (s *drawnPlay) kill(d int) {
	s.mu.Lock()
	s.up[d] = false
	s.mu.Unlock()
	s.ds[d].signal(s.t, syscall.SIGKILL)
	_ = s.ds[d].ended()
}

// start starts a daemon again, by a clock that differs by what is allowed, and does not wait for it.
func (s *drawnPlay) start(d int) {
	s.t.Setenv(transport.ClockRate, []string{"0.99", "1", "1.01"}[s.rng.IntN(3)])
	s.mu.Lock()
	defer s.mu.Unlock()
	s.lives[d]++
	s.up[d] = true
	s.ds[d].daemonRun = start(s.t, "serve", "--config", s.ds[d].path)
}

// play plays troubles, and then holds what was seen against what is promised.
func (s *drawnPlay) play() {
	t := s.t
	_, _ = s.putText(0, "first", 0)
	for d := range s.ds {
		s.load.Go(func() { s.call(d) })
	}
	for i := range 3 {
		rng := rand.New(rand.NewPCG(s.rng.Uint64(), uint64(i)))
		s.load.Go(func() { s.operate(i, rng) })
	}
	for s.now() < scheduleTime {
		from := s.now()
		what := s.trouble()
		s.troubles = append(s.troubles, trouble{what, from})
		rest := restLeast + time.Duration(s.rng.Int64N(int64(time.Second)))
		t.Logf("%v: %s is over", s.now().Round(time.Millisecond), what)
		time.Sleep(rest)
	}
	var last *status.CommandResult
	testpeer.Until(t, "a last put is agreed on", func() bool {
		var err error
		last, err = s.putText(s.rng.IntN(3), "last", 0)
		return err == nil
	})
	s.acting(s.ds, last.Version)
	s.over.Store(true)
	s.load.Wait()
	s.judge(last.Version)
}

// judge holds what was seen against what is promised.
func (s *drawnPlay) judge(version uint64) {
	t := s.t
	history, err := status.Call(s.ds[0].admin, []string{"history"}, nil, putTime)
	if err != nil {
		t.Fatal(err)
	}
	versions := s.versions(history)
	acts := s.acts(versions)
	v := clusterinvariant.JudgeVersions(acts, conflictWithin)
	for _, b := range v.Breaches[:min(len(v.Breaches), 5)] {
		t.Errorf("%v: %s: %s", b.At, b.Rule, b.Text)
	}
	for id := range s.refused {
		if a, ok := s.arrived[id]; ok {
			t.Errorf("%s was refused, and came to a node at %v", id, a.at)
		}
	}
	for _, text := range s.odd[:min(len(s.odd), 5)] {
		t.Error(text)
	}
	if v.Versions < 2 {
		t.Errorf("%d versions were acted on: nothing was put to the test", v.Versions)
	}
	if result := porcupine.CheckOperationsTimeout(register, s.ops, 20*time.Second); result != porcupine.Ok {
		t.Errorf("the flag's history of %d operations is linearizable: %v", len(s.ops), result)
	}
	t.Logf("SCHEDULE %d versions of %d acted on in %d requests, the longest contradiction %v of %v; %d refused, %d without an answer; %d operations on the flag; refused by trouble %v", v.Versions, version, len(acts), v.Longest.Round(time.Millisecond),
		conflictWithin, len(s.refused), s.gone, len(s.ops), s.refusedBy())
}

// refusedBy counts the refused requests by the trouble in or after which they were sent.
func (s *drawnPlay) refusedBy() map[string]int {
	by := map[string]int{}
	for id := range s.refused {
		name := "start"
		for _, t := range s.troubles {
			if t.from <= s.sent[id].at {
				name = t.name
			}
		}
		by[name]++
	}
	return by
}

// versions are those in which settings were put, by mark. What a put was told must be in the history.
func (s *drawnPlay) versions(history *status.CommandResult) map[string]uint64 {
	versions, known := map[string]uint64{}, map[uint64]string{}
	for _, c := range history.History {
		if _, twice := known[c.Version]; twice {
			s.t.Errorf("version %d is there twice", c.Version)
		}
		known[c.Version] = c.SHA256
		for digest, mark := range s.marks {
			if c.SHA256 == fmt.Sprintf("%x", digest) {
				versions[mark] = c.Version
			}
		}
	}
	for version, digest := range s.made {
		if known[version] != fmt.Sprintf("%x", digest) {
			s.t.Errorf("a put was told that it made version %d, which is another's, or lost", version)
		}
	}
	return versions
}

// acts are the requests that came to nodes, as acts of the daemons. One that was sent to a daemon while that was stopped was
// decided after it woke.
func (s *drawnPlay) acts(versions map[string]uint64) (acts []clusterinvariant.Act) {
	for id, a := range s.arrived {
		from := s.sent[id]
		if a.mark == "" { // by a daemon's own file, before anything was agreed on
			continue
		}
		for _, p := range s.stops[from.daemon] {
			if from.at > p.from && from.at < p.to {
				from.at = p.to
			}
		}
		if versions[a.mark] == 0 {
			s.t.Errorf("%s was decided by %q, which was never agreed on", id, a.mark)
		}
		acts = append(acts, clusterinvariant.Act{Asked: from.at, Said: a.at, By: fmt.Sprint("s", from.daemon), Life: from.life, Version: versions[a.mark], Digest: a.mark})
	}
	slices.SortFunc(acts, func(a, b clusterinvariant.Act) int { return cmp.Compare(a.Said, b.Said) })
	return acts
}

// SCHEDULES=number plays more of them, from SCHEDULE=seed on; every second one with seven daemons.
func TestDrawnTroubles(t *testing.T) {
	n, err := strconv.Atoi(cmp.Or(os.Getenv("SCHEDULES"), "1"))
	first, err2 := strconv.ParseUint(cmp.Or(os.Getenv("SCHEDULE"), "1"), 10, 64)
	if err := errors.Join(err, err2); err != nil {
		t.Fatal(err)
	}
	for i := range uint64(n) {
		seed := first + i
		t.Run(fmt.Sprint("seed", seed), func(t *testing.T) {
			newSchedule(t, seed, 5+2*int((seed+1)%2)).play()
		})
	}
}
