package schedule

import (
	"math"
	"math/rand/v2"
	"slices"
	"testing"
	"testing/synctest"
	"time"

	"pgregory.net/rapid"
)

func mix() Mix {
	return Mix{Rate: Rate{PerSecond: 200, Bursts: []Burst{{At: 10 * time.Second, For: 10 * time.Second, Factor: 3}}},
		Length: 30 * time.Second, Classes: []float64{3, 1}, Tenant: []float64{1, 1}, MaxArrivals: 100000}
}

func TestTheSameSeedDrawsTheSame(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		seed := rapid.Uint64().Draw(t, "seed")
		m := mix()
		m.Length = time.Second
		m.Rate.PerSecond = rapid.Float64Range(1, 500).Draw(t, "rate")
		draw := func(seed uint64) []Arrival {
			a, err := Draw(rand.New(rand.NewPCG(seed, 1)), m)
			if err != nil {
				t.Fatal(err)
			}
			return a
		}
		a := draw(seed)
		if !slices.Equal(a, draw(seed)) {
			t.Fatal("two draws differ")
		}
		if !slices.IsSortedFunc(a, func(x, y Arrival) int { return int(x.At - y.At) }) {
			t.Fatal("not in order")
		}
		if len(a) > 0 && slices.Equal(a, draw(seed+1)) {
			t.Fatal("another seed draws the same")
		}
	})
}

func TestASurgeComesWhenItIsDue(t *testing.T) {
	a, err := Draw(rand.New(rand.NewPCG(7, 1)), mix())
	if err != nil {
		t.Fatal(err)
	}
	var third [3]float64
	class := 0.0
	for _, x := range a {
		third[x.At/(10*time.Second)]++
		class += float64(1 - x.Class)
	}
	// 2000, 6000 and 2000 are expected; five standard deviations of a Poisson count are allowed.
	for i, want := range []float64{2000, 6000, 2000} {
		if math.Abs(third[i]-want) > 5*math.Sqrt(want) {
			t.Errorf("third %d: %v arrivals, want about %v", i, third[i], want)
		}
	}
	if share := class / float64(len(a)); math.Abs(share-0.75) > 0.03 {
		t.Errorf("%v of the first class", share)
	}
}

func TestARampIsEven(t *testing.T) {
	r := Rate{PerSecond: 100, Bursts: []Burst{{At: 10 * time.Second, For: 10 * time.Second, Ramp: 4 * time.Second, Factor: 2}}}
	for at, want := range map[time.Duration]float64{9: 100, 10: 100, 12: 150, 15: 200, 18: 150, 20: 100, 25: 100} {
		if got := r.At(at * time.Second); math.Abs(got-want) > 1e-9 {
			t.Errorf("at %v s: %v, want %v", int(at), got, want)
		}
	}
}

func TestWhatIsTooMuchIsAnError(t *testing.T) {
	for name, change := range map[string]func(*Mix){
		"too many":   func(m *Mix) { m.MaxArrivals = 100 },
		"far beyond": func(m *Mix) { m.Rate.PerSecond = 1e12 },
		"no rate":    func(m *Mix) { m.Rate.PerSecond = 0 },
		"no number":  func(m *Mix) { m.Rate.PerSecond = math.NaN() },
	} {
		m := mix()
		change(&m)
		if a, err := Draw(rand.New(rand.NewPCG(7, 1)), m); err == nil {
			t.Errorf("%s: drew %d", name, len(a))
		}
	}
}

// A receiver that stalls must not move what is due later.
func TestAStallDoesNotMoveTheSchedule(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		start := time.Now()
		var arrivals []Arrival
		for i := range 50 {
			arrivals = append(arrivals, Arrival{At: time.Duration(i) * 100 * time.Millisecond})
		}
		stall := make(chan struct{})
		var sent []time.Duration
		Dispatch(start, arrivals, nil, func(i int, due time.Time) {
			sent = append(sent, time.Since(start))
			go func() { <-stall }() // a server that answers nothing
		})
		close(stall)
		for i, at := range sent {
			if at != arrivals[i].At {
				t.Errorf("arrival %d sent at %v, due %v", i, at, arrivals[i].At)
			}
		}
		if len(sent) != 50 {
			t.Errorf("%d sent", len(sent))
		}
	})
}

func TestDueEndsWhenStopped(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		stop := make(chan struct{})
		n := 0
		Dispatch(time.Now(), []Arrival{{}, {At: time.Second}, {At: time.Hour}}, stop, func(i int, _ time.Time) {
			if n++; i == 1 {
				close(stop)
			}
		})
		if n != 2 {
			t.Errorf("%d sent", n)
		}
	})
}

func TestLatenciesMergeExactly(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		all, a, b := NewLatency(), NewLatency(), NewLatency()
		for i, ms := range rapid.SliceOfN(rapid.IntRange(0, 700_000), 1, 50).Draw(t, "ms") {
			d := time.Duration(ms) * time.Millisecond
			all.Record(d)
			if i%2 == 0 {
				a.Record(d)
			} else {
				b.Record(d)
			}
		}
		a.Merge(b)
		for _, share := range []float64{0.5, 0.9, 0.99, 1} {
			if a.At(share) != all.At(share) || a.Count() != all.Count() {
				t.Fatalf("%v: %v merged, %v together", share, a.At(share), all.At(share))
			}
		}
	})
}

func TestAPercentileIsWithinATenthOfAPercent(t *testing.T) {
	l := NewLatency()
	if l.At(0.5) != 0 {
		t.Error("something in an empty distribution")
	}
	for ms := range 1000 {
		l.Record(time.Duration(ms+1) * time.Millisecond)
	}
	for share, want := range map[float64]time.Duration{0.5: 500, 0.99: 990, 1: 1000} {
		if got := l.At(share); math.Abs(float64(got-want*time.Millisecond)) > 0.001*float64(want*time.Millisecond) {
			t.Errorf("%v: %v, want %v ms", share, got, int(want))
		}
	}
}
