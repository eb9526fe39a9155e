package simwire

import (
	"bytes"
	"errors"
	"fmt"
	"reflect"
	"strings"
	"testing"
	"time"

	"tuliprock/balance"
)

// recorder keeps the events it is given, as text.
type recorder struct {
	got     []string
	started map[int]balance.Settings
	ends    int
}

func (r *recorder) add(format string, args ...any) {
	r.got = append(r.got, fmt.Sprintf(format, args...))
}

func (r *recorder) Start(i int, s balance.Settings) error { r.started[i] = s; return nil }
func (r *recorder) Stop(i int) error                      { delete(r.started, i); return nil }
func (r *recorder) EndBatch() error                       { r.ends++; return nil }
func (r *recorder) Instance(i int) (balance.Events, error) {
	if _, ok := r.started[i]; !ok {
		return nil, errors.New("never started")
	}
	return r, nil
}
func (r *recorder) EndpointList(now time.Duration, l balance.List) { r.add("%v list %+v", now, l) }
func (r *recorder) Request(now time.Duration, q balance.Request)   { r.add("%v request %+v", now, q) }
func (r *recorder) StreamStarted(now time.Duration, id string, n int) {
	r.add("%v stream %s %d", now, id, n)
}
func (r *recorder) BodySent(now time.Duration, id string, n int, deadline time.Duration) {
	r.add("%v sent %s %d %v", now, id, n, deadline)
}
func (r *recorder) Outcome(now time.Duration, o balance.Outcome)    { r.add("%v outcome %+v", now, o) }
func (r *recorder) ClientLeft(now time.Duration, id string)         { r.add("%v left %s", now, id) }
func (r *recorder) Timer(now time.Duration)                         { r.add("%v timer", now) }
func (r *recorder) Share(time.Duration, int, int)                   {}
func (r *recorder) Bar(time.Duration, string, bool)                 {}
func (r *recorder) Knows(string) bool                               { return false }
func (r *recorder) Census() (listed, avoided int)                   { return 0, 0 }
func (r *recorder) Probed(now time.Duration, p balance.ProbeResult) { r.add("%v probed %+v", now, p) }

func read(text string) (*recorder, error) {
	r := &recorder{started: map[int]balance.Settings{}}
	return r, NewReader(strings.NewReader(text)).Run(r)
}

const head = "CLOCK\tAtTimeUs=1000\nSWITCH_TO\tSidecar=3\nSTART\tRandomSeed=9\tConfig={}\n"

func TestEventsAreRead(t *testing.T) {
	r, err := read(head +
		"LEDGER\tRef=0\tHosts=1\nENDPOINT\tSku=big\tPhase=ready\tScale=1.5\tEndpoint=h:1\tPack=2\tLastStartUs=7\tZone=z\n" +
		"REGISTRY\tMode=C\tGen=41\tRef=0\nREGISTRY\tMode=X\tGen=41\n" +
		"CALL\tRid=r1\tBand=c\tTeam=t\tRouteKey=5\tValidUntilUs=2000\tEstimateUs=50\tAttrs=3\tLater=x\n" +
		"CALL\tRid=r2\tBand=c\tValidUntilUs=2000\tEstimateUs=50\n" +
		"A_LATER_MESSAGE\tx=1\n" +
		"GO\n\nCLOCK\tAtTimeUs=1000\nSWITCH_TO\tSidecar=3\n" +
		"ATTEMPT_END\tRid=r1\tSpentUs=5\tDoneFlag=1\tEndpoint=h:1\tStateCode=Ok\tN=0\tLoad=active:2\n" +
		"CHECKED\tEndpoint=h:1\tStateCode=Ok\tSpentUs=3\tLoad=active:2.5,waiting:1\n" +
		"FLOWING\tRid=r2\tN=1\tEndpoint=h:1\tSpentUs=4\nLEFT\tRid=r2\nBELL\tMark=0\nGO\n")
	if err != nil {
		t.Fatal(err)
	}
	want := []string{
		"1ms list {Failed:false Complete:true Entries:[{ID:h:1 State:0 Zone:z Kind:big Cell:2 Started:7µs}]}",
		"1ms list {Failed:true Complete:false Entries:[]}",
		"1ms request {ID:r1 Class:c Tenant:t Deadline:2ms Repeat:true Flow:0s}",
		"1ms request {ID:r2 Class:c Tenant: Deadline:2ms Repeat:false Flow:0s}",
		"1ms outcome {ID:r1 Attempt:0 Endpoint:h:1 Result:0 Took:5µs Final:true Reused:false Spent:false}",
		"1ms probed {Endpoint:h:1 Result:0 Load:{Known:true Held:2.5}}",
		"1ms stream r2 1", "1ms left r2", "1ms timer"}
	if !reflect.DeepEqual(r.got, want) {
		t.Errorf("got\n%s\nwant\n%s", strings.Join(r.got, "\n"), strings.Join(want, "\n"))
	}
	if r.ends != 2 || r.started[3].Seed != 9 {
		t.Errorf("%d batches, seed %d", r.ends, r.started[3].Seed)
	}
}

