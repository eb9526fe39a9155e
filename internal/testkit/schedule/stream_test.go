package schedule

import (
	"math"
	"math/rand/v2"
	"slices"
	"testing"
	"time"

	"pgregory.net/rapid"
)

// drawInstants returns the instants of all arrivals of a process in a run of the given length, as seconds from the run's start.
func drawInstants(tb testing.TB, seed uint64, p Process, length time.Duration) (instants []float64) {
	tb.Helper()
	s, err := NewStream(rand.New(rand.NewPCG(seed, 3)), p)
	if err != nil {
		tb.Fatal(err)
	}
	for {
		instant, ok := s.Next(length)
		if !ok {
			return instants
		}
		instants = append(instants, instant.Seconds())
	}
}

// gapsBetween returns the times between successive instants.
func gapsBetween(instants []float64) (gaps []float64) {
	for i := 1; i < len(instants); i++ {
		gaps = append(gaps, instants[i]-instants[i-1])
	}
	return gaps
}

// indexOfDispersion returns the index of dispersion of counts: the ratio of the variance to the mean of the number of arrivals per
// window. length and window are in seconds.
func indexOfDispersion(instants []float64, length, window float64) float64 {
	counts := make([]float64, int(length/window))
	for _, instant := range instants {
		if i := int(instant / window); i < len(counts) {
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

// ksStatistic returns the Kolmogorov-Smirnov statistic of values against a cumulative distribution function.
func ksStatistic(values []float64, cdf func(float64) float64) (maxDistance float64) {
	values = slices.Sorted(slices.Values(values))
	n := float64(len(values))
	for i, v := range values {
		p := cdf(v)
		maxDistance = max(maxDistance, math.Abs(p-float64(i)/n), math.Abs(float64(i+1)/n-p))
	}
	return maxDistance
}

// ksCriticalValue returns the value that the Kolmogorov-Smirnov statistic of n samples exceeds by chance once in a thousand times.
func ksCriticalValue(n int) float64 { return 1.95 / math.Sqrt(float64(n)) }

// Every distribution of gaps gives the right number of arrivals and the right dispersion of the number of arrivals per second.
// Exponential and Pareto gaps also pass a Kolmogorov-Smirnov test, and even gaps differ by at most 3 ns.
func TestStreamArrivalsHaveTheExpectedStatistics(t *testing.T) {
	const rate, length = 400.0, 500 * time.Second
	const wantCount = rate * 500
	exponentialCDF := func(x float64) float64 { return 1 - math.Exp(-rate*x) }
	for name, c := range map[string]struct {
		process             Process
		countTolerance      float64               // allowed deviation of the number of arrivals, as a fraction of the expected number: five standard deviations, or one arrival for even gaps
		wantDispersion      float64               // expected index of dispersion in windows of one second
		dispersionTolerance float64               // allowed deviation of the index of dispersion
		gapCDF              func(float64) float64 // cumulative distribution of the gaps in seconds; nil: not tested
	}{
		"even": {Process{Gaps: Even}, 1 / wantCount, 0, 1e-3, func(x float64) float64 {
			if x < 1/rate-1e-8 {
				return 0
			}
			return 1
		}},
		"exponential": {Process{Gaps: Exponential}, 5 / math.Sqrt(wantCount), 1, 0.35, exponentialCDF},
		// With an exponent a over 2, the gaps have the variance minGap^2 * a / ((a-2) * (a-1)^2). The index of dispersion tends to the
		// quotient of the variance and the square of the mean gap. This quotient is 1 / (a * (a-2)).
		"pareto": {Process{Gaps: Pareto, Tail: 3}, 5 * math.Sqrt(1.0/3/wantCount), 1.0 / 3, 0.25, func(x float64) float64 {
			minGap := 2.0 / 3 / rate
			if x <= minGap {
				return 0
			}
			minGapRatio := minGap / x
			return 1 - minGapRatio*minGapRatio*minGapRatio
		}},
		// In windows of 1 s, the index of dispersion is 1 + 2 * r * (off/on) * tau * (1 - tau * (1 - e^(-1/tau))). r is the mean rate
		// per second over all phases, on and off are the phases' mean lengths of 0.1 s each, and tau = on * off / (on + off).
		"on-off": {Process{Gaps: OnOff, On: 100 * time.Millisecond, Off: 100 * time.Millisecond}, 5 * math.Sqrt(40/wantCount),
			1 + 2*rate*0.05*(1-0.05*(1-math.Exp(-20))), 12, nil},
	} {
		c.process.Rate = Steady(rate)
		instants := drawInstants(t, 11, c.process, length)
		if relativeError := math.Abs(float64(len(instants))/wantCount - 1); relativeError > c.countTolerance+1e-9 {
			t.Errorf("%s: %d arrivals, want about %.0f", name, len(instants), wantCount)
		}
		d := indexOfDispersion(instants, length.Seconds(), 1)
		if math.Abs(d-c.wantDispersion) > c.dispersionTolerance {
			t.Errorf("%s: index of dispersion %.3f, want %.3f within %.3f", name, d, c.wantDispersion, c.dispersionTolerance)
		}
		t.Logf("%s: %d arrivals, index of dispersion %.3f (expected: %.3f)", name, len(instants), d, c.wantDispersion)
		if c.gapCDF == nil {
			continue
		}
		gaps := gapsBetween(instants)
		if name != "even" {
			if ks := ksStatistic(gaps, c.gapCDF); ks > ksCriticalValue(len(gaps)) {
				t.Errorf("%s: the Kolmogorov-Smirnov statistic of the gaps is %.5f, want at most %.5f", name, ks, ksCriticalValue(len(gaps)))
			}
		} else if lo, hi := slices.Min(gaps), slices.Max(gaps); hi-lo > 3e-9 { // gaps may differ a little, since instants are rounded to nanoseconds
			t.Errorf("even gaps are from %v s to %v s, want a difference of 3 ns at most", lo, hi)
		}
	}
}

// The statistics with which TestStreamArrivalsHaveTheExpectedStatistics checks arrivals detect a process with another distribution
// or rate than expected.
func TestExpectedStatisticsDetectOtherProcesses(t *testing.T) {
	evenInstants := drawInstants(t, 1, Process{Rate: Steady(400), Gaps: Even}, 100*time.Second)
	poissonInstants := drawInstants(t, 1, Process{Rate: Steady(400), Gaps: Exponential}, 100*time.Second)
	if d := indexOfDispersion(evenInstants, 100, 1); d > 0.5 {
		t.Errorf("even gaps have an index of dispersion of %v, want at most 0.5 (a Poisson process has 1)", d)
	}
	cdfOfLowerRate := func(x float64) float64 { return 1 - math.Exp(-380*x) } // CDF for a rate of 380 per second, while the arrivals have a rate of 400
	if ks := ksStatistic(gapsBetween(poissonInstants), cdfOfLowerRate); ks < ksCriticalValue(len(poissonInstants)-1) {
		t.Errorf("a rate that is 5 %% too high is not detected: Kolmogorov-Smirnov statistic %v, want at least %v", ks, ksCriticalValue(len(poissonInstants)-1))
	}
}

// On ramps and steps of a rate curve, the number of arrivals in each interval is the integral of the curve over the interval.
func TestStreamFollowsTheRateCurve(t *testing.T) {
	curve := Curve{{0, 0}, {10 * time.Second, 1000}, {10 * time.Second, 100}, {20 * time.Second, 100}, {30 * time.Second, 0}}
	for _, gaps := range []Gaps{Even, Exponential, Pareto} {
		instants := drawInstants(t, 5, Process{Rate: curve, Gaps: gaps, Tail: 3}, 40*time.Second)
		var counts [8]float64 // number of arrivals in each interval of 5 s
		for _, instant := range instants {
			counts[int(instant/5)]++
		}
		for i, want := range []float64{1250, 3750, 500, 500, 375, 125, 0, 0} {
			tolerance := 5 * math.Sqrt(want) // five standard deviations of a Poisson count
			if gaps == Even {
				tolerance = 1
			}
			if math.Abs(counts[i]-want) > tolerance {
				t.Errorf("gaps %d, from %d s to %d s: %v arrivals, want %v within %v", gaps, 5*i, 5*i+5, counts[i], want, tolerance)
			}
		}
	}
}

// The arrivals of any valid process are in order and within the run, and the same seed gives the same arrivals.
func TestStreamIsOrderedBoundedAndReproducible(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		var curve Curve
		at := time.Duration(0)
		for range rapid.IntRange(1, 6).Draw(t, "points") {
			curve = append(curve, Point{at, rapid.SampledFrom([]float64{0, 0.5, 10, 300}).Draw(t, "rate")})
			at += time.Duration(rapid.IntRange(0, 2000).Draw(t, "gap")) * time.Millisecond
		}
		p := Process{Rate: curve, Gaps: Gaps(rapid.IntRange(0, 3).Draw(t, "gaps")), Tail: rapid.Float64Range(1.1, 4).Draw(t, "tail"),
			On: time.Duration(rapid.IntRange(1, 300).Draw(t, "on")) * time.Millisecond, Off: time.Duration(rapid.IntRange(1, 300).Draw(t, "off")) * time.Millisecond}
		seed, length := rapid.Uint64().Draw(t, "seed"), 5*time.Second
		draw := func() (instants []time.Duration) {
			s, err := NewStream(rand.New(rand.NewPCG(seed, 0)), p)
			if err != nil {
				t.Fatal(err)
			}
			for {
				instant, ok := s.Next(length)
				if !ok {
					return instants
				}
				if instant < 0 || instant >= length || len(instants) > 0 && instant < instants[len(instants)-1] {
					t.Fatalf("an arrival at %v follows those at %v in a run of %v, want ascending instants within the run",
						instant, instants[max(len(instants)-3, 0):], length)
				}
				instants = append(instants, instant)
			}
		}
		if !slices.Equal(draw(), draw()) {
			t.Fatal("two streams with the same seed have different arrivals")
		}
	})
}

func TestNewStreamRejectsInvalidArrivalProcesses(t *testing.T) {
	for name, p := range map[string]Process{
		"no points":              {},
		"rate is NaN":            {Rate: Steady(math.NaN())},
		"negative rate":          {Rate: Steady(-1)},
		"rate over maxRate":      {Rate: Steady(2 * maxRate)},
		"points out of order":    {Rate: Curve{{time.Second, 1}, {0, 1}}},
		"Pareto exponent of 1":   {Rate: Steady(1), Gaps: Pareto, Tail: 1},
		"Pareto exponent is NaN": {Rate: Steady(1), Gaps: Pareto, Tail: math.NaN()},
		"no mean off phase":      {Rate: Steady(1), Gaps: OnOff, On: time.Second},
	} {
		if _, err := NewStream(rand.New(rand.NewPCG(1, 1)), p); err == nil {
			t.Errorf("%s: NewStream succeeded, want an error", name)
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
			b.Fatal("the stream ended before 1000 h of arrivals were drawn")
		}
	}
}
