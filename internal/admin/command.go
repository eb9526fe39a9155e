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

// Word is what is called for.
type Word string

// The words.
const (
	Check   Word = "check"    // does this process take clients?
	Vars    Word = "vars"     // the figures
	SetDown Word = "set-down" // nothing more to an endpoint
	SetUp   Word = "set-up"   // use it again
	Peers   Word = "peers"    // who of the fleet is there

	Settings Word = "settings" // what is agreed on; more words say what is to be done with it
	Versions Word = "versions" // the first line of that
)

// takesID tells of each word whether an endpoint's id follows.
var takesID = map[Word]bool{Check: false, Vars: false, SetDown: true, SetUp: true, Peers: false, Settings: false, Versions: false}

// maxLine is how many bytes a line may have, its end included. Ids of endpoints are some tens long.
const maxLine = 512

var errTooLong = fmt.Errorf("the line is longer than %d bytes", maxLine)

// Call is a line that was understood.
type Call struct {
	Word Word
	ID   string // of an endpoint, where the word takes one
	More string // what follows settings, each word behind one space
	Body int    // bytes that follow the line, as its last word says: settings put ID EXPECT NAME BYTES
}

// Parse reads a line without its end. Words are parted by spaces or tabs. An error says what is wrong, in text that is
// fit to be shown.
func Parse(line []byte) (Call, error) {
	if len(line) >= maxLine {
		return Call{}, errTooLong
	}
	line = bytes.TrimSuffix(line, []byte("\r"))
	if !utf8.Valid(line) || bytes.ContainsFunc(line, func(r rune) bool { return r < ' ' && r != '\t' || r == 0x7f }) {
		return Call{}, errors.New("the line is no text")
	}
	words := bytes.Fields(line)
	if len(words) == 0 {
		return Call{}, errors.New("the line is empty")
	}
	c := Call{Word: Word(words[0])}
	wantsID, known := takesID[c.Word]
	switch {
	case !known:
		return Call{}, fmt.Errorf("%.40q is none of check, vars, peers, settings, versions, set-down ID, set-up ID", words[0])
	case c.Word == Settings && len(words) > 1:
		return c.settings(words[1:])
	case wantsID && len(words) == 1:
		return Call{}, fmt.Errorf("%s wants the id of an endpoint", c.Word)
	case wantsID && len(words) > 2, !wantsID && len(words) > 1:
		return Call{}, fmt.Errorf("%s: there is more on the line than it takes", c.Word)
	case wantsID:
		c.ID = string(words[1])
	}
	return c, nil
}

const put = "put" // the word behind settings that a body follows

// settings reads what follows that word. What it asks for is for the daemon to find out.
func (c Call) settings(words [][]byte) (Call, error) {
	c.More = string(bytes.Join(words, []byte(" ")))
	if string(words[0]) != put {
		return c, nil
	}
	var err error
	c.Body, err = strconv.Atoi(string(words[len(words)-1]))
	if err != nil || c.Body < 0 {
		return Call{}, fmt.Errorf("settings put: the last word must be how many bytes follow the line")
	}
	return c, nil
}
