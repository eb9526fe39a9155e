// Package admin is the operators' address: one call on a line, one answer, close. It asks the parts below and decides
// nothing.
package admin

import (
	"bytes"
	"errors"
	"fmt"
	"strconv"
	"unicode/utf8"
)

// Verb is what is called for.
type Verb string

// The words.
const (
	VerbCheck   Verb = "check"    // does this process take clients?
	VerbVars    Verb = "vars"     // the figures
	VerbSetDown Verb = "set-down" // nothing more to an endpoint
	VerbSetUp   Verb = "set-up"   // use it again
	VerbPeers   Verb = "peers"    // who of the fleet is there

	VerbSettings Verb = "settings" // what is agreed on; more words say what is to be done with it
	VerbVersions Verb = "versions" // the first line of that
)

// takesID tells of each word whether an endpoint's id follows.
var takesID = map[Verb]bool{VerbCheck: false, VerbVars: false, VerbSetDown: true, VerbSetUp: true, VerbPeers: false, VerbSettings: false, VerbVersions: false}

// maxLineBytes is how many bytes a line may have, its end included. Ids of endpoints are some tens long.
const maxLineBytes = 512

var errLineTooLong = fmt.Errorf("the line is longer than %d bytes", maxLineBytes)

// Command is a line that was understood.
type Command struct {
	Verb       Verb
	EndpointID string // of an endpoint, where the word takes one
	Arguments  string // what follows settings, each word behind one space
	BodyLength int    // bytes that follow the line, as its last word says: settings put ID EXPECT NAME BYTES
}

// ParseCommand reads a line without its end. Words are parted by spaces or tabs. An error says what is wrong, in text that is
// fit to be shown.
func ParseCommand(line []byte) (Command, error) {
	if len(line) >= maxLineBytes {
		return Command{}, errLineTooLong
	}
	line = bytes.TrimSuffix(line, []byte("\r"))
	if !utf8.Valid(line) || bytes.ContainsFunc(line, func(r rune) bool { return r < ' ' && r != '\t' || r == 0x7f }) {
		return Command{}, errors.New("the line is no text")
	}
	words := bytes.Fields(line)
	if len(words) == 0 {
		return Command{}, errors.New("the line is empty")
	}
	c := Command{Verb: Verb(words[0])}
	wantsID, known := takesID[c.Verb]
	switch {
	case !known:
		return Command{}, fmt.Errorf("%.40q is none of check, vars, peers, settings, versions, set-down ID, set-up ID", words[0])
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

const verbPut = "put" // the word behind settings that a body follows

// parseSettings reads what follows that word. What it asks for is for the daemon to find out.
func (c Command) parseSettings(words [][]byte) (Command, error) {
	c.Arguments = string(bytes.Join(words, []byte(" ")))
	if string(words[0]) != verbPut {
		return c, nil
	}
	var err error
	c.BodyLength, err = strconv.Atoi(string(words[len(words)-1]))
	if err != nil || c.BodyLength < 0 {
		return Command{}, fmt.Errorf("settings put: the last word must be how many bytes follow the line")
	}
	return c, nil
}
