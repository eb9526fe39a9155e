package main

import (
	"crypto/rand"
	"errors"
	"fmt"
	"io"
	"os"
	"slices"
	"strconv"
	"strings"
	"time"

	"github.com/aymanbagabas/go-udiff"

	"tuliprock/internal/cluster/status"
	"tuliprock/internal/config"
)

type settingsCommand struct {
	Show    settingsShow    `cmd:"" default:"withargs" help:"What this daemon acts on; with a name: a document as it is agreed on."`
	Put     settingsPut     `cmd:"" help:"Have the shared part of an operators' file agreed on, or another document."`
	Remove  settingsRemove  `cmd:"" help:"Have a document taken out."`
	Back    settingsBack    `cmd:"" help:"Have a document put as it was at a version."`
	Force   settingsForce   `cmd:"" help:"Activate a version that some daemons can't act on: they go without a lease."`
	Voters  settingsVoters  `cmd:"" help:"Who votes; have a daemon vote, or vote no longer."`
	History settingsHistory `cmd:"" help:"What was changed, when and by whom."`
	Diff    settingsDiff    `cmd:"" help:"What differs between two versions of a document, or between what is agreed on and a file."`
}

// agreementTimeout is how long a call may take that a majority of the voters must answer: an election takes one or two seconds.
const agreementTimeout = 10 * time.Second

func (d *daemonFlags) call(body []byte, words ...string) (*status.CommandResult, error) {
	return status.Call(d.At, words, body, agreementTimeout)
}

type settingsShow struct {
	daemonFlags
	Name    string `arg:"" optional:"" help:"Of a document: shared, members/POOL, out/ID, flag/NAME."`
	Version uint64 `help:"As it was at this version; 0: the latest."`
}

// Run implements kong's command.
func (c *settingsShow) Run() error {
	if c.Name != "" {
		a, err := c.document(c.Name, c.Version)
		if err != nil {
			return err
		}
		return c.printResult(a, func(w io.Writer) error {
			_, err := w.Write(a.Body)
			return err
		})
	}
	s, err := status.FetchSettings(c.At, reportTimeout)
	if err != nil {
		return err
	}
	return c.printResult(s, func(w io.Writer) error { return writeSettings(w, s) })
}

func (d *daemonFlags) document(name string, version uint64) (*status.CommandResult, error) {
	words := []string{"show", name}
	if version > 0 {
		words = append(words, strconv.FormatUint(version, 10))
	}
	return d.call(nil, words...)
}

func writeSettings(w io.Writer, s *status.Settings) error {
	var rows strings.Builder
	lease := fmt.Sprintf("its lease lasts %v yet", time.Duration(s.LeaseMs)*time.Millisecond)
	if !s.Acting {
		lease = "it has no lease"
	}
	fmt.Fprintf(&rows, "version %d; %s; granted by %s\n", s.Version, lease, s.Leader)
	if s.Declined > 0 {
		fmt.Fprintf(&rows, "it can't act on version %d: %s\n", s.Declined, s.Why)
	}
	for _, l := range s.Lags {
		fmt.Fprintf(&rows, "waited for: %s: %s\n", l.Daemon, l.Why)
	}
	for _, d := range s.Documents {
		fmt.Fprintf(&rows, "%s\tversion %d\tby %s\t%d bytes\n", d.Name, d.Version, d.By, d.Bytes)
	}
	return writeColumns(w, rows.String())
}

// rolloutFlags is a command that has a version come to be acted on.
type rolloutFlags struct {
	daemonFlags
	Wait time.Duration `default:"60s" help:"How long to wait until all daemons act on it; 0s: until it is agreed on."`
}

// changeFlags is a command that has something changed.
type changeFlags struct {
	rolloutFlags
	Expect string `placeholder:"VERSION" help:"Change nothing unless this is the latest version."`
	ID     string `help:"Of this change: made again with the same one it is done once. Left out: drawn."`
}

// changeResult is the result of a change as JSON.
type changeResult struct {
	Format        int          `json:"format"` // 1
	ID            string       `json:"id"`
	Version       uint64       `json:"version"`
	IsUnchanged   bool         `json:"same,omitempty"` // there was nothing to change
	IsActiveOnAll bool         `json:"all_act"`        // no daemon acts on an earlier version any more
	Lags          []status.Lag `json:"lags,omitempty"` // who is waited for, where that is not so
}

