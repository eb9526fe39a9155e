package raftnode

import (
	"crypto/sha256"
	"encoding/hex"
	"fmt"
	"maps"
	"slices"
	"strconv"
	"strings"

	"tuliprock/internal/wal"
)

const (
	identityFile     = "IDENTITY" // name of the file that holds a voter's identity
	maxIdentityBytes = 4096       // greatest number of bytes that are read of an identity file; a file with the names of seven voters has about 500
)

// identity says which voter of which cluster owns a data directory. It is stored in a file (identityFile) beside the
// durable log. The file is written once; learnFounding may complete it. The identity of an initial voter has the names of all
// initial voters, from which their raft ids follow; the identity of a voter that was added later has its assigned raft id and the
// cluster's id.
type identity struct {
	name          string            // name of the daemon that runs the voter
	initialVoters []string          // names of the cluster's initial voters, sorted; empty: this voter was added later
	voterID       uint64            // raft id of the voter; 0: initialVoters does not contain the daemon's name
	clusterID     clusterID         // digest of the initial voters' names, which identifies the cluster
	diskIDs       map[string]string // for an initial voter: disk ids of all initial voters, by name, when the first of them created its log
	founding      foundingID        // id of the bootstrap of the cluster; empty: not known, since an earlier build wrote the identity
}

// foundingLine is the first word of the line with the foundingID in the identity file of a voter that was added later.
const foundingLine = "founding"

// clusterID is a digest of the names of a cluster's initial voters. With it, a voter recognizes and drops raft messages
// of voters of another cluster.
type clusterID [clusterIDSize]byte

// clusterIDSize is the size of a clusterID in bytes.
const clusterIDSize = 8

// newClusterID returns the id of the cluster whose initial voters have these names, which are sorted.
func newClusterID(initialVoters []string) clusterID {
	sum := sha256.Sum256([]byte(strings.Join(initialVoters, " ")))
	return clusterID(sum[:clusterIDSize])
}

// newInitialVoterIdentity returns the identity of the initial voter with the given name. initialVoters is sorted. If it does
// not contain the name, the identity's voterID is 0.
func newInitialVoterIdentity(name string, initialVoters []string, diskIDs map[string]string) *identity {
	return &identity{
		name:          name,
		initialVoters: initialVoters,
		voterID:       uint64(slices.Index(initialVoters, name) + 1),
		clusterID:     newClusterID(initialVoters),
		diskIDs:       diskIDs,
		founding:      newFoundingID(initialVoters, diskIDs),
	}
}

// write writes the identity file.
func (i *identity) write(fs wal.FS) error {
	if err := wal.ReplaceFile(fs, identityFile, []byte(i.String()+"\n")); err != nil {
		return fmt.Errorf("write %s: %w", identityFile, err)
	}
	return nil
}

// String returns the contents of the identity file, without the final newline.
func (i *identity) String() string {
	if len(i.initialVoters) == 0 {
		text := fmt.Sprintf("%s joined as %d in %x", i.name, i.voterID, i.clusterID)
		if i.founding != "" {
			text += "\n" + foundingLine + " " + string(i.founding)
		}
		return text
	}
	text := i.name + " of " + strings.Join(i.initialVoters, " ")
	for _, name := range slices.Sorted(maps.Keys(i.diskIDs)) {
		text += "\n" + name + " " + i.diskIDs[name]
	}
	return text
}

// parseIdentity parses the output of identity.String.
func parseIdentity(text string) (*identity, error) {
	firstLine, diskIDLines, _ := strings.Cut(text, "\n")
	words := strings.Fields(firstLine)
	diskIDs := map[string]string{}
	for line := range strings.Lines(diskIDLines) {
		name, diskID, _ := strings.Cut(strings.TrimSpace(line), " ")
		diskIDs[name] = diskID
	}
	switch {
	case len(words) > 2 && words[1] == "of":
		if i := newInitialVoterIdentity(words[0], words[2:], diskIDs); i.voterID > 0 {
			return i, nil
		}
	case len(words) == 6 && words[1] == "joined" && words[4] == "in":
		clusterIDBytes, err := hex.DecodeString(words[5])
		id, idErr := strconv.ParseUint(words[3], 10, 64)
		founding := foundingID(diskIDs[foundingLine])
		delete(diskIDs, foundingLine)
		if err == nil && idErr == nil && len(clusterIDBytes) == clusterIDSize && id > 0 && (founding == "" || founding.isValid()) {
			return &identity{name: words[0], voterID: id, clusterID: clusterID(clusterIDBytes), diskIDs: diskIDs, founding: founding}, nil
		}
	}
	return nil, fmt.Errorf("%s: not the identity of a voter: %.100q", identityFile, text)
}
