package discovery

import (
	"context"
	"log/slog"
	"slices"
	"testing"
	"time"

	"go.uber.org/goleak"

	"tuliprock/balance"
	"tuliprock/internal/endpointset"
	"tuliprock/internal/testkit/testpeer"
)

func TestMain(m *testing.M) { goleak.VerifyTestMain(m) }

// sourceFixture is a source that runs until the test ends, with the updates and failures that it reports.
type sourceFixture struct {
	updates  chan ListUpdate
	failures chan bool
	source   *PollingSource
}

// newSourceFunc returns a new source that uses the given cache and calls the given callbacks.
type newSourceFunc func(cache *MemberCache, deliver func(ListUpdate), onFailure func(), log *slog.Logger) *PollingSource

// startSource starts a source with an empty MemberCache, and stops it when the test ends.
func startSource(t *testing.T, o endpointset.Options, newSource newSourceFunc) *sourceFixture {
	t.Helper()
	f := &sourceFixture{updates: make(chan ListUpdate, 1000), failures: make(chan bool, 1000)}
	f.source = newSource(NewMemberCache(o), func(update ListUpdate) { f.updates <- update }, func() { f.failures <- true },
		slog.New(slog.DiscardHandler))
	ctx, cancel := context.WithCancel(context.Background())
	ended := make(chan bool)
	go func() { f.source.Run(ctx); close(ended) }()
	t.Cleanup(func() { cancel(); <-ended })
	return f
}

// expectList waits for the next update, which must be the complete list of exactly these members. A member is written as its address,
// followed by " draining" if it is draining.
func (f *sourceFixture) expectList(t *testing.T, want ...string) {
	t.Helper()
	select {
	case update := <-f.updates:
		var got []string
		for _, m := range update.Members {
			name := m.Addr
			if m.State == balance.Draining {
				name += " draining"
			}
			got = append(got, name)
		}
		if !update.Full || !slices.Equal(got, want) {
			t.Fatalf("update %v (complete: %v), want the complete list %v", got, update.Full, want)
		}
	case <-time.After(testpeer.Timeout):
		t.Fatalf("no update was delivered, want the list %v", want)
	}
}

func (f *sourceFixture) expectFailure(t *testing.T) {
	t.Helper()
	select {
	case <-f.failures:
	case update := <-f.updates:
		t.Fatalf("update %+v was delivered, want a failure", update)
	case <-time.After(testpeer.Timeout):
		t.Fatal("no failure was reported")
	}
}

func (f *sourceFixture) expectNoUpdate(t *testing.T) {
	t.Helper()
	select {
	case update := <-f.updates:
		t.Errorf("update %+v was delivered, want none", update)
	default:
	}
}

// holdOptions keep the last good list for longer than any test takes.
var holdOptions = endpointset.Options{HoldLastGood: time.Hour, FlapDamping: time.Millisecond}
