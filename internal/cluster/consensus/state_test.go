package consensus

import (
	"bytes"
	"errors"
	"fmt"
	"reflect"
	"testing"

	"pgregory.net/rapid"
)

// apply encodes a command and applies it to a State.
func apply(tb testing.TB, state *State, c Command) (CommandResult, error) {
	tb.Helper()
	encoded, err := c.Encode()
	if err != nil {
		tb.Fatal(err)
	}
	return state.Apply(encoded)
}

// mustApply encodes a command and applies it to a State. It fails the test if the command returns an error.
func mustApply(tb testing.TB, state *State, c Command) CommandResult {
	tb.Helper()
	result, err := apply(tb, state, c)
	if err != nil {
		tb.Fatal(err)
	}
	return result
}

// putCommand returns a command without an ID that writes a document.
func putCommand(name, body string) Command {
	return Command{Put: &DocumentPut{name, []byte(body)}}
}

// Random commands are applied in random order, some of them twice. Versions never decrease, a duplicate is applied
// once, a command whose ExpectedVersion is not the latest version changes nothing, and two States that applied the same
// commands are equal.
func TestCommandsAreDeterministicAndIdempotent(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		a, b := NewState(), NewState()
		versionsByID := map[string]uint64{} // version that a command returned when it was first applied, by the command's ID
		for range rapid.IntRange(1, 60).Draw(t, "commands") {
			c := drawCommand(t)
			entry, err := c.Encode()
			if err != nil {
				t.Fatal(err)
			}
			before := *a
			result, err := a.Apply(entry)
			resultB, _ := b.Apply(entry)
			version := result.Version
			if version != resultB.Version || a.Version != b.Version || a.ActiveVersion != b.ActiveVersion || a.PendingVersion != b.PendingVersion ||
				DigestDocuments(a.Docs) != DigestDocuments(b.Docs) || DigestDocuments(a.ActiveDocs) != DigestDocuments(b.ActiveDocs) {
				t.Fatalf("after %s: two States that applied the same commands differ", entry)
			}
			if a.Version < before.Version || a.ActiveVersion < before.ActiveVersion || a.ActiveVersion > a.PendingVersion || a.PendingVersion > a.Version ||
				err != nil && a.Version != before.Version {
				t.Fatalf("after %s: version %d, pending %d, active %d; before: %d, %d, %d; error %v; "+
					"want no lower ones, active <= pending <= version, and no new version with an error", entry,
					a.Version, a.PendingVersion, a.ActiveVersion, before.Version, before.PendingVersion, before.ActiveVersion, err)
			}
			if c.ActivateVersion == 0 && err == nil {
				if first, ok := versionsByID[c.ID]; ok && first != version {
					t.Fatalf("%s returns version %d, want %d as when it was first applied", entry, version, first)
				}
				versionsByID[c.ID] = version
			}
		}
	})
}

// drawCommand draws a command that activates a version, removes a document, or puts a document with or without an
// ExpectedVersion.
func drawCommand(t *rapid.T) Command {
	c := Command{ID: fmt.Sprint(rapid.IntRange(0, 30).Draw(t, "id"))}
	names := rapid.SampledFrom([]string{"x", "y"})
	switch rapid.IntRange(0, 3).Draw(t, "kind") {
	case 0:
		return Command{ActivateVersion: uint64(rapid.IntRange(1, 20).Draw(t, "version"))}
	case 1:
		c.Remove = names.Draw(t, "name")
		return c
	case 2:
		expected := uint64(rapid.IntRange(0, 20).Draw(t, "expected version"))
		c.ExpectedVersion = &expected
	}
	c.Put = &DocumentPut{names.Draw(t, "name"), []byte(c.ID)}
	return c
}

// A document can be read as it was at any retained version, and reverted to that version. The errors for a document that
// is no longer retained and for a document that never existed differ.
func TestDocumentsAreReadAndRevertedByVersion(t *testing.T) {
	state := NewState()
	for _, c := range []Command{
		putCommand("a", "1"), putCommand("b", "x"), putCommand("a", "2"), {Remove: "a"}, putCommand("a", "3"),
	} {
		mustApply(t, state, c)
	}
	for version, want := range map[uint64]string{1: "1", 2: "1", 3: "2", 5: "3", 0: "3", 9: "3"} {
		result, err := apply(t, state, Command{Read: &DocumentVersion{"a", version}})
		if err != nil || string(result.Doc.Body) != want || result.Version != 5 {
			t.Errorf("document a at version %d is %+v, error %v; want body %s", version, result.Doc, err, want)
		}
	}
	for _, at := range []DocumentVersion{{"a", 4}, {"b", 1}, {"c", 0}, {"c", 2}} {
		if _, err := apply(t, state, Command{Read: &at}); !errors.Is(err, ErrDocumentNotFound) {
			t.Errorf("read of %v: error %v, want %v", at, err, ErrDocumentNotFound)
		}
	}
	result, err := apply(t, state, Command{ID: "i", Revert: &DocumentVersion{"a", 2}})
	if err != nil || result.Version != 6 || string(state.Docs["a"].Body) != "1" || state.History[5].RevertedTo != 2 {
		t.Errorf("revert to version 2: result %+v, error %v, history %+v; want version 6 with body 1", result, err, state.History)
	}
	result, err = apply(t, state, Command{Revert: &DocumentVersion{"a", 4}})
	if err != nil || result.Version != 7 || len(state.Docs) != 1 {
		t.Errorf("revert to a version without the document: result %+v, error %v; want version 7 without it", result, err)
	}
	if result, err := apply(t, state, Command{Remove: "a"}); err != nil || !result.Unchanged || state.Version != 7 {
		t.Errorf("removal of a document that does not exist: result %+v, error %v; want it unchanged", result, err)
	}
	body := bytes.Repeat([]byte("x"), MaxDocumentBytes/2)
	for i := range 4 {
		body[0] = byte(i)
		mustApply(t, state, Command{Put: &DocumentPut{"big", body}})
	}
	if _, err := apply(t, state, Command{Read: &DocumentVersion{"big", 8}}); !errors.Is(err, ErrCompacted) {
		t.Errorf("read of a version that is not retained: error %v, want %v", err, ErrCompacted)
	}
	mustApply(t, state, Command{Read: &DocumentVersion{"big", 10}}) // must succeed, since version 10 is retained
	for name, bodyBytes := range map[string]int{"all documents": MaxDocumentBytes, "one document": MaxDocumentBytes + 1} {
		tooLong := Command{Put: &DocumentPut{"more", bytes.Repeat([]byte("y"), bodyBytes)}}
		if _, err := apply(t, state, tooLong); !errors.Is(err, ErrLimitExceeded) {
			t.Errorf("put beyond the bound of %s: error %v, want %v", name, err, ErrLimitExceeded)
		}
	}
}

