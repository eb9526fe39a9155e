package main

import (
	"fmt"
	"os"

	"github.com/schollz/progressbar/v3"
	"golang.org/x/term"

	"tuliprock/internal/testkit/rehearse"
)

// progressBar shows on standard error how far a play has come. It does nothing where that is no terminal.
type progressBar struct{ bar *progressbar.ProgressBar }

func newProgressBar(plan *rehearse.Plan, balancer string) *progressBar {
	if !term.IsTerminal(int(os.Stderr.Fd())) {
		return &progressBar{}
	}
	return &progressBar{progressbar.NewOptions64(plan.Day.Length.Milliseconds(),
		progressbar.OptionSetWriter(os.Stderr),
		progressbar.OptionSetWidth(30),
		progressbar.OptionSetDescription(fmt.Sprintf("%s, %s", plan.Day.Name, balancer)),
		progressbar.OptionClearOnFinish(),
		progressbar.OptionSetPredictTime(false),
		progressbar.OptionShowElapsedTimeOnFinish())}
}

func (b *progressBar) show(s rehearse.Snapshot) {
	if b.bar == nil {
		return
	}
	worth := 1.0
	if s.Offered > 0 {
		worth = s.InTime / s.Offered
	}
	b.bar.Describe(fmt.Sprintf("worth %.3f, %3d in flight, %3.0f s", worth, s.InFlight, s.At.Seconds()))
	_ = b.bar.Set64(min(s.At, s.Length).Milliseconds()) // a bar that is not drawn harms nothing
}

func (b *progressBar) finish() {
	if b.bar != nil {
		_ = b.bar.Finish() // a bar that is not cleared harms nothing
	}
}
