package sidecar

import (
	"context"
	"maps"
	"slices"

	"tuliprock/internal/hotrestart"
)

// ejectionCommands has the operators' commands of this daemon, by endpoint ID, that no active version of the cluster's documents
// includes yet. Each of them took effect on this daemon at once. A version that the cluster agreed on before such a command may
// become active after it, and must not undo it.
type ejectionCommands map[string]ejectionCommand

// ejectionCommand is what is known of the latest commands about one endpoint.
type ejectionCommand struct {
	proposals int    // number of commands that were proposed to the cluster and whose version is not known yet
	version   uint64 // latest version that a command has made; 0: none is known
}

// begin records that a command about an endpoint is to be proposed to the cluster.
func (c ejectionCommands) begin(id string) {
	command := c[id]
	command.proposals++
	c[id] = command
}

// finish records the version that a command has made. Version 0 means that the cluster has not agreed on the command: it holds on
// this daemon until the cluster next changes the endpoint's ejection.
func (c ejectionCommands) finish(id string, version uint64) {
	command := c[id]
	command.proposals--
	command.version = max(command.version, version)
	if c[id] = command; command == (ejectionCommand{}) {
		delete(c, id)
	}
}

// isLaterThan reports whether a command about an endpoint is later than the active version, as far as is known.
func (c ejectionCommands) isLaterThan(activeVersion uint64, id string) bool {
	command := c[id]
	return command.proposals > 0 || command.version > activeVersion
}

// settle removes the commands that the active version includes, and returns the IDs of their endpoints.
func (c ejectionCommands) settle(activeVersion uint64) (ids []string) {
	for id := range c {
		if !c.isLaterThan(activeVersion, id) {
			ids = append(ids, id)
			delete(c, id)
		}
	}
	return ids
}

// agreedEjections are the endpoints that a version of the cluster's documents ejects.
type agreedEjections struct {
	version uint64
	ids     map[string]bool
}

// beginCommand records that an operator's command about an endpoint is to be proposed to the cluster. finishCommand must follow.
func (o *overrides) beginCommand(id string) {
	o.mu.Lock()
	defer o.mu.Unlock()
	o.commands.begin(id)
}

// finishCommand records the version in which the cluster has agreed on a command, or version 0 if it has not.
func (o *overrides) finishCommand(id string, version uint64) {
	o.mu.Lock()
	defer o.mu.Unlock()
	o.commands.finish(id, version)
}

// changedIDs returns the IDs of the endpoints whose ejection a new active version may change, in ascending order: those that differ
// from the previous version, and those of commands that the new version includes, which may have been overruled in between.
// It leaves out endpoints about which this daemon has had a later command.
func (o *overrides) changedIDs(previous, current agreedEjections) (ids []string) {
	o.mu.Lock()
	defer o.mu.Unlock()
	changed := map[string]bool{}
	for _, id := range o.commands.settle(current.version) {
		changed[id] = true
	}
	for _, ids := range []map[string]bool{previous.ids, current.ids} {
		for id := range ids {
			if previous.ids[id] != current.ids[id] && !o.commands.isLaterThan(current.version, id) {
				changed[id] = true
			}
		}
	}
	return slices.Sorted(maps.Keys(changed))
}

// applyAgreed applies the ejections of a version that has become active, up to hotrestart.MaxEjections. An operator's command of this
// daemon that is later than the version stays in effect. applyAgreed waits while another change of the ejections is in progress.
// It returns current, or previous if ctx ended during that wait.
func (o *overrides) applyAgreed(ctx context.Context, previous, current agreedEjections) agreedEjections {
	if o.acquire(ctx) != nil {
		return previous
	}
	defer o.release()
	for _, id := range o.changedIDs(previous, current) {
		local := o.snapshot(id)
		if local.isEjected == current.ids[id] || current.ids[id] && local.ejectedCount >= hotrestart.MaxEjections {
			continue
		}
		_ = o.apply(ctx, local.pools, id, current.ids[id]) // fails only if ctx has ended, when the daemon shuts down
	}
	return current
}
