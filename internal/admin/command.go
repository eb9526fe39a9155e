package admin

import (
	"bytes"
	"errors"
	"fmt"
	"strconv"
	"unicode/utf8"
)

// Verb is the first word of a command. The texts must not change, since operators' scripts send them.
type Verb string

// Values of Verb, which are all commands of the operators' protocol.
const (
	VerbCheck    Verb = "check"    // reports whether this process accepts clients
	VerbVars     Verb = "vars"     // prints all metrics
	VerbSetDown  Verb = "set-down" // ejects an endpoint manually
	VerbSetUp    Verb = "set-up"   // ends an endpoint's manual ejection
	VerbPeers    Verb = "peers"    // prints the members of the cluster
	VerbSettings Verb = "settings" // prints or changes the cluster's settings, depending on the command's arguments
	VerbVersions Verb = "versions" // prints the version of the settings that is in force
)

// putArgument is the first argument of a settings command that has a body.
const putArgument = "put"

// takesEndpointID has all known verbs as keys. The value says whether an endpoint's ID must follow the verb.
var takesEndpointID = map[Verb]bool{
	VerbCheck:    false,
	VerbVars:     false,
	VerbSetDown:  true,
	VerbSetUp:    true,
	VerbPeers:    false,
	VerbSettings: false,
	VerbVersions: false,
}

// maxLineBytes is the maximum length in bytes of a command line, including its line feed. It leaves ample space for an
// endpoint's ID, which is some tens of bytes long.
const maxLineBytes = 512

var errLineTooLong = fmt.Errorf("the line is longer than %d bytes", maxLineBytes)

// Command is a parsed command line.
type Command struct {
	Verb       Verb
	EndpointID string // endpoint to which the command applies; empty if the verb takes no endpoint ID
	Arguments  string // words after VerbSettings, separated by one space; empty for other verbs
	BodyLength int    // length in bytes of the body after the line: BYTES of "settings put ID EXPECT NAME BYTES"; 0 for other commands
}

// ParseCommand parses a line without its line feed. Words are separated by spaces or tabs, and a carriage return at the end
// is ignored. An error's text fits on one line and may be shown to the operator.
func ParseCommand(line []byte) (Command, error) {
	if len(line) >= maxLineBytes {
		return Command{}, errLineTooLong
	}
	line = bytes.TrimSuffix(line, []byte("\r"))
	if !utf8.Valid(line) || bytes.ContainsFunc(line, isControl) {
		return Command{}, errors.New("the line is no text")
	}
	words := bytes.Fields(line)
	if len(words) == 0 {
		return Command{}, errors.New("the line is empty")
	}
	c := Command{Verb: Verb(words[0])}
	takesID, isKnown := takesEndpointID[c.Verb]
	switch {
	case !isKnown:
		return Command{}, fmt.Errorf(
			"%.40q is none of check, vars, peers, settings, versions, set-down ID, set-up ID", words[0])
	case c.Verb == VerbSettings && len(words) > 1:
		return c.parseSettings(words[1:])
	case takesID && len(words) == 1:
		return Command{}, fmt.Errorf("%s wants the id of an endpoint", c.Verb)
	case takesID && len(words) > 2, !takesID && len(words) > 1:
		return Command{}, fmt.Errorf("%s: there is more on the line than it takes", c.Verb)
	case takesID:
		c.EndpointID = string(words[1])
	}
	return c, nil
}

// isControl reports whether a character is a control character that a line must not contain: any but the tab.
func isControl(r rune) bool { return r < ' ' && r != '\t' || r == 0x7f }

// parseSettings parses the words after VerbSettings. It interprets only a body's length and leaves the rest to the handler.
func (c Command) parseSettings(words [][]byte) (Command, error) {
	c.Arguments = string(bytes.Join(words, []byte(" ")))
	if string(words[0]) != putArgument {
		return c, nil
	}
	length, err := strconv.Atoi(string(words[len(words)-1]))
	if err != nil || length < 0 {
		return Command{}, errors.New("settings put: the last word must be how many bytes follow the line")
	}
	c.BodyLength = length
	return c, nil
}
