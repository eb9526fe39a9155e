package sidecar

import (
	"errors"
	"testing"
)

// A set-down and a set-up may be agreed on as versions 3 and 2 while the versions wait for a lease to expire. When an earlier one becomes
// active, it must not undo the later command, which the operator was told is in effect.
func TestAgreedVersionDoesNotUndoLaterCommand(t *testing.T) {
	const id = "x"
	ejecting := func(version uint64) agreedEjections { return agreedEjections{version, map[string]bool{id: true}} }
	restoring := func(version uint64) agreedEjections { return agreedEjections{version, map[string]bool{}} }
	type command struct {
		isEjected bool
		version   uint64 // version in which the cluster agreed on the command; 0: it did not
		isPending bool   // the cluster has not answered yet
	}
	for name, c := range map[string]struct {
		active   agreedEjections   // what is active at first
		commands []command         // operators' commands at this daemon
		next     []agreedEjections // versions that then become active, one after another
		want     []bool            // whether the endpoint must be ejected after each of them
	}{
		"no command":                             {ejecting(1), nil, []agreedEjections{restoring(2), ejecting(3)}, []bool{false, true}},
		"set-up and set-down":                    {ejecting(1), []command{{false, 2, false}, {true, 3, false}}, []agreedEjections{restoring(2), ejecting(3)}, []bool{true, true}},
		"set-down and set-up":                    {restoring(1), []command{{true, 2, false}, {false, 3, false}}, []agreedEjections{ejecting(2), restoring(3)}, []bool{false, false}},
		"a set-down without an answer yet":       {ejecting(1), []command{{false, 2, false}, {true, 0, true}}, []agreedEjections{restoring(2)}, []bool{true}},
		"a set-down that another daemon ends":    {restoring(1), []command{{true, 2, false}}, []agreedEjections{ejecting(2), restoring(3)}, []bool{true, false}},
		"the same, with version 2 never active":  {restoring(1), []command{{true, 2, false}}, []agreedEjections{restoring(3)}, []bool{false}},
		"a set-down that holds here alone":       {restoring(1), []command{{true, 0, false}}, []agreedEjections{restoring(2)}, []bool{true}},
		"the same, until the cluster changes it": {restoring(1), []command{{true, 0, false}}, []agreedEjections{ejecting(2), restoring(3)}, []bool{true, false}},
	} {
		t.Run(name, func(t *testing.T) {
			o := newOverrides()
			active := o.applyAgreed(t.Context(), agreedEjections{}, c.active)
			for _, command := range c.commands {
				o.beginCommand(id)
				o.record(id, command.isEjected)
				if !command.isPending {
					o.finishCommand(id, command.version)
				}
			}
			for i, next := range c.next {
				active = o.applyAgreed(t.Context(), active, next)
				if got := o.snapshot(id).isEjected; got != c.want[i] {
					t.Errorf("ejected %v after version %d, want %v", got, next.version, c.want[i])
				}
			}
			if last := c.commands; len(last) > 0 && !last[len(last)-1].isPending && len(o.commands) > 0 {
				t.Errorf("commands %v are left, want none", o.commands)
			}
		})
	}
}

// A command about an unknown endpoint is rejected. While it is decided it must not keep an agreed ejection from being applied, which no
// later version would apply again.
func TestRejectedCommandDoesNotHideAgreedEjection(t *testing.T) {
	o := newOverrides()
	if _, err := o.setEjected(t.Context(), "x", true); !errors.Is(err, errUnknownEndpoint) || len(o.commands) > 0 {
		t.Errorf("error %v, commands %v, want %v and none", err, o.commands, errUnknownEndpoint)
	}
	o.record("x", true)
	if _, err := o.setEjected(t.Context(), "x", false); err != nil || !o.commands.isLaterThan(7, "x") {
		t.Errorf("error %v, commands %v, want that the command about x is not finished", err, o.commands)
	}
	o.finishCommand("x", 0)
	if active := o.applyAgreed(t.Context(), agreedEjections{}, agreedEjections{8, map[string]bool{"x": true}}); !o.snapshot("x").isEjected {
		t.Errorf("x is not ejected after version %d", active.version)
	}
}
