package main

import (
	"errors"
	"fmt"
	"time"

	"tuliprock/internal/cluster/status"
)

// rolloutFlags are the flags of the commands that wait until all daemons act on a version.
type rolloutFlags struct {
	daemonFlags
	WaitTimeout time.Duration `name:"wait" default:"60s" help:"How long to wait until all daemons act on the version; 0s: return when it is agreed on."`
}

// changeResult is the result of a change of the settings, which --json writes.
type changeResult struct {
	Format         int                    `json:"format"`         // version of this JSON format, always 1
	ID             string                 `json:"id"`             // idempotency key of the change
	Version        uint64                 `json:"version"`        // version that the change made
	IsUnchanged    bool                   `json:"same,omitempty"` // whether the change left the document as it was
	IsActiveOnAll  bool                   `json:"all_act"`        // whether all daemons act on Version or a later version
	LaggingDaemons []status.LaggingDaemon `json:"lags,omitempty"` // daemons that did not act on the latest version at the last poll; empty if IsActiveOnAll
}

// awaitRollout waits until all daemons act on the version that was agreed on. It prints the progress line by line, and writes the
// result as JSON at the end if --json is given; if the JSON goes to standard output, no lines are printed.
func (f *rolloutFlags) awaitRollout(result *changeResult) error {
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
	start := time.Now()
	var err error
	if f.WaitTimeout > 0 {
		err = f.awaitActiveOnAll(result)
	}
	if result.IsActiveOnAll {
		printf("all act on version %d, %v later", result.Version, time.Since(start).Round(time.Millisecond))
	}
	for _, l := range result.LaggingDaemons {
		printf("waited for: %s: %s", l.Name, l.Reason)
	}
	if f.JSON != "" {
		err = errors.Join(err, writeJSON(f.JSON, result))
	}
	return err
}

// awaitActiveOnAll polls the daemon until all daemons act on the version of result. After each poll it records in result whether
// all daemons act on the version, and which daemons lag. It returns a verdictError on timeout.
func (f *rolloutFlags) awaitActiveOnAll(result *changeResult) error {
	// The error of the last poll is dropped: after a timeout it adds nothing to the verdictError, and after a success there is none.
	_, ok, _ := f.pollUntil(f.WaitTimeout, func(s *status.Settings) bool {
		result.IsActiveOnAll, result.LaggingDaemons = s.OldestActiveVersion >= result.Version, s.LaggingDaemons
		return result.IsActiveOnAll
	})
	if !ok {
		return verdictError{fmt.Errorf("version %d is agreed on, but after %v not all daemons act on it", result.Version, f.WaitTimeout)}
	}
	result.LaggingDaemons = nil
	return nil
}
