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

// sourceFixture is a source that runs until the test ends, and what it reports.
type sourceFixture struct {
	updates  chan ListUpdate
	failures chan bool
	source   *PollingSource
}

// newSourceFunc makes a source of a pool with a MemberCache.
type newSourceFunc func(cache *MemberCache, deliver func(ListUpdate), failed func(), log *slog.Logger) *PollingSource

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

// expectList waits for the next update, which must be the complete list of the addresses given, " draining" behind those that are.
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
			t.Fatalf("update %v, want %v", got, want)
		}
	case <-time.After(testpeer.Timeout):
		t.Fatalf("no update, want %v", want)
	}
}

func (f *sourceFixture) expectFailure(t *testing.T) {
	t.Helper()
	select {
	case <-f.failures:
	case update := <-f.updates:
		t.Fatalf("update %+v, want a failure", update)
	case <-time.After(testpeer.Timeout):
		t.Fatal("no failure was reported")
	}
}

func (f *sourceFixture) expectNoUpdate(t *testing.T) {
	t.Helper()
	select {
	case update := <-f.updates:
		t.Errorf("update %+v, want none", update)
	default:
	}
}

// holdOptions keep the last list through all failures of a test.
var holdOptions = endpointset.Options{Hold: time.Hour, Damp: time.Millisecond}
