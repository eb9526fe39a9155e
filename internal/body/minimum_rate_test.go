package body

import (
	"testing"
	"time"

	"pgregory.net/rapid"
)

// A peer at the minimum rate may go on without end, one below it ends in bounded time, and a pause costs nothing up
// to Idle.
func TestMeterEnforcesMinimumRate(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		p := MinimumRate{
			IdleTimeout:    time.Duration(rapid.IntRange(1, 10).Draw(t, "idle")) * time.Second,
			BytesPerSecond: int64(rapid.IntRange(10, 10_000).Draw(t, "rate")),
		}
		share := rapid.Float64Range(0.1, 3).Draw(t, "share of the rate")
		step := time.Duration(rapid.IntRange(1, 900).Draw(t, "step in ms")) * time.Millisecond
		m, total, moved := NewMeter(p), time.Duration(0), 0.0
		for range 5000 {
			if m.MaxWait() < step {
				break
			}
			n := int(share*float64(p.BytesPerSecond)*(total+step).Seconds() - moved)
			moved += float64(n)
			m.Record(n, step)
			total += step
		}
		goesOn := total >= 5000*step
		behind := (1 - share) * total.Seconds()
		switch {
		case share >= 1.01 && !goesOn:
			t.Fatalf("ended after %v", total)
		case share < 1 && behind > p.IdleTimeout.Seconds()+step.Seconds()+2/float64(p.BytesPerSecond):
			t.Fatalf("went on for %v, %.1f s behind", total, behind)
		}
	})
	if m := NewMeter(MinimumRate{IdleTimeout: time.Second}); m.MaxWait() != time.Second {
		t.Errorf("without a rate: %v", m.MaxWait())
	}
}

// A deadline is set anew only once it falls short of the longest wait by more than an eighth, and MinWait is what it
// allows at least.
func TestMeterKeepsDeadlineThatIsCloseEnough(t *testing.T) {
	const idle = 8 * time.Second
	m := NewMeter(MinimumRate{IdleTimeout: idle})
	if got, want := m.MinWait(), 7*time.Second; got != want {
		t.Errorf("MinWait is %v, want %v", got, want)
	}
	start := time.Now()
	for _, row := range []struct {
		after   time.Duration
		at      time.Duration
		changed bool
	}{
		{0, idle, true},
		{time.Second, idle, false},
		{time.Second + 1, time.Second + 1 + idle, true},
	} {
		if at, changed := m.Deadline(start.Add(row.after)); at.Sub(start) != row.at || changed != row.changed {
			t.Errorf("after %v: deadline at %v, changed %v, want %v, %v", row.after, at.Sub(start), changed, row.at, row.changed)
		}
	}
}
