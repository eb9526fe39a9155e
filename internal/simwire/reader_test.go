package simwire

import (
	"errors"
	"reflect"
	"strings"
	"testing"
	"time"

	"tuliprock/balance"
)

// recordedEvent is a recorded call of a method of balance.Events.
type recordedEvent struct {
	now  time.Duration
	name string // short name of the method, such as "list" for EndpointList
	args any    // the method's argument after now; if there are several, a []any of them
}

// recorder is a Handler that records the events for all simulated sidecars.
type recorder struct {
	events          []recordedEvent
	runningSettings map[int]balance.Settings // settings of the running simulated sidecars, by number
	batches         int                      // number of complete batches
}

func (r *recorder) record(now time.Duration, name string, args any) {
	r.events = append(r.events, recordedEvent{now, name, args})
}

func (r *recorder) Start(i int, s balance.Settings) error { r.runningSettings[i] = s; return nil }
func (r *recorder) Stop(i int) error                      { delete(r.runningSettings, i); return nil }
func (r *recorder) EndBatch() error                       { r.batches++; return nil }
func (r *recorder) Instance(i int) (balance.Events, error) {
	if _, ok := r.runningSettings[i]; !ok {
		return nil, errors.New("never started")
	}
	return r, nil
}

func (r *recorder) EndpointList(now time.Duration, l balance.EndpointUpdate) {
	r.record(now, "list", l)
}
func (r *recorder) Request(now time.Duration, q balance.Request) { r.record(now, "request", q) }
func (r *recorder) StreamStarted(now time.Duration, id string, n int) {
	r.record(now, "stream", []any{id, n})
}
func (r *recorder) BodySent(now time.Duration, id string, n int, deadline time.Duration) {
	r.record(now, "sent", []any{id, n, deadline})
}
func (r *recorder) BodyOverdue(now time.Duration, id string, writtenAt time.Duration) {
	r.record(now, "overdue", []any{id, writtenAt})
}
func (r *recorder) Outcome(now time.Duration, o balance.Outcome)    { r.record(now, "outcome", o) }
func (r *recorder) ClientDisconnected(now time.Duration, id string) { r.record(now, "left", id) }
func (r *recorder) Timer(now time.Duration)                         { r.record(now, "timer", nil) }
func (r *recorder) Probed(now time.Duration, p balance.ProbeResult) { r.record(now, "probed", p) }
func (r *recorder) SetBalancerCount(time.Duration, int, int)        {}
func (r *recorder) SetEjected(time.Duration, string, bool)          {}
func (r *recorder) IsKnown(string) bool                             { return false }
func (r *recorder) EndpointCounts() (listed, ejected int)           { return 0, 0 }

// read passes a text to a Reader and returns what its Handler recorded.
func read(text string) (*recorder, error) {
	r := &recorder{runningSettings: map[int]balance.Settings{}}
	return r, NewReader(strings.NewReader(text)).Run(r)
}

// openBatch is the beginning of a batch, which starts simulated sidecar 3. The batch has no end.
const openBatch = "CLOCK\tAtTimeUs=1000\nSWITCH_TO\tSidecar=3\nSTART\tRandomSeed=9\tConfig={}\n"

