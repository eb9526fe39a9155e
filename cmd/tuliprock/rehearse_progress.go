package main

import (
	"fmt"
	"os"

	"github.com/schollz/progressbar/v3"
	"golang.org/x/term"

	"tuliprock/internal/testkit/rehearse"
)

// progressBar shows the progress of a run on standard error. It shows nothing if standard error is not a terminal.
type progressBar struct {
	bar *progressbar.ProgressBar // nil if standard error is not a terminal
}

func newProgressBar(plan *rehearse.Plan, balancer string) *progressBar {
	if !term.IsTerminal(int(os.Stderr.Fd())) {
		return &progressBar{}
	}
	return &progressBar{bar: progressbar.NewOptions64(plan.Day.Length.Milliseconds(),
		progressbar.OptionSetWriter(os.Stderr),
		progressbar.OptionSetWidth(30),
		progressbar.OptionSetDescription(fmt.Sprintf("%s, %s", plan.Day.Name, balancer)),
		progressbar.OptionClearOnFinish(),
		progressbar.OptionSetPredictTime(false),
		progressbar.OptionShowElapsedTimeOnFinish())}
}

// show updates the bar to a snapshot of the run.
func (b *progressBar) show(s rehearse.Snapshot) {
	if b.bar == nil {
		return
	}
	// Each request has a value: its priority weight times its work, scaled if it is over quota. servedFraction is the value of the
	// requests served in time, divided by the value of all requests that have an outcome; it is 1 before the first outcome.
	servedFraction := 1.0
	if s.OfferedValue > 0 {
		servedFraction = s.InTimeValue / s.OfferedValue
	}
	b.bar.Describe(fmt.Sprintf("worth %.3f, %3d in flight, %3.0f s", servedFraction, s.InFlight, s.Elapsed.Seconds()))
	_ = b.bar.Set64(min(s.Elapsed, s.Length).Milliseconds()) // an error only means that the bar is not drawn
}

// finish removes the bar from the terminal.
func (b *progressBar) finish() {
	if b.bar != nil {
		_ = b.bar.Finish() // an error only means that the bar stays on the terminal
	}
}
