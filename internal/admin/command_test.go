package admin

import (
	"bytes"
	"strings"
	"testing"
)

func TestParseCommandAcceptsOnlyValidLines(t *testing.T) {
	for line, want := range map[string]Command{
		"check":                     {Verb: VerbCheck},
		"check\r":                   {Verb: VerbCheck},
		"vars":                      {Verb: VerbVars},
		"set-down s-1":              {Verb: VerbSetDown, EndpointID: "s-1"},
		"set-up s-1":                {Verb: VerbSetUp, EndpointID: "s-1"},
		"  set-down \t s-1 \r":      {Verb: VerbSetDown, EndpointID: "s-1"},
		"set-down ü":                {Verb: VerbSetDown, EndpointID: "ü"},
		"settings":                  {Verb: VerbSettings},
		"settings  history \t x":    {Verb: VerbSettings, Arguments: "history x"},
		"settings put a - shared 7": {Verb: VerbSettings, Arguments: "put a - shared 7", BodyLength: 7},
	} {
		if got, err := ParseCommand([]byte(line)); err != nil || got != want {
			t.Errorf("%q: got %+v, error %v, want %+v", line, got, err, want)
		}
	}
	for line, want := range map[string]string{
		"":                        "empty",
		"   ":                     "empty",
		"help":                    "none of",
		"CHECK":                   "none of",
		"check now":               "more on the line",
		"vars s-1":                "more on the line",
		"versions x":              "more on the line",
		"set-down":                "wants the id",
		"set-up ":                 "wants the id",
		"set-down a b":            "more on the line",
		"check\x00":               "no text",
		"\xff\xfe":                "no text",
		"set-down a\rb":           "no text",
		"settings put a - shared": "how many bytes",
		"settings put -1":         "how many bytes",
		"set-down " + strings.Repeat("x", maxLineBytes): "longer than",
	} {
		if got, err := ParseCommand([]byte(line)); err == nil || !strings.Contains(err.Error(), want) {
			t.Errorf("%q: got %+v, error %v, want an error that contains %q", line, got, err, want)
		}
	}
}

func FuzzParseCommandReturnsValidCommandOrOneLineError(f *testing.F) {
	f.Add([]byte("set-down s-12"))
	f.Add([]byte("check"))
	f.Fuzz(func(t *testing.T, line []byte) {
		c, err := ParseCommand(line)
		if err != nil {
			if strings.ContainsAny(err.Error(), "\r\n") {
				t.Errorf("%q: error %q has more than one line", line, err)
			}
			return
		}
		takesID, isKnown := takesEndpointID[c.Verb]
		if !isKnown || takesID != (c.EndpointID != "") || !bytes.Contains(line, []byte(c.EndpointID)) ||
			c.BodyLength < 0 || c.Arguments != "" && c.Verb != VerbSettings {
			t.Errorf("%q was parsed as %+v, which breaks the rules for its verb or has an ID that is not on the line", line, c)
		}
	})
}
