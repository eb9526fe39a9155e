package raftnode

import (
	"crypto/sha256"
	"encoding/json"
	"fmt"
	"slices"

	"tuliprock/internal/cluster/consensus"
	"tuliprock/internal/wal"
)

// cacheFile is the file in which a daemon keeps what it acted on last: a line with the SHA-256 of the rest, and the rest as JSON.
// It is replaced whole. What it says is no lease: it is what a daemon goes on with that starts and hears of no voter.
const cacheFile = "ACTED"

type cachedVersion struct {
	Version uint64                        `json:"version"`
	Docs    map[string]consensus.Document `json:"docs"`
	Voters  []string                      `json:"voters"`
}

// cacheVersion keeps what this daemon acts on. A disk that fails costs no more than that.
func (n *Node) cacheVersion(a LeasedVersion, voters []string) {
	if n.cachedVersion, n.cachedVoters = a.Version, voters; n.options.Disk == nil {
		return
	}
	body, err := json.Marshal(cachedVersion{a.Version, a.Docs, voters})
	if err == nil {
		err = wal.Replace(n.options.Disk, cacheFile, fmt.Appendf(nil, "%x\n%s", sha256.Sum256(body), body))
	}
	if err != nil {
		n.options.Log.Warn("what is acted on can't be kept for the next start", "version", a.Version, "err", err)
	}
}

// loadCachedVersion is what was kept; nothing where there is none, or it is damaged, or this daemon can't act on it any more.
func (n *Node) loadCachedVersion() (uint64, map[string]consensus.Document) {
	if n.options.Disk == nil {
		return 0, nil
	}
	k, err := readCachedVersion(n.options.Disk)
	if err == nil && k != nil && n.options.Check != nil {
		err = n.options.Check(k.Docs)
	}
	if err != nil {
		n.options.Log.Warn("what was acted on before the start can't be used", "err", err)
	}
	if k == nil || err != nil {
		return 0, nil
	}
	n.cachedVersion, n.cachedVoters = k.Version, k.Voters
	n.updateKnownVoters(k.Voters, true)
	return k.Version, k.Docs
}

func readCachedVersion(fs wal.FS) (*cachedVersion, error) {
	text, err := readFile(fs, cacheFile, maxCacheBytes)
	if text == nil || err != nil {
		return nil, err
	}
	sum := fmt.Sprintf("%x\n", sha256.Sum256(text[min(len(text), checksumSize):]))
	if len(text) < checksumSize || string(text[:checksumSize]) != sum {
		return nil, fmt.Errorf("%s is damaged", cacheFile)
	}
	k := &cachedVersion{}
	return k, json.Unmarshal(text[checksumSize:], k)
}

const (
	checksumSize  = 2*sha256.Size + 1
	maxCacheBytes = 2 * consensus.MaxTotalBytes // bytes: base64, and the names
)

// readFile reads a file whole; nil: it is not there. One that is longer than most is cut.
func readFile(fs wal.FS, name string, most int64) ([]byte, error) {
	names, err := fs.List()
	if err != nil || !slices.Contains(names, name) {
		return nil, err
	}
	f, err := fs.Open(name)
	if err != nil {
		return nil, err
	}
	defer f.Close()
	size, err := f.Size()
	if err != nil {
		return nil, err
	}
	b := make([]byte, min(size, most))
	if n, err := f.ReadAt(b, 0); n < len(b) {
		return nil, err
	}
	return b, nil
}
