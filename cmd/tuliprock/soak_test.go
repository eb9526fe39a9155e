package main

import (
	"fmt"
	"os"
	"strconv"
	"testing"

	"tuliprock/internal/testkit/crowd"
)

// shortSoakSeeds is the number of plays if TULIPROCK_TEST_SOAK_SEEDS does not say how many.
const shortSoakSeeds = 4

// Plays that their seeds decide on: crowds, uploads that endpoints read slowly, answers that are written slowly, reloads, stops, and planned
// restarts with a kill at the earliest moment. The rules, the memory limit and the process must hold. TULIPROCK_TEST_SOAK_SEEDS sets the
// number of plays, TULIPROCK_TEST_SOAK_FIRST the first seed.
func TestSeededSoakHoldsRulesAndMemory(t *testing.T) {
	seeds, _ := strconv.Atoi(os.Getenv("TULIPROCK_TEST_SOAK_SEEDS"))
	first, _ := strconv.Atoi(os.Getenv("TULIPROCK_TEST_SOAK_FIRST"))
	if seeds == 0 {
		seeds = shortSoakSeeds
	}
	for i := range seeds {
		play := crowd.DrawPlay(uint64(first + i + 1))
		t.Run(fmt.Sprint("seed ", play.Seed), func(t *testing.T) {
			t.Parallel()
			crowdsAtOnce <- struct{}{}
			defer func() { <-crowdsAtOnce }()
			t.Log(play)
			stage := startStage(t, play.Seed, func(o *crowd.Options) {
				o.MemoryMB, o.Descriptors, o.Endpoints, o.CannotStop = play.MemoryMB, play.Descriptors, play.Endpoints, play.CannotStop
			})
			report, err := play.Run(t.Context(), stage)
			if err != nil {
				t.Fatal(err)
			}
			t.Logf("%d requests, answers by status %v, without an answer %v, peak %d KiB", report.Requests, report.Statuses, report.Unanswered, report.PeakKiB)
			for _, violation := range report.Violations {
				t.Error(violation)
			}
			if t.Failed() {
				t.Logf("log: %.20000s", stage.Log())
			}
		})
	}
}
