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

// burstMix returns a mix of 30 s whose rate of 200 per second is three times as high from 10 s to 20 s.
func burstMix() Mix {
	return Mix{Rate: Rate{PerSecond: 200, Bursts: []Burst{{Start: 10 * time.Second, Duration: 10 * time.Second, Factor: 3}}},
		Length: 30 * time.Second, Classes: []float64{3, 1}, Tenants: []float64{1, 1}, MaxArrivals: 100000}
}

func TestArrivalsAreReproducible(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		seed := rapid.Uint64().Draw(t, "seed")
		m := burstMix()
		m.Length = time.Second
		m.Rate.PerSecond = rapid.Float64Range(1, 500).Draw(t, "rate")
		draw := func(seed uint64) []Arrival {
			arrivals, err := DrawArrivals(rand.New(rand.NewPCG(seed, 1)), m)
			if err != nil {
				t.Fatal(err)
			}
			return arrivals
		}
		arrivals := draw(seed)
		if !slices.Equal(arrivals, draw(seed)) {
			t.Fatal("two draws with the same seed differ")
		}
		if !slices.IsSortedFunc(arrivals, func(x, y Arrival) int { return int(x.At - y.At) }) {
			t.Fatal("the arrivals are not in order of time")
		}
		if len(arrivals) > 0 && slices.Equal(arrivals, draw(seed+1)) {
			t.Fatal("two draws with different seeds are the same")
		}
	})
}

func TestArrivalsFollowBurstAndClassFrequencies(t *testing.T) {
	arrivals, err := DrawArrivals(rand.New(rand.NewPCG(7, 1)), burstMix())
	if err != nil {
		t.Fatal(err)
	}
	var countPer10s [3]float64 // number of arrivals in each 10 s of the run
	firstClassCount := 0.0     // number of arrivals of class 0
	for _, a := range arrivals {
		countPer10s[a.At/(10*time.Second)]++
		firstClassCount += float64(1 - a.Class)
	}
	// The tolerance is five standard deviations of a Poisson count.
	for i, want := range []float64{2000, 6000, 2000} {
		if math.Abs(countPer10s[i]-want) > 5*math.Sqrt(want) {
			t.Errorf("%v arrivals from %d s to %d s, want about %v", countPer10s[i], 10*i, 10*i+10, want)
		}
	}
	if firstClassFraction := firstClassCount / float64(len(arrivals)); math.Abs(firstClassFraction-0.75) > 0.03 {
		t.Errorf("a fraction of %v of the arrivals is of class 0, want 0.75 within 0.03", firstClassFraction)
	}
}

func TestBurstRampIsLinear(t *testing.T) {
	r := Rate{PerSecond: 100, Bursts: []Burst{{Start: 10 * time.Second, Duration: 10 * time.Second, Ramp: 4 * time.Second, Factor: 2}}}
	for at, want := range map[time.Duration]float64{9: 100, 10: 100, 12: 150, 15: 200, 18: 150, 20: 100, 25: 100} {
		if got := r.PerSecondAt(at * time.Second); math.Abs(got-want) > 1e-9 {
			t.Errorf("rate at %v s: %v, want %v", int(at), got, want)
		}
	}
}

func TestDrawArrivalsRejectsExcessiveAndInvalidRates(t *testing.T) {
	for name, change := range map[string]func(*Mix){
		"more arrivals than MaxArrivals":     func(m *Mix) { m.MaxArrivals = 100 },
		"far more arrivals than MaxArrivals": func(m *Mix) { m.Rate.PerSecond = 1e12 },
		"rate of 0":                          func(m *Mix) { m.Rate.PerSecond = 0 },
		"rate is NaN":                        func(m *Mix) { m.Rate.PerSecond = math.NaN() },
	} {
		m := burstMix()
		change(&m)
		if arrivals, err := DrawArrivals(rand.New(rand.NewPCG(7, 1)), m); err == nil {
			t.Errorf("%s: drew %d arrivals, want an error", name, len(arrivals))
		}
	}
}

// Arrivals are dispatched on time even if the server responds to none of the earlier requests.
func TestDispatchIsOnTimeWhileTheServerStalls(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		start := time.Now()
		var arrivals []Arrival
		for i := range 50 {
			arrivals = append(arrivals, Arrival{At: time.Duration(i) * 100 * time.Millisecond})
		}
		stallEnded := make(chan struct{}) // closed at the end of the stall
		var sentAt []time.Duration        // time of each call of send, since start
		Dispatch(start, arrivals, nil, func(i int, due time.Time) {
			sentAt = append(sentAt, time.Since(start))
			go func() { <-stallEnded }() // stands for a request that waits for its response until the stall ends
		})
		close(stallEnded)
		for i, at := range sentAt {
			if at != arrivals[i].At {
				t.Errorf("arrival %d dispatched at %v, want %v", i, at, arrivals[i].At)
			}
		}
		if len(sentAt) != 50 {
			t.Errorf("%d arrivals dispatched, want 50", len(sentAt))
		}
	})
}

func TestDispatchEndsWhenStopIsClosed(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		stop := make(chan struct{})
		n := 0
		Dispatch(time.Now(), []Arrival{{}, {At: time.Second}, {At: time.Hour}}, stop, func(i int, _ time.Time) {
			if n++; i == 1 {
				close(stop)
			}
		})
		if n != 2 {
			t.Errorf("%d arrivals dispatched, want the 2 that were due before stop was closed", n)
		}
	})
}

// Merging the histograms of two sets of latencies gives the histogram of both sets, for latencies inside and outside the range of a
// histogram.
func TestLatencyHistogramMergeIsExact(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		all, a, b := NewLatencyHistogram(), NewLatencyHistogram(), NewLatencyHistogram()
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
		for _, fraction := range []float64{0.5, 0.9, 0.99, 1} {
			if a.Quantile(fraction) != all.Quantile(fraction) || a.Count() != all.Count() {
				t.Fatalf("quantile %v: %v of %d latencies after the merge, want %v of %d", fraction, a.Quantile(fraction), a.Count(), all.Quantile(fraction), all.Count())
			}
		}
	})
}

func TestLatencyHistogramQuantilesArePrecise(t *testing.T) {
	l := NewLatencyHistogram()
	if l.Quantile(0.5) != 0 {
		t.Error("the median of an empty histogram is not 0")
	}
	for ms := range 1000 {
		l.Record(time.Duration(ms+1) * time.Millisecond)
	}
	for fraction, want := range map[float64]time.Duration{0.5: 500, 0.99: 990, 1: 1000} {
		if got := l.Quantile(fraction); math.Abs(float64(got-want*time.Millisecond)) > 0.001*float64(want*time.Millisecond) {
			t.Errorf("quantile %v: %v, want %v ms within 0.1 %%", fraction, got, int(want))
		}
	}
}
