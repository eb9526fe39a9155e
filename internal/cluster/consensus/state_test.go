package consensus

import (
	"bytes"
	"errors"
	"fmt"
	"reflect"
	"testing"

	"pgregory.net/rapid"
)

func apply(t testing.TB, s *State, c Command) (CommandResult, error) {
	t.Helper()
	b, err := c.Encode()
	if err != nil {
		t.Fatal(err)
	}
	return s.Apply(b)
}

func putCommand(name, body string) Command { return Command{Put: &DocumentPut{name, []byte(body)}} }

// A document can be had, and had back, as it was at any version that is kept; what is not there any more is told apart from what
// never was.
func TestDocumentsAreReadAndRevertedByVersion(t *testing.T) {
	s := NewState()
	for _, c := range []Command{putCommand("a", "1"), putCommand("b", "x"), putCommand("a", "2"), {Remove: "a"}, putCommand("a", "3")} {
		if _, err := apply(t, s, c); err != nil {
			t.Fatal(err)
		}
	}
	for version, want := range map[uint64]string{1: "1", 2: "1", 3: "2", 5: "3", 0: "3", 9: "3"} {
		a, err := apply(t, s, Command{Read: &DocumentVersion{"a", version}})
		if err != nil || string(a.Doc.Body) != want || a.Version != 5 {
			t.Errorf("a at %d: %+v, %v; want %s", version, a.Doc, err, want)
		}
	}
	for _, as := range []DocumentVersion{{"a", 4}, {"b", 1}, {"c", 0}, {"c", 2}} {
		if _, err := apply(t, s, Command{Read: &as}); !errors.Is(err, ErrDocumentNotFound) {
			t.Errorf("%v: %v", as, err)
		}
	}
	if a, err := apply(t, s, Command{ID: "i", Back: &DocumentVersion{"a", 2}}); err != nil || a.Version != 6 || string(s.Docs["a"].Body) != "1" || s.History[5].Back != 2 {
		t.Errorf("%+v, %v: %+v", a, err, s.History)
	}
	if a, err := apply(t, s, Command{Back: &DocumentVersion{"a", 4}}); err != nil || a.Version != 7 || len(s.Docs) != 1 {
		t.Errorf("back to where it was not there: %+v, %v", a, err)
	}
	if a, err := apply(t, s, Command{Remove: "a"}); err != nil || !a.Same || s.Version != 7 {
		t.Errorf("what is not there is taken out: %+v, %v", a, err)
	}
	big := bytes.Repeat([]byte("x"), MaxDocumentBytes/2)
	for i := range 4 {
		big[0] = byte(i)
		if _, err := apply(t, s, Command{Put: &DocumentPut{"big", big}}); err != nil {
			t.Fatal(err)
		}
	}
	if _, err := apply(t, s, Command{Read: &DocumentVersion{"big", 8}}); !errors.Is(err, ErrCompacted) {
		t.Errorf("what is not kept any more: %v", err)
	}
	if _, err := apply(t, s, Command{Read: &DocumentVersion{"big", 10}}); err != nil {
		t.Errorf("what is kept: %v", err)
	}
	if _, err := apply(t, s, Command{Put: &DocumentPut{"more", bytes.Repeat([]byte("y"), MaxDocumentBytes)}}); !errors.Is(err, ErrLimitExceeded) {
		t.Errorf("more than all documents may have: %v", err)
	}
	if _, err := apply(t, s, Command{Put: &DocumentPut{"more", bytes.Repeat([]byte("y"), MaxDocumentBytes+1)}}); !errors.Is(err, ErrLimitExceeded) {
		t.Errorf("more than one may have: %v", err)
	}
}

// A version that is forced is the one that comes; one that gives way is never active.
func TestForcedVersionIsNotSkipped(t *testing.T) {
	s := NewState()
	for range 3 {
		_, _ = apply(t, s, putCommand("a", fmt.Sprint(s.Version)))
	}
	if _, err := apply(t, s, Command{Force: 3}); !errors.Is(err, ErrVersionNotPending) {
		t.Errorf("%v", err)
	}
	if _, _ = apply(t, s, Command{Skip: 1}); s.Coming != 3 || s.Active != 0 {
		t.Errorf("coming %d", s.Coming)
	}
	if _, err := apply(t, s, Command{Force: 3}); err != nil || s.Forced != 3 {
		t.Errorf("%v", err)
	}
	_, _ = apply(t, s, putCommand("a", "4"))
	if _, _ = apply(t, s, Command{Skip: 3}); s.Coming != 3 {
		t.Error("what is forced gives way")
	}
	if _, _ = apply(t, s, Command{Activate: 3}); s.Active != 3 || s.Coming != 4 || string(s.ActiveDocs["a"].Body) != "2" {
		t.Errorf("%+v", s)
	}
	later := []byte(fmt.Sprintf(`{"format":%d,"put":{"name":"x"}}`, commandFormat+1))
	if _, err := s.Apply(later); !errors.Is(err, ErrUnknownCommand) || s.Version != 4 {
		t.Errorf("a command of a later program: %v", err)
	}
}