// propose has a change agreed on, and waits until all act on it. It says both as they come.
func (c *changeFlags) propose(word, name string, body []byte, more ...string) error {
	if c.ID == "" {
		c.ID = rand.Text()
	}
	expect := "-"
	if c.Expect != "" {
		expect = c.Expect
	}
	a, err := c.call(body, append([]string{word, c.ID, expect, name}, more...)...)
	if unsure := (status.IndeterminateError{}); errors.As(err, &unsure) {
		return verdictError{fmt.Errorf("%w; ask again with --id %s", err, c.ID)}
	}
	if err != nil {
		return err
	}
	return c.await(&changeResult{Format: 1, ID: c.ID, Version: a.Version, IsUnchanged: a.Same})
}

func (c *rolloutFlags) await(r *changeResult) error {
	say := func(format string, args ...any) {
		if c.JSON != "-" {
			fmt.Printf(format+"\n", args...)
		}
	}
	if r.IsUnchanged {
		say("there was nothing to change at version %d", r.Version)
	} else {
		say("version %d is agreed on", r.Version)
	}
	began, why := time.Now(), error(nil)
	if c.Wait > 0 {
		why = c.allAct(r)
	}
	if r.IsActiveOnAll {
		say("all act on version %d, %v later", r.Version, time.Since(began).Round(time.Millisecond))
	}
	for _, l := range r.Lags {
		say("waited for: %s: %s", l.Daemon, l.Why)
	}
	if c.JSON != "" {
		why = errors.Join(why, writeJSON(c.JSON, r))
	}
	return why
}

const versionPollInterval = 100 * time.Millisecond

// until asks a daemon what it acts on, again and again, until the answer is as wanted. It is false, with what came of the last
// ask, if that takes longer than wait.
func (d *daemonFlags) until(wait time.Duration, wanted func(*status.Settings) bool) (s *status.Settings, ok bool, err error) {
	for began := time.Now(); ; time.Sleep(versionPollInterval) {
		s, err = status.FetchVersions(d.At, reportTimeout)
		if err == nil && wanted(s) {
			return s, true, nil
		}
		if time.Since(began) > wait {
			return s, false, err
		}
	}
}

// allAct waits until all daemons act on a version.
func (c *rolloutFlags) allAct(r *changeResult) error {
	_, ok, _ := c.until(c.Wait, func(s *status.Settings) bool {
		r.IsActiveOnAll, r.Lags = s.All >= r.Version, s.Lags
		return r.IsActiveOnAll
	})
	if !ok {
		return verdictError{fmt.Errorf("version %d is agreed on, but after %v not all act on it", r.Version, c.Wait)}
	}
	r.Lags = nil
	return nil
}

type settingsPut struct {
	changeFlags
	File string `arg:"" help:"An operators' file, of which the shared part is put; with --name: the document."`
	Name string `help:"Put the file as this document: members/POOL (a list of members) or flag/NAME." placeholder:"NAME"`
}

// Run implements kong's command.
func (c *settingsPut) Run() error {
	body, err := os.ReadFile(c.File)
	if err != nil {
		return err
	}
	name := c.Name
	if name == "" {
		var left []string
		name = config.SharedDoc
		if body, left, err = config.ExtractShared(c.File, body); err != nil {
			return err
		}
		if len(left) > 0 {
			fmt.Fprintf(os.Stderr, "left out, as it is each daemon's own: %s\n", strings.Join(left, ", "))
		}
	}
	return c.propose("put", name, body, strconv.Itoa(len(body)))
}

type settingsRemove struct {
	changeFlags
	Name string `arg:"" help:"Of the document."`
}

// Run implements kong's command.
func (c *settingsRemove) Run() error { return c.propose("remove", c.Name, nil) }

type settingsBack struct {
	changeFlags
	Version uint64 `arg:"" help:"The version at which the document was as it is to be."`
	Name    string `default:"shared" help:"Of the document."`
}

// Run implements kong's command.
func (c *settingsBack) Run() error {
	return c.propose("back", c.Name, nil, strconv.FormatUint(c.Version, 10))
}

type settingsForce struct {
	rolloutFlags
	Version uint64 `arg:"" help:"The version that is to come."`
}

// Run implements kong's command.
func (c *settingsForce) Run() error {
	a, err := c.call(nil, "force", rand.Text(), strconv.FormatUint(c.Version, 10))
	if err != nil {
		return err
	}
	return c.await(&changeResult{Format: 1, Version: a.Version})
}

