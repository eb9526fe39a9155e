package main

import (
	"bytes"
	"strings"
	"testing"
)

// startedInstance begins a batch for an instance that it starts, with one class and one endpoint.
const startedInstance = "CLOCK\tAtTimeUs=1000\nSWITCH_TO\tSidecar=3\nSTART\tRandomSeed=9\tConfig={\"Lanes\":[{\"Name\":\"c\"," +
	"\"Semantics\":\"read_like\",\"OnTimeUs\":1000000}]}\nLEDGER\tRef=0\tHosts=1\nENDPOINT\tPhase=ready\tEndpoint=h:1\n" +
	"REGISTRY\tMode=C\tGen=1\tRef=0\n"

func TestRunWritesOneReplyPerBatch(t *testing.T) {
	var out bytes.Buffer
	err := run(strings.NewReader(startedInstance+"CALL\tRid=r1\tBand=c\tValidUntilUs=2000000\nGO\n\nCLOCK\tAtTimeUs=1000\nGO\n"), &out)
	if err != nil {
		t.Fatal(err)
	}
	text := out.String()
	if !strings.Contains(text, "ON_BEHALF\tSidecar=3\n") || !strings.Contains(text, "DISPATCH\tRid=r1\tEndpoint=h:1\t") ||
		strings.Count(text, "FINISHED\n") != 2 || !strings.HasSuffix(text, "FINISHED\nFINISHED\n") {
		t.Errorf("reply %q", text)
	}
}

func TestRunEndsWithoutErrorAtEndOfInput(t *testing.T) {
	var out bytes.Buffer
	if err := run(strings.NewReader(""), &out); err != nil || out.Len() > 0 {
		t.Errorf("%v, output %q", err, out.String())
	}
}

func TestRunRejectsMessagesToAStoppedInstance(t *testing.T) {
	for _, after := range []string{"BELL\tMark=0\n", "SHUTDOWN\n"} {
		var out bytes.Buffer
		err := run(strings.NewReader(startedInstance+"SHUTDOWN\n"+after), &out)
		if err == nil || !strings.Contains(err.Error(), "never started") {
			t.Errorf("%q after SHUTDOWN: %v", after, err)
		}
		if out.Len() > 0 {
			t.Errorf("output %q", out.String())
		}
	}
}
