package raftnode

import (
	"crypto/sha256"
	"encoding/json"
	"fmt"

	"tuliprock/internal/cluster/consensus"
	"tuliprock/internal/wal"
)

const (
	// cacheFile holds the version that a daemon acted on last: a line with the SHA-256 of the rest, and the rest as the
	// JSON of a cacheEntry. It is replaced atomically. It grants no lease: a daemon that starts and reaches no voter
	// goes on with it as with a lease that has expired.
	cacheFile = "ACTED"

	checksumSize  = 2*sha256.Size + 1           // bytes: hexadecimal digits, and the end of the line
	maxCacheBytes = 2 * consensus.MaxTotalBytes // bodies in base64, and the names
)

// cacheEntry is what the cache file holds.
type cacheEntry struct {
	Version uint64                        `json:"version"`
	Docs    map[string]consensus.Document `json:"docs"`
	Voters  []string                      `json:"voters"`
}

// cacheVersion writes the version that this daemon acts on, and the voters' names. If the disk fails the daemon goes
// on: all it loses is what it would start with. The write is not repeated then.
func (n *Node) cacheVersion(leased consensus.LeasedVersion, voters []string) {
	n.cached = cacheEntry{Version: leased.Version, Voters: voters}
	if n.options.Disk == nil {
		return
	}
	body, err := json.Marshal(cacheEntry{Version: leased.Version, Docs: leased.Docs, Voters: voters})
	if err == nil {
		err = wal.ReplaceFile(n.options.Disk, cacheFile, fmt.Appendf(nil, "%x\n%s", sha256.Sum256(body), body))
	}
	if err != nil {
		n.options.Log.Warn("version cache not written", "version", leased.Version, "error", err)
	}
}

// loadCachedVersion returns the cached version and takes up its voters. It returns nothing if there is none, or if it
// is damaged or rejected by Options.Check.
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
	n.cached = cacheEntry{Version: entry.Version, Voters: entry.Voters}
	n.client.setVoters(entry.Voters, n.options.InitialVoters)
	return entry.Version, entry.Docs
}

// readCacheEntry reads the cache file; nil: there is none.
func readCacheEntry(fs wal.FS) (*cacheEntry, error) {
	text, err := readFile(fs, cacheFile, maxCacheBytes)
	if text == nil || err != nil {
		return nil, err
	}
	checksum := fmt.Sprintf("%x\n", sha256.Sum256(text[min(len(text), checksumSize):]))
	if len(text) < checksumSize || string(text[:checksumSize]) != checksum {
		return nil, fmt.Errorf("%s: the checksum is not that of its contents", cacheFile)
	}
	entry := &cacheEntry{}
	if err := json.Unmarshal(text[checksumSize:], entry); err != nil {
		return nil, fmt.Errorf("%s: %w", cacheFile, err)
	}
	return entry, nil
}
