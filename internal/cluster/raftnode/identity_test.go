package raftnode

import (
	"encoding/hex"
	"maps"
	"slices"
	"strings"
	"testing"
)

// The identity files of running voters were written by earlier builds: they must be parsed, and written again byte for
// byte.
func TestIdentityKeepsItsFormat(t *testing.T) {
	const clusterIDOfABC = "0e9f64031fcb2bc7" // id of the cluster with the initial voters a, b and c: the first 8 bytes of SHA-256 of "a b c"
	for _, c := range []struct {
		name string
		text string
		want identity
	}{
		{
			name: "initial voter that created its log before there were disk ids",
			text: "b of a b c",
			want: identity{name: "b", initialVoters: []string{"a", "b", "c"}, voterID: 2},
		},
		{
			name: "initial voter with the disk ids of all",
			text: "c of a b c\na MA\nb MB\nc MC",
			want: identity{name: "c", initialVoters: []string{"a", "b", "c"}, voterID: 3,
				diskIDs: map[string]string{"a": "MA", "b": "MB", "c": "MC"}},
		},
		{
			name: "voter that was added later by an earlier build",
			text: "d joined as 4 in " + clusterIDOfABC,
			want: identity{name: "d", voterID: 4},
		},
		{
			name: "voter that was added later",
			text: "d joined as 4 in " + clusterIDOfABC + "\nfounding 0011223344556677",
			want: identity{name: "d", voterID: 4, founding: founding1},
		},
	} {
		t.Run(c.name, func(t *testing.T) {
			got, err := parseIdentity(c.text + "\n")
			if err != nil {
				t.Fatal(err)
			}
			if got.name != c.want.name || got.voterID != c.want.voterID ||
				!slices.Equal(got.initialVoters, c.want.initialVoters) || !maps.Equal(got.diskIDs, c.want.diskIDs) ||
				len(c.want.initialVoters) == 0 && got.founding != c.want.founding {
				t.Errorf("parsed as %+v, want %+v", *got, c.want)
			}
			if clusterID := hex.EncodeToString(got.clusterID[:]); clusterID != clusterIDOfABC {
				t.Errorf("cluster id %s, want %s", clusterID, clusterIDOfABC)
			}
			if got.String() != c.text {
				t.Errorf("written as %q, want %q", got.String(), c.text)
			}
		})
	}
}

// An identity file that can't be parsed gives an error whose text has one line, even if the file has several lines.
func TestMalformedIdentityIsRejectedInOneLine(t *testing.T) {
	for _, c := range []struct{ name, text string }{
		{"empty", ""},
		{"not among the initial voters", "x of a b c"},
		{"no initial voters", "x of"},
		{"id 0", "d joined as 0 in 0011223344556677"},
		{"id that is not a number", "d joined as four in 0011223344556677"},
		{"cluster id of 7 bytes", "d joined as 4 in 00112233445566"},
		{"cluster id that is not hexadecimal", "d joined as 4 in 001122334455667z"},
		{"two lines of something else", "some\nthing"},
	} {
		t.Run(c.name, func(t *testing.T) {
			if i, err := parseIdentity(c.text); err == nil || strings.Contains(err.Error(), "\n") {
				t.Errorf("parsed as %+v, error %v; want an error in one line", i, err)
			}
		})
	}
}