func TestSettingsAreRead(t *testing.T) {
	r, err := read("CLOCK\tAtTimeUs=0\nSWITCH_TO\tSidecar=0\nSTART\tRandomSeed=18446744073709551615\tConfig=" +
		`{"NInstances":2,"Me":1,"Tier":1,"Tiers":["a","b","c"],"Zone":"z","Lanes":[{"Name":"n","Semantics":"idempotency_key",` +
		`"Group":"cell","OnTimeUs":1,"HardLimitUs":2,"WindowUs":3,"Credit":4,"LateValue":0.5,"AimStretch":2}],` +
		`"Accounts":[{"Name":"t","QuotaPerS":6.5}],"Discovery":"subscribe","ResolutionUs":5000,"New":{"x":[1]},` +
		`"Permissions":{"MayCancel":true,"MayProbe":true,"SecondCopies":true,"RetryAfter":true,` +
		`"TryLimit":4,"MaxRetryAfterUs":7},"Report":{"Fields":["active"],"How":"pull"},` +
		`"Rules":{"AnswerSlackUs":8,"AskWithinUs":9,"ColdFrom":0.3,"ColdUs":10,"DrainGraceUs":11,"FallMultiple":4,` +
		`"TipAfterUs":12}}` + "\nGO\n")
	if err != nil {
		t.Fatal(err)
	}
	us := time.Microsecond
	want := balance.Settings{Seed: 1<<64 - 1, Balancers: 2, Index: 1, Tier: 1, TiersBelow: 1,
		Classes: []balance.Class{{Name: "n", Effect: balance.Keyed, Group: balance.GroupCell, Window: 3 * us, Aim: us}},
		Tenants: []balance.Tenant{{Name: "t", Quota: 6.5}}, MustSubscribe: true, AskWithin: 9 * us, MaxAttempts: 4,
		MayCancel: true, MayProbe: true, MaxRetryAfter: 7 * us,
		Resolution: 5 * time.Millisecond, ColdFrom: 0.3, ColdFor: 10 * us}
	if got := r.started[0]; !reflect.DeepEqual(got, want) {
		t.Errorf("got  %+v\nwant %+v", got, want)
	}
}

