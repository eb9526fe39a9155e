package crowd

import (
	"testing"
	"time"
)

// A kept connection on which nothing comes must count as unanswered for its whole wait, although earlier bytes came on it.
func TestUnansweredRequestOnKeptConnectionTakesItsWholeWait(t *testing.T) {
	endpoint, err := StartEndpoint()
	if err != nil {
		t.Fatal(err)
	}
	defer endpoint.Close()
	session, err := OpenSession(endpoint.Addr)
	if err != nil {
		t.Fatal(err)
	}
	defer session.Close()
	first := session.Send(Request{Class: LookupClass, Deadline: time.Second, Patience: time.Minute})
	if first.Status != 200 || first.Body != ResponseBody(first.ID, 0) || first.Took() > 10*time.Second {
		t.Errorf("the first request got %+v, want its answer", first)
	}
	const patience = 300 * time.Millisecond
	second := session.Send(Request{Class: LookupClass, Deadline: patience, Patience: patience, Behavior: Behavior{Work: time.Minute}})
	if second.Status != 0 || !second.BeganAt.IsZero() || second.Took() < patience {
		t.Errorf("the second request got %+v after %v, want no answer after %v", second, second.Took(), patience)
	}
}
