package schedule

import (
	"math"
	"math/rand/v2"
	"slices"
	"testing"
	"time"

	"pgregory.net/rapid"
)

func drawn(tb testing.TB, seed uint64, p Process, length time.Duration) (at []float64) {
	tb.Helper()
	s, err := NewStream(rand.New(rand.NewPCG(seed, 3)), p)
	if err != nil {
		tb.Fatal(err)
	}
	for {
		a, ok := s.Next(length)
		if !ok {
			return at
		}
		at = append(at, a.Seconds())
	}
}

func gapsOf(at []float64) (out []float64) {
	for i := 1; i < len(at); i++ {
		out = append(out, at[i]-at[i-1])
	}
	return out
}

// dispersion is the index of dispersion of counts: the variance of the counts in windows over their mean.
func dispersion(at []float64, length, window float64) float64 {
	counts := make([]float64, int(length/window))
	for _, a := range at {
		if i := int(a / window); i < len(counts) {
			counts[i]++
		}
	}
	mean, variance := 0.0, 0.0
	for _, c := range counts {
		mean += c / float64(len(counts))
	}
	for _, c := range counts {
		variance += (c - mean) * (c - mean) / float64(len(counts)-1)
	}
	return variance / mean
}

// distance is that of Kolmogorov and Smirnov between values and a distribution.
func distance(values []float64, below func(float64) float64) (most float64) {
	values = slices.Sorted(slices.Values(values))
	n := float64(len(values))
	for i, v := range values {
		p := below(v)
		most = max(most, math.Abs(p-float64(i)/n), math.Abs(float64(i+1)/n-p))
	}
	return most
}

func TestEachKindKeepsItsStatistics(t *testing.T) {
	const rate, length = 400.0, 500 * time.Second
	const expect = rate * 500
	exponential := func(x float64) float64 { return 1 - math.Exp(-rate*x) }
	for name, c := range map[string]struct {
		p                 Process
		counted           float64 // how far the number of arrivals may be off, in shares: five deviations
		dispersed, within float64 // index of dispersion in windows of a second, and how far it may be off
		gaps              func(float64) float64
	}{
		"even": {Process{Gaps: Even}, 1 / expect, 0, 1e-3, func(x float64) float64 {
			if x < 1/rate-1e-8 {
				return 0
			}
			return 1
		}},
		"exponential": {Process{Gaps: Exponential}, 5 / math.Sqrt(expect), 1, 0.35, exponential},
		// With an exponent over 2 the gaps have a variance, a/(a-2)(a-1)^2 of least squared; dispersion tends to it over the mean squared.
		"pareto": {Process{Gaps: Pareto, Tail: 3}, 5 * math.Sqrt(1.0/3/expect), 1.0 / 3, 0.25, func(x float64) float64 {
			least := 2.0 / 3 / rate
			if x <= least {
				return 0
			}
			beyond := least / x
			return 1 - beyond*beyond*beyond
		}},
		// Phases of 0.1 s in windows of 1 s: 1 + 2 r (off/on) tau (1 - tau (1 - e^(-1/tau))) with tau = on off / (on + off).
		"on and off": {Process{Gaps: OnOff, On: 100 * time.Millisecond, Off: 100 * time.Millisecond}, 5 * math.Sqrt(40/expect),
			1 + 2*rate*0.05*(1-0.05*(1-math.Exp(-20))), 12, nil},
	} {
		c.p.Rate = Steady(rate)
		at := drawn(t, 11, c.p, length)
		if off := math.Abs(float64(len(at))/expect - 1); off > c.counted+1e-9 {
			t.Errorf("%s: %d arrivals, %.0f expected", name, len(at), expect)
		}
		d := dispersion(at, length.Seconds(), 1)
		if math.Abs(d-c.dispersed) > c.within {
			t.Errorf("%s: dispersion %.3f, want %.3f", name, d, c.dispersed)
		}
		t.Logf("%s: %d arrivals, dispersion %.3f (%.3f expected)", name, len(at), d, c.dispersed)
		if c.gaps == nil {
			continue
		}
		gaps := gapsOf(at)
		// Instants are whole nanoseconds. 1.95/sqrt(n) is passed by chance once in a thousand.
		if name != "even" {
			if ks := distance(gaps, c.gaps); ks > 1.95/math.Sqrt(float64(len(gaps))) {
				t.Errorf("%s: gaps are %.5f away from what they should be", name, ks)
			}
		} else if lo, hi := slices.Min(gaps), slices.Max(gaps); hi-lo > 3e-9 {
			t.Errorf("even gaps from %v to %v", lo, hi)
		}
	}
}

