package main

import (
	"strconv"
	"time"

	"tuliprock/internal/cluster/status"
)

type settingsCommand struct {
	Show    settingsShowCommand    `cmd:"" default:"withargs" help:"What this daemon acts on; with a name: a document as it is agreed on."`
	Put     settingsPutCommand     `cmd:"" help:"Have the shared part of an operators' file agreed on, or another document."`
	Remove  settingsRemoveCommand  `cmd:"" help:"Have a document taken out."`
	Revert  settingsRevertCommand  `name:"back" cmd:"" help:"Have a document put as it was at a version."`
	Force   settingsForceCommand   `cmd:"" help:"Activate a version that some daemons can't act on: they go without a lease."`
	Voters  settingsVotersCommand  `cmd:"" help:"Who votes; have a daemon vote, or vote no longer."`
	History settingsHistoryCommand `cmd:"" help:"What was changed, when and by whom."`
	Diff    settingsDiffCommand    `cmd:"" help:"What differs between two versions of a document, or between what is agreed on and a file."`
}

// document fetches a document as it was at a version; version 0 is the latest.
func (f *daemonFlags) document(name string, version uint64) (*status.CommandResult, error) {
	words := []string{"show", name}
	if version > 0 {
		words = append(words, strconv.FormatUint(version, 10))
	}
	return f.call(nil, words...)
}

// versionPollInterval is how often a daemon is asked whether it has come to a version.
const versionPollInterval = 100 * time.Millisecond

// pollUntil polls a daemon's versions until they satisfy isDone. When that takes longer than timeout it returns false, with
// what the last poll read and its error.
func (f *daemonFlags) pollUntil(timeout time.Duration, isDone func(*status.Settings) bool) (last *status.Settings, ok bool, err error) {
	for began := time.Now(); ; time.Sleep(versionPollInterval) {
		last, err = status.FetchVersions(f.AdminAddr, reportTimeout)
		if err == nil && isDone(last) {
			return last, true, nil
		}
		if time.Since(began) > timeout {
			return last, false, err
		}
	}
}
