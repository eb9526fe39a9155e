package raftnode

import (
	"crypto/sha256"
	"encoding/hex"
	"fmt"
	"maps"
	"slices"
	"strconv"
	"strings"
)

const (
	identityFile     = "IDENTITY"
	maxIdentityBytes = 4096 // seven names take 500
)

// identity says whose a voter's directory is, and in which fleet. It is a file beside the durable log that never
// changes. That of a first voter has the names of all first voters, from which their ids follow; that of a voter which
// joined later has the id that it was assigned, and the fleet's.
type identity struct {
	name          string
	initialVoters []string // sorted; none: this voter joined later
	id            uint64   // raft's
	clusterID     clusterID
	diskIDs       map[string]string // of the first voters' disks, when the first of them began
}

// clusterID is a digest of the first voters' names. Raft messages of voters of another fleet are dropped by it.
type clusterID [clusterIDSize]byte

const clusterIDSize = 8

func newClusterID(firstVoters []string) clusterID {
	sum := sha256.Sum256([]byte(strings.Join(firstVoters, " ")))
	return clusterID(sum[:clusterIDSize])
}

// newInitialVoterIdentity is the identity of one of the first voters, whose names are sorted. Its id is 0 if it is none
// of them.
func newInitialVoterIdentity(name string, firstVoters []string, marks map[string]string) *identity {
	return &identity{
		name:          name,
		initialVoters: firstVoters,
		id:            uint64(slices.Index(firstVoters, name) + 1),
		clusterID:     newClusterID(firstVoters),
		diskIDs:       marks,
	}
}

// String is the identity as the file has it, without the end of the last line.
func (i *identity) String() string {
	if len(i.initialVoters) == 0 {
		return fmt.Sprintf("%s joined as %d in %x", i.name, i.id, i.clusterID)
	}
	text := i.name + " of " + strings.Join(i.initialVoters, " ")
	for _, name := range slices.Sorted(maps.Keys(i.diskIDs)) {
		text += "\n" + name + " " + i.diskIDs[name]
	}
	return text
}

// parseIdentity parses what String returns.
func parseIdentity(text string) (*identity, error) {
	firstLine, markLines, _ := strings.Cut(text, "\n")
	words := strings.Fields(firstLine)
	marks := map[string]string{}
	for line := range strings.Lines(markLines) {
		name, mark, _ := strings.Cut(strings.TrimSpace(line), " ")
		marks[name] = mark
	}
	switch {
	case len(words) > 2 && words[1] == "of":
		if i := newInitialVoterIdentity(words[0], words[2:], marks); i.id > 0 {
			return i, nil
		}
	case len(words) == 6 && words[1] == "joined" && words[4] == "in":
		fleet, err := hex.DecodeString(words[5])
		id, idErr := strconv.ParseUint(words[3], 10, 64)
		if err == nil && idErr == nil && len(fleet) == clusterIDSize && id > 0 {
			return &identity{name: words[0], id: id, clusterID: clusterID(fleet), diskIDs: marks}, nil
		}
	}
	return nil, fmt.Errorf("%s: no identity of a voter: %.100q", identityFile, text)
}