// The checks above must see a process that is not what it is called.
func TestTheStatisticsTellKindsApart(t *testing.T) {
	even := drawn(t, 1, Process{Rate: Steady(400), Gaps: Even}, 100*time.Second)
	poisson := drawn(t, 1, Process{Rate: Steady(400), Gaps: Exponential}, 100*time.Second)
	if d := dispersion(even, 100, 1); d > 0.5 {
		t.Errorf("even: %v", d)
	}
	wrong := func(x float64) float64 { return 1 - math.Exp(-380*x) } // 5 % off
	if ks := distance(gapsOf(poisson), wrong); ks < 1.95/math.Sqrt(float64(len(poisson)-1)) {
		t.Errorf("a rate 5 %% off is not seen: %v", ks)
	}
}

// Ramps and steps: as many arrivals in each part as the curve has area there.
func TestACurveIsFollowed(t *testing.T) {
	c := Curve{{0, 0}, {10 * time.Second, 1000}, {10 * time.Second, 100}, {20 * time.Second, 100}, {30 * time.Second, 0}}
	for _, kind := range []Gaps{Even, Exponential, Pareto} {
		at := drawn(t, 5, Process{Rate: c, Gaps: kind, Tail: 3}, 40*time.Second)
		var got [8]float64
		for _, a := range at {
			got[int(a/5)]++
		}
		for i, want := range []float64{1250, 3750, 500, 500, 375, 125, 0, 0} {
			most := 5 * math.Sqrt(want)
			if kind == Even {
				most = 1
			}
			if math.Abs(got[i]-want) > most {
				t.Errorf("kind %d, from %d s: %v arrivals, want %v", kind, 5*i, got[i], want)
			}
		}
	}
}

func TestStreamsAreInOrderAndEnd(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		var c Curve
		at := time.Duration(0)
		for range rapid.IntRange(1, 6).Draw(t, "points") {
			c = append(c, Point{at, rapid.SampledFrom([]float64{0, 0.5, 10, 300}).Draw(t, "rate")})
			at += time.Duration(rapid.IntRange(0, 2000).Draw(t, "gap")) * time.Millisecond
		}
		p := Process{Rate: c, Gaps: Gaps(rapid.IntRange(0, 3).Draw(t, "kind")), Tail: rapid.Float64Range(1.1, 4).Draw(t, "tail"),
			On: time.Duration(rapid.IntRange(1, 300).Draw(t, "on")) * time.Millisecond, Off: time.Duration(rapid.IntRange(1, 300).Draw(t, "off")) * time.Millisecond}
		seed, length := rapid.Uint64().Draw(t, "seed"), 5*time.Second
		draw := func() (out []time.Duration) {
			s, err := NewStream(rand.New(rand.NewPCG(seed, 0)), p)
			if err != nil {
				t.Fatal(err)
			}
			for {
				at, ok := s.Next(length)
				if !ok {
					return out
				}
				if at < 0 || at >= length || len(out) > 0 && at < out[len(out)-1] {
					t.Fatalf("%v after %v", at, out[max(len(out)-3, 0):])
				}
				out = append(out, at)
			}
		}
		if !slices.Equal(draw(), draw()) {
			t.Fatal("two draws differ")
		}
	})
}

func TestProcessesThatCannotBe(t *testing.T) {
	for name, p := range map[string]Process{
		"no points":     {},
		"no rate":       {Rate: Steady(math.NaN())},
		"negative":      {Rate: Steady(-1)},
		"too much":      {Rate: Steady(2 * mostRate)},
		"out of order":  {Rate: Curve{{time.Second, 1}, {0, 1}}},
		"no tail":       {Rate: Steady(1), Gaps: Pareto, Tail: 1},
		"a tail of NaN": {Rate: Steady(1), Gaps: Pareto, Tail: math.NaN()},
		"no phases":     {Rate: Steady(1), Gaps: OnOff, On: time.Second},
	} {
		if _, err := NewStream(rand.New(rand.NewPCG(1, 1)), p); err == nil {
			t.Errorf("%s: drawn all the same", name)
		}
	}
}

func BenchmarkStream(b *testing.B) {
	s, err := NewStream(rand.New(rand.NewPCG(1, 1)), Process{Rate: Steady(100_000), Gaps: Exponential})
	if err != nil {
		b.Fatal(err)
	}
	b.ReportAllocs()
	for b.Loop() {
		if _, ok := s.Next(1000 * time.Hour); !ok {
			b.Fatal("it ended")
		}
	}
}