// A state that went through a snapshot is the same, and each body stands in it once.
func TestStateSurvivesSnapshotEncoding(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		s := NewState()
		for i := range rapid.IntRange(0, 30).Draw(t, "commands") {
			name := rapid.SampledFrom([]string{"a", "b"}).Draw(t, "name")
			c := Command{ID: fmt.Sprint(i), By: "d", At: int64(i), Put: &DocumentPut{name, []byte(rapid.SampledFrom([]string{"", "1", "22"}).Draw(t, "body"))}}
			switch rapid.IntRange(0, 5).Draw(t, "kind") {
			case 0:
				c = Command{Remove: name}
			case 1:
				c = Command{Activate: s.Coming}
			case 2:
				c = Command{Back: &DocumentVersion{name, s.Version / 2}}
			}
			b, _ := c.Encode()
			_, _ = s.Apply(b)
		}
		b, err := s.Encode()
		if err != nil {
			t.Fatal(err)
		}
		again, err := DecodeState(b)
		if err != nil {
			t.Fatal(err)
		}
		b2, _ := again.Encode()
		if !bytes.Equal(b, b2) || DigestOf(s.Docs) != DigestOf(again.Docs) || !reflect.DeepEqual(s.History, again.History) || len(s.RetainedDocs) != len(again.RetainedDocs) {
			t.Fatalf("%s\n%s", b, b2)
		}
		for name, d := range s.Docs {
			if !bytes.Equal(d.Body, again.Docs[name].Body) {
				t.Fatalf("%s: %q, was %q", name, again.Docs[name].Body, d.Body)
			}
		}
	})
	s, body := NewState(), bytes.Repeat([]byte("x"), MaxDocumentBytes)
	_, _ = apply(t, s, Command{Put: &DocumentPut{"a", body}})
	_, _ = apply(t, s, Command{Activate: 1})
	if b, err := s.Encode(); err != nil || len(b) > 3*MaxDocumentBytes/2 {
		t.Errorf("%d bytes for a body that stands in three places, %v", len(b), err)
	}
}

// A daemon that can't act on a version says why, and holds it up; what was put since comes in its place; who insists goes on
// without it.
func TestVersionThatDaemonRejectsWaitsUnlessForced(t *testing.T) {
	st, now := stateWithPendingVersion(t), testLeaseConfig.Lease*10
	s := NewLeaseManager(0, testLeaseConfig)
	d, old := NewLeaseHolder("d", testLeaseConfig, 0, nil), NewLeaseHolder("old", testLeaseConfig, 0, nil)
	round := func() {
		s.Refresh(now, st)
		for _, h := range []*LeaseHolder{d, old} {
			r, _ := h.NextRequest(now)
			h.HandleGrant(now, s.Grant(now, r, st))
			version, _ := h.PendingCheck()
			err := error(nil)
			if h == old && version >= 2 && version <= 3 {
				err = errors.New("no such field")
			}
			h.CompleteCheck(version, err)
			h.MarkInstalled(h.Leased().Version)
		}
	}
	for range 4 {
		round()
	}
	if got := s.laggingDaemons(now, st); len(got) != 1 || got[0] != (Lag{"old", "it can't act on version 2: no such field"}) || s.VersionToActivate(now, st) != 0 || s.VersionToSkip(now, st) != 0 {
		t.Fatalf("%v", got)
	}
	if v, _, ok := old.Valid(now); v != 1 || !ok {
		t.Errorf("who can't act on what comes acts on %d, %v", v, ok)
	}
	_, _ = apply(t, st, putCommand("x", "3"))
	if s.VersionToSkip(now, st) != 2 {
		t.Error("it does not give way to what was put since")
	}
	_, _ = apply(t, st, Command{Skip: 2})
	round()
	round()
	if _, err := apply(t, st, Command{Force: 3}); err != nil {
		t.Fatal(err)
	}
	round()
	if _, _, ok := old.Valid(now); ok {
		t.Error("who can't act on what is forced has a lease")
	}
	round() // it says that it took that
	if s.VersionToActivate(now, st) != 3 {
		t.Errorf("waited for: %v", s.laggingDaemons(now, st))
	}
	_, _ = apply(t, st, Command{Activate: 3})
	round()
	if v, _, ok := d.Valid(now); v != 3 || !ok {
		t.Errorf("the others act on %d, %v", v, ok)
	}
	a := d.Leased()
	if !a.CoversVersion(1, now) || a.CoversVersion(1, now+testLeaseConfig.Overlap()) || !a.CoversVersion(3, now) || a.CoversVersion(2, now) {
		t.Errorf("while it changes over: %+v", a)
	}
	if _, _, ok := old.Valid(now); ok {
		t.Error("who can't act on what others do has a lease")
	}
	_, _ = apply(t, st, putCommand("x", "4"))
	for range 3 {
		round()
	}
	_, _ = apply(t, st, Command{Activate: s.VersionToActivate(now, st)})
	for range 3 {
		round()
	}
	if v, _, ok := old.Valid(now); v != 4 || !ok {
		t.Errorf("when it can again it acts on %d, %v; %v", v, ok, s.laggingDaemons(now, st))
	}
	if all, lags := d.FullyActive(); all != 4 || len(lags) > 0 {
		t.Errorf("all act on %d; %v", all, lags)
	}
}
