package main

import (
	"errors"
	"fmt"
	"time"

	"tuliprock/internal/cluster/status"
)

// rolloutFlags are the flags of a command that waits until all daemons act on a version.
type rolloutFlags struct {
	daemonFlags
	WaitTimeout time.Duration `name:"wait" default:"60s" help:"How long to wait until all daemons act on it; 0s: until it is agreed on."`
}

// changeResult is the result of a change as JSON.
type changeResult struct {
	Format         int          `json:"format"` // 1
	ID             string       `json:"id"`
	Version        uint64       `json:"version"`
	IsUnchanged    bool         `json:"same,omitempty"` // there was nothing to change
	IsActiveOnAll  bool         `json:"all_act"`        // no daemon acts on an earlier version any more
	LaggingDaemons []status.Lag `json:"lags,omitempty"` // who is waited for, where that is not so
}

// await waits until all daemons act on the version that was agreed on, and reports how far that came: in lines, as it
// goes, or at the end in JSON.
func (f *rolloutFlags) await(result *changeResult) error {
	printf := func(format string, args ...any) {
		if f.JSON != "-" {
			fmt.Printf(format+"\n", args...)
		}
	}
	if result.IsUnchanged {
		printf("there was nothing to change at version %d", result.Version)
	} else {
		printf("version %d is agreed on", result.Version)
	}
	began := time.Now()
	var err error
	if f.WaitTimeout > 0 {
		err = f.awaitActiveOnAll(result)
	}
	if result.IsActiveOnAll {
		printf("all act on version %d, %v later", result.Version, time.Since(began).Round(time.Millisecond))
	}
	for _, l := range result.LaggingDaemons {
		printf("waited for: %s: %s", l.Daemon, l.Reason)
	}
	if f.JSON != "" {
		err = errors.Join(err, writeJSON(f.JSON, result))
	}
	return err
}

func (f *rolloutFlags) awaitActiveOnAll(result *changeResult) error {
	// An error of the last poll says no more than that the daemon did not answer then; what counts is that time is up.
	_, ok, _ := f.pollUntil(f.WaitTimeout, func(s *status.Settings) bool {
		result.IsActiveOnAll, result.LaggingDaemons = s.MinActingVersion >= result.Version, s.Lags
		return result.IsActiveOnAll
	})
	if !ok {
		return verdictError{fmt.Errorf("version %d is agreed on, but after %v not all act on it", result.Version, f.WaitTimeout)}
	}
	result.LaggingDaemons = nil
	return nil
}
