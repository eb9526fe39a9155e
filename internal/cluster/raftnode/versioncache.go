package raftnode

import (
	"crypto/sha256"
	"encoding/json"
	"fmt"
	"slices"

	"tuliprock/internal/cluster/consensus"
	"tuliprock/internal/wal"
)

// keptName is the file in which a daemon keeps what it acted on last: a line with the SHA-256 of the rest, and the rest as JSON.
// It is replaced whole. What it says is no lease: it is what a daemon goes on with that starts and hears of no voter.
const keptName = "ACTED"

type kept struct {
	Version uint64                        `json:"version"`
	Docs    map[string]consensus.Document `json:"docs"`
	Voters  []string                      `json:"voters"`
}

// keep keeps what this daemon acts on. A disk that fails costs no more than that.
func (c *Node) keep(a LeasedVersion, voters []string) {
	if c.kept, c.keptVoters = a.Version, voters; c.o.Disk == nil {
		return
	}
	body, err := json.Marshal(kept{a.Version, a.Docs, voters})
	if err == nil {
		err = wal.Replace(c.o.Disk, keptName, fmt.Appendf(nil, "%x\n%s", sha256.Sum256(body), body))
	}
	if err != nil {
		c.o.Log.Warn("what is acted on can't be kept for the next start", "version", a.Version, "err", err)
	}
}

// remembered is what was kept; nothing where there is none, or it is damaged, or this daemon can't act on it any more.
func (c *Node) remembered() (uint64, map[string]consensus.Document) {
	if c.o.Disk == nil {
		return 0, nil
	}
	k, err := readKept(c.o.Disk)
	if err == nil && k != nil && c.o.Check != nil {
		err = c.o.Check(k.Docs)
	}
	if err != nil {
		c.o.Log.Warn("what was acted on before the start can't be used", "err", err)
	}
	if k == nil || err != nil {
		return 0, nil
	}
	c.kept, c.keptVoters = k.Version, k.Voters
	c.learnVoters(k.Voters, true)
	return k.Version, k.Docs
}

func readKept(fs wal.FS) (*kept, error) {
	text, err := read(fs, keptName, mostKept)
	if text == nil || err != nil {
		return nil, err
	}
	sum := fmt.Sprintf("%x\n", sha256.Sum256(text[min(len(text), sumSize):]))
	if len(text) < sumSize || string(text[:sumSize]) != sum {
		return nil, fmt.Errorf("%s is damaged", keptName)
	}
	k := &kept{}
	return k, json.Unmarshal(text[sumSize:], k)
}

const (
	sumSize  = 2*sha256.Size + 1
	mostKept = 2 * consensus.MaxTotalBytes // bytes: base64, and the names
)

// read reads a file whole; nil: it is not there. One that is longer than most is cut.
func read(fs wal.FS, name string, most int64) ([]byte, error) {
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
