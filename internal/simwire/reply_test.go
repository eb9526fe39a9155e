package simwire

import (
	"strings"
	"testing"
	"time"
)

// A reply names the simulated sidecar before each run of consecutive actions of one sidecar. The Reader's parser must accept the
// lines: parsed and joined again, they must be unchanged.
func TestReplyEncodesActionsByInstance(t *testing.T) {
	var r Reply
	a, b := r.Host(3), r.Host(5)
	a.Send("r1", "h:1", 1500*time.Nanosecond)
	a.Cancel("r1", 2)
	b.Reject("r2", 0)
	b.Reject("r3", time.Millisecond)
	b.Fail("r4")
	b.Probe("h:2")
	b.Subscribe()
	b.Timer(5 * time.Microsecond)
	b.Log("two\nlines")
	want := "ON_BEHALF\tSidecar=3\nDISPATCH\tRid=r1\tEndpoint=h:1\tPatienceUs=2\nSTOP_ATTEMPT\tRid=r1\tN=2\n" +
		"ON_BEHALF\tSidecar=5\nSAY_NO\tRid=r2\nSAY_NO\tRid=r3\tRetryInUs=1000\nFINISH_ERROR\tRid=r4\n" +
		"HEALTH_CHECK\tEndpoint=h:2\nLISTEN\tActive=1\nSET_TIMER\tInstantUs=5\tMark=0\n" +
		"DEBUG\tWords=two lines\nFINISHED\n"
	got := string(r.Bytes())
	if got != want {
		t.Errorf("got\n%s\nwant\n%s", got, want)
	}
	var m message
	for line := range strings.SplitSeq(strings.TrimSpace(got), "\n") {
		if err := m.parse([]byte(line)); err != nil {
			t.Error(err)
		}
		rejoined := string(m.name)
		for _, f := range m.fields {
			rejoined += "\t" + string(f.key) + "=" + string(f.value)
		}
		if rejoined != line {
			t.Errorf("parsed and joined again the line is %q, want %q", rejoined, line)
		}
	}
	if got := string(r.Bytes()); got != "FINISHED\n" {
		t.Errorf("the empty reply is %q, want %q", got, "FINISHED\n")
	}
}
