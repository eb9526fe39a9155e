package main

import (
	"context"
	"errors"
	"fmt"
	"io"
	"os"
	"os/exec"
	"os/signal"
	"path/filepath"
	"slices"
	"strings"
	"syscall"
	"time"

	"github.com/schollz/progressbar/v3"
	"golang.org/x/term"

	"tuliprock/deploy/rehearsals"
	"tuliprock/internal/testkit/baseline"
	"tuliprock/internal/testkit/rehearse"
)

type rehearseCommand struct {
	Day     string        `arg:"" optional:"" help:"A day's file, or the name of one that ships (${days}); none: ${day}."`
	Seeds   []uint64      `name:"seed" sep:"," placeholder:"N,..." help:"Draw the day by these seeds, one after another, instead of its own."`
	Demand  []float64     `sep:"," default:"1" help:"Times the day's demand; several are played one after another."`
	Against []string      `sep:"," placeholder:"NAME,..." help:"Play the same with plain pickers too: random, round-robin, least-outstanding."`
	Length  time.Duration `help:"Cut the day to this length; its troubles move along."`
	Serve   bool          `help:"Start the sidecars with 'serve' on operators' files, in place of what the platform tells."`
	Plan    bool          `help:"Print the drawn schedule, fleet and troubles as lines of JSON, and play nothing."`
	JSON    string        `name:"json" placeholder:"FILE" help:"Write the whole result as JSON; -: standard output."`
	Report  string        `placeholder:"FILE.html" help:"Write a page that opens offline."`
	Logs    string        `placeholder:"DIR" help:"Keep the sidecars' logs."`
}

// Help implements kong's HelpProvider.
func (c *rehearseCommand) Help() string {
	return "Days that ship: " + strings.Join(rehearsals.Names(), ", ") + ". Exit code 0: every rule held; 1: one was broken, or the day was not valid; 2: nothing was played."
}

// loadDay finds the day's file.
func (c *rehearseCommand) loadDay() (*rehearse.Day, error) {
	name := c.Day
	if name == "" {
		name = rehearsals.Default
	}
	if text, ok := rehearsals.Text(name); ok {
		return rehearse.Parse(name+".toml", text)
	}
	return rehearse.Load(name)
}

// Run implements kong's command.
func (c *rehearseCommand) Run() error {
	day, err := c.loadDay()
	if err != nil {
		return err
	}
	if c.Length > 0 {
		if err := day.Cut(c.Length); err != nil {
			return err
		}
	}
	plans, err := c.drawPlans(day)
	if err != nil {
		return err
	}
	if c.Plan {
		for _, p := range plans {
			if err := p.Print(os.Stdout); err != nil {
				return err
			}
		}
		return nil
	}
	balancers := append([]string{rehearse.Module}, c.Against...)
	for _, b := range c.Against {
		if _, err := baseline.New(b); err != nil {
			return fmt.Errorf("--against: %w", err)
		}
	}
	outs, err := c.openOutputs()
	if err != nil {
		return err
	}
	defer outs.discard()
	ctx, stop := signal.NotifyContext(context.Background(), syscall.SIGINT, syscall.SIGTERM)
	defer stop()
	results, err := c.playAll(ctx, plans, balancers)
	if err != nil {
		return err
	}
	return c.writeResults(results, outs)
}

// drawPlans draws one for each seed and demand.
func (c *rehearseCommand) drawPlans(day *rehearse.Day) ([]*rehearse.Plan, error) {
	seeds := c.Seeds
	if len(seeds) == 0 {
		seeds = []uint64{day.Seed}
	}
	var out []*rehearse.Plan
	for _, demand := range c.Demand {
		if demand <= 0 || demand > 100 {
			return nil, fmt.Errorf("--demand: %v is not over 0 and 100 at most", demand)
		}
		for _, seed := range seeds {
			p, err := rehearse.NewPlan(day, seed, demand)
			if err != nil {
				return nil, err
			}
			out = append(out, p)
		}
	}
	return out, nil
}

func (c *rehearseCommand) playAll(ctx context.Context, plans []*rehearse.Plan, balancers []string) ([]*rehearse.Result, error) {
	self, err := os.Executable()
	if err != nil {
		return nil, err
	}
	var results []*rehearse.Result
	for _, plan := range plans {
		for _, b := range balancers {
			opt := rehearse.Options{Command: func() *exec.Cmd { return exec.Command(self) }, Serve: c.Serve && b == rehearse.Module}
			if b != rehearse.Module {
				opt.Command = func() *exec.Cmd { return exec.Command(self, "plain", b) }
			}
			if c.Logs != "" {
				opt.Logs = filepath.Join(c.Logs, fmt.Sprintf("%s-%d-%v-%s", plan.Day.Name, plan.Seed, plan.Demand, b))
			}
			bar := newProgressBar(plan, b)
			opt.Progress = bar.show
			r, err := rehearse.Play(ctx, plan, opt)
			bar.end()
			if err != nil {
				if errors.Is(err, context.Canceled) {
					return nil, verdictError{errors.New("interrupted; everything that was started has ended")}
				}
				return nil, verdictError{err}
			}
			r.Balancer = b
			results = append(results, r)
		}
	}
	return results, nil
}

