package swimsim

import (
	"strings"
	"testing"
	"time"
)

// In a cluster of seven daemons without network faults no false failure is detected, and all daemons detect each killed one within 15 s.
func TestMeasureDetectsKilledNodesWithoutFalseFailures(t *testing.T) {
	m := MeasuredCluster{Nodes: 7, ObservationPeriod: time.Minute, Seed: 1}.Measure(true)
	if m.FalseFailureRate != 0 {
		t.Errorf("got %.1f false failures per hour, want 0", m.FalseFailureRate)
	}
	if len(m.FirstDetections) != 2 || len(m.FullDetections) != 2 || m.FullDetections[0] < m.FirstDetections[0] || m.FullDetections[1] > 15*time.Second {
		t.Errorf("first detections of killed daemons after %v, full detections after %v: want two of each, at most 15s, in this order", m.FirstDetections, m.FullDetections)
	}
	if m.MessageRate <= 0 || m.ByteRate <= m.MessageRate {
		t.Errorf("got %.1f messages and %.1f bytes per second and daemon, want positive rates and more bytes than messages", m.MessageRate, m.ByteRate)
	}
	if m.RecoveryTime <= 0 {
		t.Errorf("recovery from a cut took %v, want a positive time", m.RecoveryTime)
	}
}

func TestWriteColumnsAlignsCells(t *testing.T) {
	var text strings.Builder
	if err := writeColumns(&text, "a\tb\nlong\tc\n"); err != nil {
		t.Fatal(err)
	}
	if want := "a     b\nlong  c\n"; text.String() != want {
		t.Errorf("got %q, want %q", text.String(), want)
	}
}

func TestFormatQuantileReturnsQuantileOrDash(t *testing.T) {
	if got := formatQuantile(nil, 0.5); got != "-" {
		t.Errorf("quantile of no times is %q, want %q", got, "-")
	}
	if got := formatQuantile([]time.Duration{time.Second, 2 * time.Second}, 1); got != "2s" {
		t.Errorf("the 1-quantile of 1s and 2s is %q, want %q", got, "2s")
	}
}
