package swimsim

import (
	"strings"
	"testing"
	"time"
)

// In a small cluster without faults no daemon is taken for failed, and each killed one is known to all within a few probe rounds.
func TestMeasureOfACaseWithoutFaults(t *testing.T) {
	m := Case{Nodes: 7, ObservationPeriod: time.Minute, Seed: 1}.Measure(true)
	if m.FalseFailureRate != 0 {
		t.Errorf("%.1f false verdicts an hour", m.FalseFailureRate)
	}
	if len(m.FirstDetections) != 2 || len(m.FullDetections) != 2 || m.FullDetections[0] < m.FirstDetections[0] || m.FullDetections[1] > 15*time.Second {
		t.Errorf("killed daemons: first known after %v, known to all after %v", m.FirstDetections, m.FullDetections)
	}
	if m.MessageRate <= 0 || m.ByteRate <= m.MessageRate {
		t.Errorf("%.1f messages and %.1f bytes a second and daemon", m.MessageRate, m.ByteRate)
	}
	if m.RecoveryTime <= 0 {
		t.Errorf("views are equal %v after a cut", m.RecoveryTime)
	}
}

func TestWriteColumnsAlignsCells(t *testing.T) {
	var text strings.Builder
	if err := writeColumns(&text, "a\tb\nlong\tc\n"); err != nil {
		t.Fatal(err)
	}
	if want := "a     b\nlong  c\n"; text.String() != want {
		t.Errorf("%q, want %q", text.String(), want)
	}
}

func TestQuantileOfNoTimesIsADash(t *testing.T) {
	if got := formatQuantile(nil, 0.5); got != "-" {
		t.Errorf("%q", got)
	}
	if got := formatQuantile([]time.Duration{time.Second, 2 * time.Second}, 1); got != "2s" {
		t.Errorf("%q", got)
	}
}