func TestReaderReportsEvents(t *testing.T) {
	r, err := read(openBatch +
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
	const ms, us = time.Millisecond, time.Microsecond
	endpoint := balance.Endpoint{ID: "h:1", Zone: "z", Kind: "big", Cell: 2, StartedAt: 7 * us}
	want := []recordedEvent{
		{ms, "list", balance.EndpointUpdate{Complete: true, Endpoints: []balance.Endpoint{endpoint}}},
		{ms, "list", balance.EndpointUpdate{HasFailed: true}},
		{ms, "request", balance.Request{ID: "r1", Class: "c", Tenant: "t", Deadline: 2 * ms, IsRetry: true}},
		{ms, "request", balance.Request{ID: "r2", Class: "c", Deadline: 2 * ms}},
		{ms, "outcome", balance.Outcome{ID: "r1", Endpoint: "h:1", Result: balance.OK, Latency: 5 * us, IsFinal: true}},
		{ms, "probed", balance.ProbeResult{Endpoint: "h:1", Result: balance.OK, Load: balance.Load{IsReported: true, Requests: 2.5}}},
		{ms, "stream", []any{"r2", 1}},
		{ms, "left", "r2"},
		{ms, "timer", nil},
	}
	if !reflect.DeepEqual(r.events, want) {
		t.Errorf("got\n%+v\nwant\n%+v", r.events, want)
	}
	if r.batches != 2 || r.runningSettings[3].Seed != 9 {
		t.Errorf("read %d batches and seed %d, want 2 and 9", r.batches, r.runningSettings[3].Seed)
	}
}

func TestReaderRejectsMalformedInput(t *testing.T) {
	for name, text := range map[string]string{
		"an event outside a batch":      "BELL\tMark=1\n",
		"a batch within a batch":        "CLOCK\tAtTimeUs=1\nCLOCK\tAtTimeUs=2\n",
		"a clock that runs backwards":   "CLOCK\tAtTimeUs=2\nGO\nCLOCK\tAtTimeUs=1\n",
		"a clock without a time":        "CLOCK\n",
		"a part without a value":        openBatch + "BELL\tMark\n",
		"a part without a name":         openBatch + "BELL\t=5\n",
		"a line without a name":         openBatch + "\tMark=1\n",
		"an event before SWITCH_TO":     "CLOCK\tAtTimeUs=1\nBELL\tMark=1\n",
		"an instance never started":     "CLOCK\tAtTimeUs=1\nSWITCH_TO\tSidecar=4\nBELL\tMark=1\n",
		"an instance that is no number": "CLOCK\tAtTimeUs=1\nSWITCH_TO\tSidecar=x\n",
		"START without a seed":          "CLOCK\tAtTimeUs=1\nSWITCH_TO\tSidecar=1\nSTART\tConfig={}\n",
		"START without Config":          "CLOCK\tAtTimeUs=1\nSWITCH_TO\tSidecar=1\nSTART\tRandomSeed=1\n",
		"a Config that is not JSON":     "CLOCK\tAtTimeUs=1\nSWITCH_TO\tSidecar=1\nSTART\tRandomSeed=1\tConfig={\n",
		"an unknown semantics":          "CLOCK\tAtTimeUs=1\nSWITCH_TO\tSidecar=1\nSTART\tRandomSeed=1\tConfig={\"Lanes\":[{}]}\n",
		"an unknown list":               openBatch + "REGISTRY\tMode=F\tGen=1\tRef=3\n",
		"a list number out of range":    openBatch + "LEDGER\tRef=16\tHosts=0\n",
		"an unknown mode":               openBatch + "REGISTRY\tMode=Q\tGen=1\tRef=0\n",
		"a list that is too short":      openBatch + "LEDGER\tRef=0\tHosts=2\nENDPOINT\tPhase=ready\tEndpoint=h\nGO\n",
		"an entry without a list":       openBatch + "ENDPOINT\tPhase=ready\tEndpoint=h\n",
		"an entry without a phase":      openBatch + "LEDGER\tRef=0\tHosts=1\nENDPOINT\tEndpoint=h\n",
		"a CALL without an id":          openBatch + "CALL\tBand=c\tValidUntilUs=5\n",
		"a CALL with an empty id":       openBatch + "CALL\tRid=\tBand=c\tValidUntilUs=5\n",
		"a CALL without a deadline":     openBatch + "CALL\tRid=r\tBand=c\n",
		"a negative number":             openBatch + "CALL\tRid=r\tBand=c\tValidUntilUs=-5\n",
		"a number that is too large":    openBatch + "CALL\tRid=r\tBand=c\tValidUntilUs=99999999999999999999\n",
		"a time that is too large":      openBatch + "CALL\tRid=r\tBand=c\tValidUntilUs=9999999999999999999\n",
		"an unknown outcome":            openBatch + "ATTEMPT_END\tRid=r\tN=0\tEndpoint=h\tStateCode=Huh\tSpentUs=1\n",
		"an outcome without a number":   openBatch + "ATTEMPT_END\tRid=r\tEndpoint=h\tStateCode=Ok\tSpentUs=1\n",
		"a load that is no pair":        openBatch + "CHECKED\tEndpoint=h\tStateCode=Ok\tSpentUs=1\tLoad=active\n",
		"input that ends in a batch":    openBatch,
		"a last line without its end":   openBatch + "GO",
	} {
		t.Run(name, func(t *testing.T) {
			if _, err := read(text); err == nil {
				t.Errorf("Run returned no error for %q", text)
			} else if strings.Contains(err.Error(), "\n") {
				t.Errorf("the error is %q, want a single line", err)
			}
		})
	}
}

func FuzzReader(f *testing.F) {
	f.Add(openBatch + "GO\n")
	f.Add("CLOCK\tAtTimeUs=8412250\nGO\n\n")
	f.Add(openBatch + "LEDGER\tRef=0\tHosts=1\nENDPOINT\tPhase=ready\tEndpoint=h\nREGISTRY\tMode=D\tGen=1\tRef=0\nGO\n")
	f.Add(openBatch + "CHECKED\tEndpoint=h:1\tStateCode=Ok\tSpentUs=3\tLoad=active:2.5,waiting:1\nGO\n")
	f.Fuzz(func(t *testing.T, text string) { // a malformed text must give an error and not a panic
		if _, err := read(text); err != nil && err.Error() == "" {
			t.Error("the error has an empty text")
		}
	})
}