// A version that operators force to be activated stays pending until it is active, even if a later version exists. A
// version that is skipped, because a later one takes its place, is never active.
func TestForcedVersionIsNotSkipped(t *testing.T) {
	state := NewState()
	for range 3 {
		mustApply(t, state, putCommand("a", fmt.Sprint(state.Version)))
	}
	if _, err := apply(t, state, Command{ForceVersion: 3}); !errors.Is(err, ErrVersionNotPending) {
		t.Errorf("force of a version that is not pending: error %v, want %v", err, ErrVersionNotPending)
	}
	if mustApply(t, state, Command{SkipVersion: 1}); state.PendingVersion != 3 || state.ActiveVersion != 0 {
		t.Errorf("after skipping version 1: pending %d, active %d; want 3, 0", state.PendingVersion, state.ActiveVersion)
	}
	if _, err := apply(t, state, Command{ForceVersion: 3}); err != nil || state.ForcedVersion != 3 {
		t.Errorf("force of the pending version: forced %d, error %v; want 3, none", state.ForcedVersion, err)
	}
	mustApply(t, state, putCommand("a", "4"))
	if mustApply(t, state, Command{SkipVersion: 3}); state.PendingVersion != 3 {
		t.Errorf("pending version %d, want 3: a forced version is not skipped", state.PendingVersion)
	}
	mustApply(t, state, Command{ActivateVersion: 3})
	if state.ActiveVersion != 3 || state.PendingVersion != 4 || string(state.ActiveDocs["a"].Body) != "2" {
		t.Errorf("after the activation of version 3: %+v; want version 3 active and 4 pending", state)
	}
	laterFormatCommand := fmt.Appendf(nil, `{"format":%d,"put":{"name":"x"}}`, commandFormat+1)
	if _, err := state.Apply(laterFormatCommand); !errors.Is(err, ErrUnknownCommand) || state.Version != 4 {
		t.Errorf("command of a later build: error %v, version %d; want %v, 4", err, state.Version, ErrUnknownCommand)
	}
}

// A State that is encoded for a snapshot and decoded again is the same. A document's body is encoded once, even if the
// latest, the pending and the active version have the document.
func TestStateSurvivesSnapshotEncoding(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		state := NewState()
		for i := range rapid.IntRange(0, 30).Draw(t, "commands") {
			name := rapid.SampledFrom([]string{"a", "b"}).Draw(t, "name")
			body := rapid.SampledFrom([]string{"", "1", "22"}).Draw(t, "body")
			c := Command{ID: fmt.Sprint(i), ProposedBy: "d", AtUnixMilli: int64(i), Put: &DocumentPut{name, []byte(body)}}
			switch rapid.IntRange(0, 5).Draw(t, "kind") {
			case 0:
				c = Command{Remove: name}
			case 1:
				c = Command{ActivateVersion: state.PendingVersion}
			case 2:
				c = Command{Revert: &DocumentVersion{name, state.Version / 2}}
			}
			encoded, _ := c.Encode()
			_, _ = state.Apply(encoded) // an error of a revert is expected: a command that fails leaves the State as it is
		}
		encoded, err := state.Encode()
		if err != nil {
			t.Fatal(err)
		}
		decoded, err := DecodeState(encoded)
		if err != nil {
			t.Fatal(err)
		}
		reencoded, _ := decoded.Encode()
		if !bytes.Equal(encoded, reencoded) || DigestDocuments(state.Docs) != DigestDocuments(decoded.Docs) ||
			!reflect.DeepEqual(state.History, decoded.History) || len(state.RetainedDocs) != len(decoded.RetainedDocs) {
			t.Fatalf("encoded as\n%s, and after decoding as\n%s", encoded, reencoded)
		}
		for name, d := range state.Docs {
			if !bytes.Equal(d.Body, decoded.Docs[name].Body) {
				t.Fatalf("document %s has body %q, want %q", name, decoded.Docs[name].Body, d.Body)
			}
		}
	})
	state, body := NewState(), bytes.Repeat([]byte("x"), MaxDocumentBytes)
	mustApply(t, state, Command{Put: &DocumentPut{"a", body}})
	mustApply(t, state, Command{ActivateVersion: 1})
	if encoded, err := state.Encode(); err != nil || len(encoded) > 3*MaxDocumentBytes/2 {
		t.Errorf("%d bytes for a body of the latest, pending and active version, want at most %d; error %v",
			len(encoded), 3*MaxDocumentBytes/2, err)
	}
}
