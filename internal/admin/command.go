package admin

import (
	"bytes"
	"errors"
	"fmt"
	"strconv"
	"unicode/utf8"
)

// Verb is the first word of a command. Operators' scripts send it: its text never changes.
type Verb string

// The verbs of the protocol.
const (
	VerbCheck    Verb = "check"    // whether this process takes clients
	VerbVars     Verb = "vars"     // all metrics
	VerbSetDown  Verb = "set-down" // ejects an endpoint manually
	VerbSetUp    Verb = "set-up"   // ends an endpoint's manual ejection
	VerbPeers    Verb = "peers"    // the members of the cluster
	VerbSettings Verb = "settings" // the agreed settings; arguments read or change them
	VerbVersions Verb = "versions" // the first line of settings: which version is in force
)

// putArgument is the argument of settings that announces a body.
const putArgument = "put"

// takesEndpointID tells of each verb whether an endpoint's ID follows. A verb that is not a key is not known.
var takesEndpointID = map[Verb]bool{
	VerbCheck:    false,
	VerbVars:     false,
	VerbSetDown:  true,
	VerbSetUp:    true,
	VerbPeers:    false,
	VerbSettings: false,
	VerbVersions: false,
}

// maxLineBytes is how many bytes a line may have, its end included. IDs of endpoints are some tens of bytes long.
const maxLineBytes = 512

var errLineTooLong = fmt.Errorf("the line is longer than %d bytes", maxLineBytes)

// Command is a parsed line.
type Command struct {
	Verb       Verb
	EndpointID string // where the verb takes one
	Arguments  string // what follows settings, with one space between words
	BodyLength int    // bytes that follow the line, as the last word of "settings put ID EXPECT NAME BYTES" says
}

// ParseCommand reads a line without its line feed. Words are separated by spaces or tabs, and a carriage return at the
// end is ignored. The text of an error is one line that may be shown to the operator.
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
	wantsID, isKnown := takesEndpointID[c.Verb]
	switch {
	case !isKnown:
		return Command{}, fmt.Errorf(
			"%.40q is none of check, vars, peers, settings, versions, set-down ID, set-up ID", words[0])
	case c.Verb == VerbSettings && len(words) > 1:
		return c.parseSettings(words[1:])
	case wantsID && len(words) == 1:
		return Command{}, fmt.Errorf("%s wants the id of an endpoint", c.Verb)
	case wantsID && len(words) > 2, !wantsID && len(words) > 1:
		return Command{}, fmt.Errorf("%s: there is more on the line than it takes", c.Verb)
	case wantsID:
		c.EndpointID = string(words[1])
	}
	return c, nil
}

// isControl tells whether a character may not stand in a line.
func isControl(r rune) bool { return r < ' ' && r != '\t' || r == 0x7f }

// parseSettings reads the words behind settings. Only the length of a body matters here; the handler reads the rest.
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
