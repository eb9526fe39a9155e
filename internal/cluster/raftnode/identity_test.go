package raftnode

import (
	"encoding/hex"
	"maps"
	"slices"
	"strings"
	"testing"
)

// Identities are on the disks of voters that run: what earlier programs wrote is read, and written again byte by byte.
func TestIdentityKeepsItsFormat(t *testing.T) {
	const fleetOfABC = "0e9f64031fcb2bc7" // the first 8 bytes of SHA-256 of "a b c"
	for _, c := range []struct {
		name string
		text string
		want identity
	}{
		{
			name: "first voter that began before there were marks",
			text: "b of a b c",
			want: identity{name: "b", initialVoters: []string{"a", "b", "c"}, id: 2},
		},
		{
			name: "first voter with the marks of all",
			text: "c of a b c\na MA\nb MB\nc MC",
			want: identity{name: "c", initialVoters: []string{"a", "b", "c"}, id: 3,
				diskIDs: map[string]string{"a": "MA", "b": "MB", "c": "MC"}},
		},
		{
			name: "voter that joined later",
			text: "d joined as 4 in " + fleetOfABC,
			want: identity{name: "d", id: 4},
		},
	} {
		t.Run(c.name, func(t *testing.T) {
			got, err := parseIdentity(c.text + "\n")
			if err != nil {
				t.Fatal(err)
			}
			if got.name != c.want.name || got.id != c.want.id ||
				!slices.Equal(got.initialVoters, c.want.initialVoters) || !maps.Equal(got.diskIDs, c.want.diskIDs) {
				t.Errorf("parsed as %+v, want %+v", *got, c.want)
			}
			if fleet := hex.EncodeToString(got.clusterID[:]); fleet != fleetOfABC {
				t.Errorf("fleet %s, want %s", fleet, fleetOfABC)
			}
			if got.String() != c.text {
				t.Errorf("written as %q, want %q", got.String(), c.text)
			}
		})
	}
}

func TestMalformedIdentityIsRejectedInOneLine(t *testing.T) {
	for _, c := range []struct{ name, text string }{
		{"empty", ""},
		{"not among the first voters", "x of a b c"},
		{"no first voters", "x of"},
		{"id 0", "d joined as 0 in 0011223344556677"},
		{"id that is no number", "d joined as four in 0011223344556677"},
		{"fleet of 7 bytes", "d joined as 4 in 00112233445566"},
		{"fleet that is not hexadecimal", "d joined as 4 in 001122334455667z"},
		{"two lines of something else", "some\nthing"},
	} {
		t.Run(c.name, func(t *testing.T) {
			if i, err := parseIdentity(c.text); err == nil || strings.Contains(err.Error(), "\n") {
				t.Errorf("parsed as %+v: %v", i, err)
			}
		})
	}
}