// writeResults writes the results where they are wanted, and gives the verdict.
func (c *rehearseCommand) writeResults(results []*rehearse.Result, outs *outputFiles) error {
	table := io.Writer(os.Stdout)
	if c.JSON == "-" {
		table = os.Stderr
	}
	if err := rehearse.WriteTable(table, results); err != nil {
		return verdictError{err}
	}
	if err := outs.write(results); err != nil {
		return verdictError{err}
	}
	own := slices.DeleteFunc(slices.Clone(results), func(r *rehearse.Result) bool { return r.Balancer != rehearse.Module })
	for _, r := range own {
		switch {
		case !r.Valid:
			return verdictError{fmt.Errorf("%s is not valid: %s", r.Day, r.Invalid[0])}
		case !r.Held:
			return verdictError{fmt.Errorf("%s: a rule is broken", r.Day)}
		}
	}
	return nil
}

// outputFiles are files that are wanted at the end. They are opened before the day is played, and appear whole or not at all.
type outputFiles struct {
	files []*outputFile
}

type outputFile struct {
	path        string
	file        *os.File
	isTemporary bool // file is a temporary one, to be renamed
	write       func(io.Writer, []*rehearse.Result) error
}

// open makes a file beside the one wanted, so that a half-written one is never found there. What is no ordinary file is
// written to as it is.
func (f *outputFile) open() (err error) {
	if f.path == "-" {
		f.file = os.Stdout
		return nil
	}
	if info, err := os.Stat(f.path); err == nil && !info.Mode().IsRegular() {
		f.file, err = os.OpenFile(f.path, os.O_WRONLY, 0)
		return err
	}
	f.isTemporary = true
	f.file, err = os.CreateTemp(filepath.Dir(f.path), "."+filepath.Base(f.path)+"-*")
	return err
}

// finish puts the file in its place.
func (f *outputFile) finish() error {
	if f.file == os.Stdout {
		return nil
	}
	if f.isTemporary {
		if err := f.file.Chmod(0o644); err != nil {
			return err
		}
	}
	if err := f.file.Close(); err != nil || !f.isTemporary {
		return err
	}
	return os.Rename(f.file.Name(), f.path)
}

func (c *rehearseCommand) openOutputs() (*outputFiles, error) {
	o := &outputFiles{}
	for _, f := range []*outputFile{{path: c.JSON, write: rehearse.WriteJSON}, {path: c.Report, write: rehearse.WriteReport}} {
		if f.path == "" {
			continue
		}
		if err := f.open(); err != nil {
			o.discard()
			return nil, err
		}
		o.files = append(o.files, f)
	}
	return o, nil
}

func (o *outputFiles) write(results []*rehearse.Result) error {
	for _, f := range o.files {
		if err := f.write(f.file, results); err != nil {
			return fmt.Errorf("%s: %w", f.path, err)
		}
		if err := f.finish(); err != nil {
			return fmt.Errorf("%s: %w", f.path, err)
		}
	}
	return nil
}

// discard removes what was not written to its end.
func (o *outputFiles) discard() {
	for _, f := range o.files {
		if f.isTemporary {
			_ = f.file.Close()           // what is in it is removed
			_ = os.Remove(f.file.Name()) // gone where it was renamed
		}
	}
}

// progressBar shows how far a day has come, on a terminal only.
type progressBar struct{ bar *progressbar.ProgressBar }

func newProgressBar(p *rehearse.Plan, balancer string) *progressBar {
	if !term.IsTerminal(int(os.Stderr.Fd())) {
		return &progressBar{}
	}
	return &progressBar{progressbar.NewOptions64(p.Day.Length.Milliseconds(), progressbar.OptionSetWriter(os.Stderr), progressbar.OptionSetWidth(30),
		progressbar.OptionSetDescription(fmt.Sprintf("%s, %s", p.Day.Name, balancer)), progressbar.OptionClearOnFinish(),
		progressbar.OptionSetPredictTime(false), progressbar.OptionShowElapsedTimeOnFinish())}
}

func (b *progressBar) show(s rehearse.Snapshot) {
	if b.bar == nil {
		return
	}
	worth := 1.0
	if s.Asked > 0 {
		worth = s.Answered / s.Asked
	}
	b.bar.Describe(fmt.Sprintf("worth %.3f, %3d in flight, %3.0f s", worth, s.InFlight, s.At.Seconds()))
	_ = b.bar.Set64(min(s.At, s.Length).Milliseconds())
}

func (b *progressBar) end() {
	if b.bar != nil {
		_ = b.bar.Finish()
	}
}
