package main

import (
	"bytes"
	"strings"
	"testing"
)

// openBatch is the beginning of a batch, which starts simulated sidecar 3 with one class and one endpoint. The batch has no end.
const openBatch = "CLOCK\tAtTimeUs=1000\nSWITCH_TO\tSidecar=3\nSTART\tRandomSeed=9\tConfig={\"Lanes\":[{\"Name\":\"c\"," +
	"\"Semantics\":\"read_like\",\"OnTimeUs\":1000000}]}\nLEDGER\tRef=0\tHosts=1\nENDPOINT\tPhase=ready\tEndpoint=h:1\n" +
	"REGISTRY\tMode=C\tGen=1\tRef=0\n"

func TestRunWritesOneReplyPerBatch(t *testing.T) {
	var out bytes.Buffer
	err := run(strings.NewReader(openBatch+"CALL\tRid=r1\tBand=c\tValidUntilUs=2000000\nGO\n\nCLOCK\tAtTimeUs=1000\nGO\n"), &out)
	if err != nil {
		t.Fatal(err)
	}
	text := out.String()
	if !strings.Contains(text, "ON_BEHALF\tSidecar=3\n") || !strings.Contains(text, "DISPATCH\tRid=r1\tEndpoint=h:1\t") ||
		strings.Count(text, "FINISHED\n") != 2 || !strings.HasSuffix(text, "FINISHED\nFINISHED\n") {
		t.Errorf("replies are %q, want one with a DISPATCH of r1 to h:1 and an empty one", text)
	}
}

func TestRunEndsWithoutErrorAtEndOfInput(t *testing.T) {
	var out bytes.Buffer
	if err := run(strings.NewReader(""), &out); err != nil || out.Len() > 0 {
		t.Errorf("error %v and output %q, want neither", err, out.String())
	}
}

func TestRunRejectsMessagesToAStoppedInstance(t *testing.T) {
	for _, nextMessage := range []string{"BELL\tMark=0\n", "SHUTDOWN\n"} {
		var out bytes.Buffer
		err := run(strings.NewReader(openBatch+"SHUTDOWN\n"+nextMessage), &out)
		if err == nil || !strings.Contains(err.Error(), "instance 3 is not running") {
			t.Errorf("%q after SHUTDOWN gives error %v, want one with \"instance 3 is not running\"", nextMessage, err)
		}
		if out.Len() > 0 {
			t.Errorf("output is %q, want none", out.String())
		}
	}
}
