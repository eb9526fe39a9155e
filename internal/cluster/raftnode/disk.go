package raftnode

import (
	"crypto/rand"
	"fmt"
	"slices"
	"strings"

	"tuliprock/internal/wal"
)

// diskIDFile has the mark of a disk, a random text that is drawn at the first start with it (consensus.Bootstrap,
// consensus.VoterMark).
const diskIDFile = "MARK"

// loadDiskID returns the mark of this daemon's disk, and draws it if there is none.
func (n *Node) loadDiskID() (string, error) {
	text, err := readFile(n.options.Disk, diskIDFile, maxIdentityBytes)
	if err != nil || len(text) > 0 {
		return strings.TrimSpace(string(text)), err
	}
	mark := rand.Text()
	return mark, wal.ReplaceFile(n.options.Disk, diskIDFile, []byte(mark+"\n"))
}

// readFile returns a file's first bytes, maxBytes at most; nil: there is no such file.
func readFile(fs wal.FS, name string, maxBytes int64) ([]byte, error) {
	names, err := fs.List()
	if err != nil {
		return nil, fmt.Errorf("list the directory of %s: %w", name, err)
	}
	if !slices.Contains(names, name) {
		return nil, nil
	}
	f, err := fs.Open(name)
	if err != nil {
		return nil, fmt.Errorf("open %s: %w", name, err)
	}
	defer func() { _ = f.Close() }() // nothing was written that an error could concern
	size, err := f.Size()
	if err != nil {
		return nil, fmt.Errorf("size of %s: %w", name, err)
	}
	body := make([]byte, min(size, maxBytes))
	if count, err := f.ReadAt(body, 0); count < len(body) {
		return nil, fmt.Errorf("read %s: %w", name, err)
	}
	return body, nil
}