type settingsVoters struct {
	daemonFlags
	Change string        `arg:"" optional:"" enum:"add,remove," default:"" help:"add or remove; left out: says who votes."`
	Name   string        `arg:"" optional:"" help:"Of the daemon. It needs a data_dir, empty where it is added."`
	Wait   time.Duration `default:"30s" help:"How long to wait until it is so."`
}

// Run implements kong's command.
func (c *settingsVoters) Run() error {
	if (c.Change == "") != (c.Name == "") {
		return errors.New("settings voters: add NAME or remove NAME")
	}
	if c.Change != "" {
		if _, err := c.call(nil, "voters-"+c.Change, rand.Text(), c.Name); err != nil {
			return err
		}
	}
	s, ok, err := c.until(c.Wait, func(s *status.Settings) bool { return c.Change == "" || c.isDone(s) })
	if !ok {
		return errors.Join(verdictError{fmt.Errorf("after %v it is not so that %s: voters %s", c.Wait, c.goal(), s.Voters)}, err)
	}
	return c.printVoters(s)
}

func (c *settingsVoters) goal() string {
	if c.Change == "add" {
		return c.Name + " votes"
	}
	return c.Name + " votes no longer"
}

// isDone tells whether a daemon holds that the change is made. Who is asked may list more than those who vote.
func (c *settingsVoters) isDone(s *status.Settings) bool {
	return slices.Contains(strings.Split(s.Sitting, ","), c.Name) == (c.Change == "add")
}

func (c *settingsVoters) printVoters(s *status.Settings) error {
	return c.printResult(s, func(w io.Writer) error {
		_, err := fmt.Fprintln(w, strings.ReplaceAll(s.Sitting, ",", " "))
		return err
	})
}

type settingsHistory struct {
	daemonFlags
	Name string `arg:"" optional:"" help:"Of a document; left out: all."`
}

// Run implements kong's command.
func (c *settingsHistory) Run() error {
	a, err := c.call(nil, "history")
	if err != nil {
		return err
	}
	return c.printResult(a, func(w io.Writer) error { return c.writeHistory(w, a.History) })
}

func (c *settingsHistory) writeHistory(w io.Writer, history []status.HistoryEntry) error {
	var rows strings.Builder
	for _, h := range history {
		if c.Name != "" && h.Name != c.Name {
			continue
		}
		what := fmt.Sprintf("%d bytes, %.12s", h.Bytes, h.SHA256)
		if h.IsRemoval() {
			what = "taken out"
		}
		if h.Back > 0 {
			what += fmt.Sprintf(", as at version %d", h.Back)
		}
		fmt.Fprintf(&rows, "%d\t%s\t%s\tby %s\t%s\n", h.Version, h.Name, what, h.By, time.UnixMilli(h.AtMs).UTC().Format(time.DateTime))
	}
	return writeColumns(w, rows.String())
}

type settingsDiff struct {
	daemonFlags
	Name string `default:"shared" help:"Of the document."`
	From uint64 `help:"A version; 0: the latest."`
	To   uint64 `help:"Another; 0: the latest."`
	File string `placeholder:"FILE" help:"In place of --to: an operators' file, of which the shared part counts."`
}

// Run implements kong's command. It ends with 1 where there is a difference.
func (c *settingsDiff) Run() error {
	from, err := c.document(c.Name, c.From)
	if err != nil {
		return err
	}
	var to []byte
	other := c.File
	if c.File != "" {
		if to, err = os.ReadFile(c.File); err == nil && c.Name == config.SharedDoc {
			to, _, err = config.ExtractShared(c.File, to)
		}
	} else {
		var a *status.CommandResult
		if a, err = c.document(c.Name, c.To); err == nil {
			to, other = a.Body, fmt.Sprintf("%s, version %d", c.Name, a.Put)
		}
	}
	if err != nil {
		return err
	}
	text := udiff.Unified(fmt.Sprintf("%s, version %d", c.Name, from.Put), other, string(from.Body), string(to))
	err = c.printResult(struct {
		Format  int    `json:"format"`
		Differs bool   `json:"differs"`
		Diff    string `json:"diff"`
	}{1, text != "", text}, func(w io.Writer) error {
		_, err := io.WriteString(w, text)
		return err
	})
	if err == nil && text != "" {
		err = verdictError{errors.New("they differ")}
	}
	return err
}
