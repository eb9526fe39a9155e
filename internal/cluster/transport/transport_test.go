package transport

import (
	"bytes"
	"log/slog"
	"net/netip"
	"strings"
	"testing"
	"time"

	"go.uber.org/goleak"

	"tuliprock/internal/cluster/swim"
	"tuliprock/internal/testkit/testpeer"
)

func TestMain(m *testing.M) { goleak.VerifyTestMain(m) }

// secret is the secret of the key that all members in the tests share.
var secret = bytes.Repeat([]byte{7}, 32)

// testOptions returns the options of a member that detects failures fast and signs with secret.
func testOptions(name string, join ...netip.AddrPort) Options {
	return Options{
		Cluster: "c",
		Name:    name,
		Listen:  netip.MustParseAddrPort("127.0.0.1:0"),
		Keys:    Keys{newKey(secret)},
		Join:    join,
		Timing:  swim.Options{ProbeInterval: 100 * time.Millisecond, ProbeTimeout: 50 * time.Millisecond, SuspicionTimeout: 200 * time.Millisecond},
		Log:     slog.New(slog.DiscardHandler),
	}
}

// startTransport starts a transport with options, and aborts the transport at the end of the test.
func startTransport(t *testing.T, options Options) *Transport {
	t.Helper()
	tr, err := Start(options)
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { _ = tr.Abort() }) // Abort fails if the test has already closed or aborted the transport
	return tr
}

// startPair starts members a and b, and waits until each considers the other alive.
func startPair(t *testing.T) (a, b *Transport) {
	t.Helper()
	a = startTransport(t, testOptions("a"))
	b = startTransport(t, testOptions("b", a.Addr()))
	testpeer.Eventually(t, "a and b consider each other alive", func() bool {
		return stateOf(a, "b") == "alive" && stateOf(b, "a") == "alive"
	})
	return a, b
}

// stateOf returns a member's state in the view of a transport, or "unknown" if the view does not have the member.
func stateOf(tr *Transport, name string) string {
	for _, m := range tr.View().Members {
		if m.Name == name {
			return m.State.String()
		}
	}
	return "unknown"
}

func TestMembersJoinAndDetectThatOthersLeaveOrFail(t *testing.T) {
	a := startTransport(t, testOptions("a"))
	b := startTransport(t, testOptions("b", a.Addr()))
	c := startTransport(t, testOptions("c", a.Addr()))
	testpeer.Eventually(t, "all views have three members", func() bool {
		return len(a.View().Members) == 3 && len(b.View().Members) == 3 && len(c.View().Members) == 3 &&
			b.View().Connectivity == swim.FullyConnected
	})
	if err := c.Close(); err != nil {
		t.Error(err)
	}
	testpeer.Eventually(t, "a and b see that c has left", func() bool { return stateOf(a, "c") == "left" && stateOf(b, "c") == "left" })
	if err := b.Abort(); err != nil {
		t.Error(err)
	}
	testpeer.Eventually(t, "a detects that b has failed", func() bool { return stateOf(a, "b") == "failed" })
}

func TestKeyRotationKeepsMembersConnected(t *testing.T) {
	oldKey, newerKey := newKey(secret), newKey(bytes.Repeat([]byte{8}, 32))
	a := startTransport(t, testOptions("a"))
	b := startTransport(t, testOptions("b", a.Addr()))
	for _, step := range []struct {
		name string
		a, b Keys
	}{
		{"a accepts the new key too", Keys{oldKey, newerKey}, Keys{oldKey}},
		{"b signs with the new key", Keys{oldKey, newerKey}, Keys{newerKey, oldKey}},
		{"a has only the new key", Keys{newerKey}, Keys{newerKey, oldKey}},
		{"both have only the new key", Keys{newerKey}, Keys{newerKey}},
	} {
		for tr, keys := range map[*Transport]Keys{a: step.a, b: step.b} {
			options := *tr.options.Load()
			options.Keys = keys
			tr.Reconfigure(options)
		}
		receivedBefore := a.Metrics().Received
		testpeer.Eventually(t, step.name+": a and b exchange packets", func() bool {
			return a.Metrics().Received > receivedBefore+3 && stateOf(a, "b") == "alive" && stateOf(b, "a") == "alive"
		})
	}
}

func TestStartErrorNamesTheConfigurationField(t *testing.T) {
	unsignedOptions := testOptions("a")
	unsignedOptions.Keys, unsignedOptions.Listen = nil, netip.MustParseAddrPort("0.0.0.0:0")
	addressInUseOptions := testOptions("a")
	addressInUseOptions.Listen = startTransport(t, testOptions("b")).Addr()
	for name, options := range map[string]Options{"no key and no loopback address": unsignedOptions, "address in use": addressInUseOptions} {
		t.Run(name, func(t *testing.T) {
			if _, err := Start(options); err == nil || !strings.Contains(err.Error(), "fleet.listen") {
				t.Errorf("got error %v, want one that contains \"fleet.listen\"", err)
			}
		})
	}
}