func TestBadInputIsAnError(t *testing.T) {
	for name, text := range map[string]string{
		"an event outside a batch":      "BELL\tMark=1\n",
		"a batch within a batch":        "CLOCK\tAtTimeUs=1\nCLOCK\tAtTimeUs=2\n",
		"a clock that runs backwards":   "CLOCK\tAtTimeUs=2\nGO\nCLOCK\tAtTimeUs=1\n",
		"a clock without a time":        "CLOCK\n",
		"a part without a value":        head + "BELL\tMark\n",
		"a part without a name":         head + "BELL\t=5\n",
		"a line without a name":         head + "\tMark=1\n",
		"an event before SWITCH_TO":     "CLOCK\tAtTimeUs=1\nBELL\tMark=1\n",
		"an instance never started":     "CLOCK\tAtTimeUs=1\nSWITCH_TO\tSidecar=4\nBELL\tMark=1\n",
		"an instance that is no number": "CLOCK\tAtTimeUs=1\nSWITCH_TO\tSidecar=x\n",
		"START without a seed":          "CLOCK\tAtTimeUs=1\nSWITCH_TO\tSidecar=1\nSTART\tConfig={}\n",
		"START without Config":          "CLOCK\tAtTimeUs=1\nSWITCH_TO\tSidecar=1\nSTART\tRandomSeed=1\n",
		"a Config that is not JSON":     "CLOCK\tAtTimeUs=1\nSWITCH_TO\tSidecar=1\nSTART\tRandomSeed=1\tConfig={\n",
		"an unknown semantics":          "CLOCK\tAtTimeUs=1\nSWITCH_TO\tSidecar=1\nSTART\tRandomSeed=1\tConfig={\"Lanes\":[{}]}\n",
		"an unknown list":               head + "REGISTRY\tMode=F\tGen=1\tRef=3\n",
		"a list number out of range":    head + "LEDGER\tRef=16\tHosts=0\n",
		"an unknown mode":               head + "REGISTRY\tMode=Q\tGen=1\tRef=0\n",
		"a list that is too short":      head + "LEDGER\tRef=0\tHosts=2\nENDPOINT\tPhase=ready\tEndpoint=h\nGO\n",
		"an entry without a list":       head + "ENDPOINT\tPhase=ready\tEndpoint=h\n",
		"an entry without a phase":      head + "LEDGER\tRef=0\tHosts=1\nENDPOINT\tEndpoint=h\n",
		"a CALL without an id":          head + "CALL\tBand=c\tValidUntilUs=5\n",
		"a CALL with an empty id":       head + "CALL\tRid=\tBand=c\tValidUntilUs=5\n",
		"a CALL without a deadline":     head + "CALL\tRid=r\tBand=c\n",
		"a negative number":             head + "CALL\tRid=r\tBand=c\tValidUntilUs=-5\n",
		"a number that is too large":    head + "CALL\tRid=r\tBand=c\tValidUntilUs=99999999999999999999\n",
		"a time that is too large":      head + "CALL\tRid=r\tBand=c\tValidUntilUs=9999999999999999999\n",
		"an unknown outcome":            head + "ATTEMPT_END\tRid=r\tN=0\tEndpoint=h\tStateCode=Huh\tSpentUs=1\n",
		"an outcome without a number":   head + "ATTEMPT_END\tRid=r\tEndpoint=h\tStateCode=Ok\tSpentUs=1\n",
		"a load that is no pair":        head + "CHECKED\tEndpoint=h\tStateCode=Ok\tSpentUs=1\tLoad=active\n",
		"input that ends in a batch":    head,
		"a last line without its end":   head + "GO",
	} {
		if _, err := read(text); err == nil {
			t.Errorf("%s is taken", name)
		} else if strings.Contains(err.Error(), "\n") {
			t.Errorf("%s: the error is not one line: %q", name, err)
		}
	}
}

// TestActionsComeBackAsWritten reads a reply's lines with the reader's own splitter.
func TestActionsComeBackAsWritten(t *testing.T) {
	var r Reply
	a, b := r.Of(3), r.Of(5)
	a.Send("r1", "h:1", 1500*time.Nanosecond)
	a.Cancel("r1", 2)
	b.Refuse("r2", 0)
	b.Refuse("r3", time.Millisecond)
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
	rd := NewReader(nil)
	for _, line := range strings.Split(strings.TrimSpace(got), "\n") {
		name, rest, _ := bytes.Cut([]byte(line), []byte("\t"))
		if err := rd.split(rest, string(name)); err != nil {
			t.Error(err)
		}
		back := string(name)
		for _, p := range rd.parts {
			back += "\t" + string(p.key) + "=" + string(p.value)
		}
		if back != line {
			t.Errorf("%q came back as %q", line, back)
		}
	}
	if got := string(r.Bytes()); got != "FINISHED\n" {
		t.Errorf("an empty reply is %q", got)
	}
}

func FuzzReader(f *testing.F) {
	f.Add(head + "GO\n")
	f.Add("CLOCK\tAtTimeUs=8412250\nGO\n\n")
	f.Add(head + "LEDGER\tRef=0\tHosts=1\nENDPOINT\tPhase=ready\tEndpoint=h\nREGISTRY\tMode=D\tGen=1\tRef=0\nGO\n")
	f.Add(head + "CHECKED\tEndpoint=h:1\tStateCode=Ok\tSpentUs=3\tLoad=active:2.5,waiting:1\nGO\n")
	f.Fuzz(func(t *testing.T, text string) { // any text is either read or an error, never a panic
		if _, err := read(text); err != nil && err.Error() == "" {
			t.Error("an error without words")
		}
	})
}
