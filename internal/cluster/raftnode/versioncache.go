package raftnode

import (
	"crypto/sha256"
	"encoding/json"
	"fmt"

	"tuliprock/internal/cluster/consensus"
	"tuliprock/internal/wal"
)

const (
	// cacheFile is the name of the file that holds the version on which a daemon acted last: a line with the SHA-256 of
	// the rest of the file, and then a cacheEntry in JSON. The file is replaced atomically. It does not replace a lease:
	// a daemon that starts and reaches no voter uses the cached version as if the lease on that version had expired.
	cacheFile = "ACTED"

	checksumLineSize = 2*sha256.Size + 1             // length of the cache file's checksum line in bytes: hexadecimal digits and a newline
	maxCacheBytes    = 2 * consensus.MaxVersionBytes // greatest size of the cache file in bytes: the documents' bodies, in base64, take at most about two thirds of it, so the names of documents and voters fit in too
)

// cacheEntry is the version and the voters that the cache file holds. Its JSON names are stored and must not change.
type cacheEntry struct {
	Version uint64                        `json:"version"` // version on which the daemon acted last
	Docs    map[string]consensus.Document `json:"docs"`    // documents of Version, by name
	Voters  []string                      `json:"voters"`  // names of the daemons with a voter slot, sorted, from which a lease may be requested

	Founding foundingID `json:"founding,omitempty"` // id of the bootstrap of the cluster; empty: not known
}

// cacheVersion writes the version on which this daemon acts, and the names of the voters, to the cache file. If the disk
// fails, the write is not repeated and the daemon continues: it only lacks the cached version at its next start.
func (n *Node) cacheVersion(leased consensus.LeasedVersion, voters []string) {
	n.cachedEntry, n.isCacheOutdated = cacheEntry{Version: leased.Version, Voters: voters, Founding: n.foundingID()}, false
	if n.options.Disk == nil {
		return
	}
	body, err := json.Marshal(cacheEntry{Version: leased.Version, Docs: leased.Docs, Voters: voters, Founding: n.cachedEntry.Founding})
	if err == nil {
		err = wal.ReplaceFile(n.options.Disk, cacheFile, fmt.Appendf(nil, "%x\n%s", sha256.Sum256(body), body))
	}
	if err != nil {
		n.options.Log.Warn("version cache not written", "version", leased.Version, "error", err)
	}
}

// loadCachedVersion returns the cached version with its documents, and adds the cached voters to the known voters. It
// returns version 0 if there is no cache file, or if the file is damaged or Options.Check rejects the version.
func (n *Node) loadCachedVersion() (uint64, map[string]consensus.Document) {
	if n.options.Disk == nil {
		return 0, nil
	}
	entry, err := readCacheEntry(n.options.Disk)
	if err == nil && entry != nil && n.options.Check != nil {
		err = n.options.Check(entry.Docs)
	}
	if err != nil {
		n.options.Log.Warn("cached version not used", "error", err)
		return 0, nil
	}
	if entry == nil {
		return 0, nil
	}
	n.cachedEntry = cacheEntry{Version: entry.Version, Voters: entry.Voters, Founding: entry.Founding}
	n.leaseClient.setVoters(entry.Voters, n.options.InitialVoters)
	return entry.Version, entry.Docs
}

// readCacheEntry reads the cache file. It returns nil without an error if the disk has no cache file.
func readCacheEntry(fs wal.FS) (*cacheEntry, error) {
	text, err := readFile(fs, cacheFile, maxCacheBytes)
	if text == nil || err != nil {
		return nil, err
	}
	checksum := fmt.Sprintf("%x\n", sha256.Sum256(text[min(len(text), checksumLineSize):]))
	if len(text) < checksumLineSize || string(text[:checksumLineSize]) != checksum {
		return nil, fmt.Errorf("%s: its checksum does not match its contents", cacheFile)
	}
	entry := &cacheEntry{}
	if err := json.Unmarshal(text[checksumLineSize:], entry); err != nil {
		return nil, fmt.Errorf("%s: %w", cacheFile, err)
	}
	return entry, nil
}
