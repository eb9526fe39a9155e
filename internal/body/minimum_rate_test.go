package body

import (
	"testing"
	"time"

	"pgregory.net/rapid"
)

// A Meter never takes a peer that keeps the minimum rate for too slow. It takes a peer below the rate for too slow once the
// peer has fallen behind the rate by IdleTimeout. A pause shorter than IdleTimeout is allowed.
func TestMeterEnforcesMinimumRate(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		minimum := MinimumRate{
			IdleTimeout:    time.Duration(rapid.IntRange(1, 10).Draw(t, "idle")) * time.Second,
			BytesPerSecond: int64(rapid.IntRange(10, 10_000).Draw(t, "rate")),
		}
		rateFraction := rapid.Float64Range(0.1, 3).Draw(t, "fraction of the rate")
		step := time.Duration(rapid.IntRange(1, 900).Draw(t, "step in ms")) * time.Millisecond
		m, total, transferred := NewMeter(minimum), time.Duration(0), 0.0
		for range 5000 {
			if m.MaxWait() < step {
				break
			}
			n := int(rateFraction*float64(minimum.BytesPerSecond)*(total+step).Seconds() - transferred)
			transferred += float64(n)
			m.Record(n, step)
			total += step
		}
		hasCompleted := total >= 5000*step
		secondsBehind := (1 - rateFraction) * total.Seconds()
		switch {
		case rateFraction >= 1.01 && !hasCompleted:
			t.Fatalf("a peer above the minimum rate was found too slow after %v", total)
		case rateFraction < 1 && secondsBehind > minimum.IdleTimeout.Seconds()+step.Seconds()+2/float64(minimum.BytesPerSecond):
			t.Fatalf("a peer below the minimum rate was accepted for %v, when it was %.1f s behind", total, secondsBehind)
		}
	})
	if m := NewMeter(MinimumRate{IdleTimeout: time.Second}); m.MaxWait() != time.Second {
		t.Errorf("without BytesPerSecond: MaxWait is %v, want %v", m.MaxWait(), time.Second)
	}
}

// Deadline returns a new deadline only when the previous one is too early by more than an eighth of MaxWait. So every deadline
// allows a wait of at least seven eighths of MaxWait.
func TestMeterKeepsDeadlineThatIsCloseEnough(t *testing.T) {
	const idleTimeout = 8 * time.Second
	m := NewMeter(MinimumRate{IdleTimeout: idleTimeout})
	start := time.Now()
	for _, row := range []struct {
		after   time.Duration // time from the start of the test to the call of Deadline
		at      time.Duration // expected result of Deadline, as the time from the start of the test
		changed bool
	}{
		{0, idleTimeout, true},
		{time.Second, idleTimeout, false},
		{time.Second + 1, time.Second + 1 + idleTimeout, true},
	} {
		if at, changed := m.Deadline(start.Add(row.after)); at.Sub(start) != row.at || changed != row.changed {
			t.Errorf("after %v: deadline at %v, changed %v, want %v, %v", row.after, at.Sub(start), changed, row.at, row.changed)
		}
		if at, _ := m.Deadline(start.Add(row.after)); at.Sub(start)-row.after < 7*time.Second {
			t.Errorf("after %v: the deadline allows a wait of %v, want 7s at least", row.after, at.Sub(start)-row.after)
		}
	}
}
