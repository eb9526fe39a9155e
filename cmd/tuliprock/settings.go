package main

import (
	"strconv"
	"time"

	"tuliprock/internal/cluster/status"
)

// settingsCommand groups the commands that show and change the documents on which a cluster has agreed.
type settingsCommand struct {
	Show    settingsShowCommand    `cmd:"" default:"withargs" help:"Show which version of the settings this daemon acts on, or with a name the body of a document (the default)."`
	Put     settingsPutCommand     `cmd:"" help:"Put the shared part of an operators' file, or another document, into the agreed settings."`
	Remove  settingsRemoveCommand  `cmd:"" help:"Remove a document from the agreed settings."`
	Revert  settingsRevertCommand  `cmd:"" name:"back" help:"Revert a document to what it was at a version."`
	Force   settingsForceCommand   `cmd:"" help:"Activate a version that some daemons can't act on; these daemons lose their lease."`
	Voters  settingsVotersCommand  `cmd:"" help:"List the voters, or add or remove a voter."`
	History settingsHistoryCommand `cmd:"" help:"List the changes of the settings, with time and author."`
	Diff    settingsDiffCommand    `cmd:"" help:"Show the differences between two versions of a document, or between a version and a file."`
}

// fetchDocument fetches a document as it was at a version of the settings; version 0 is the latest.
func (f *daemonFlags) fetchDocument(name string, version uint64) (*status.CommandResult, error) {
	words := []string{"show", name}
	if version > 0 {
		words = append(words, strconv.FormatUint(version, 10))
	}
	return f.call(nil, words...)
}

// versionPollInterval is the interval of the polls that wait for a daemon to reach a version.
const versionPollInterval = 100 * time.Millisecond

// pollUntil polls a daemon for a report of its settings versions and voters until isDone returns true for the report. After timeout
// it returns ok == false, with the report and the error of the last poll.
func (f *daemonFlags) pollUntil(timeout time.Duration, isDone func(*status.Settings) bool) (last *status.Settings, ok bool, err error) {
	for start := time.Now(); ; time.Sleep(versionPollInterval) {
		last, err = status.FetchVersions(f.AdminAddr, reportTimeout)
		if err == nil && isDone(last) {
			return last, true, nil
		}
		if time.Since(start) > timeout {
			return last, false, err
		}
	}
}
