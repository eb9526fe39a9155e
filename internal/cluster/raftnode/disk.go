package raftnode

import (
	"crypto/rand"
	"fmt"
	"slices"
	"strings"

	"tuliprock/internal/wal"
)

// diskIDFile is the name of the file that holds the id of a disk, a random text that is drawn at the first start with
// the disk. The id identifies the disk in the bootstrap, and when a voter slot is bound to the disk (consensus.Bootstrap,
// consensus.SlotClaim).
const diskIDFile = "MARK"

// loadDiskID returns the id of this daemon's disk. If the disk has no id, loadDiskID draws an id and stores it.
func (n *Node) loadDiskID() (string, error) {
	text, err := readFile(n.options.Disk, diskIDFile, maxIdentityBytes)
	if err != nil || len(text) > 0 {
		return strings.TrimSpace(string(text)), err
	}
	diskID := rand.Text()
	return diskID, wal.ReplaceFile(n.options.Disk, diskIDFile, []byte(diskID+"\n"))
}

// readFile returns the contents of a file, at most its first maxBytes bytes, or nil without an error if no file has this
// name.
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
	defer func() { _ = f.Close() }() // an error of Close is harmless: the file is only read
	size, err := f.Size()
	if err != nil {
		return nil, fmt.Errorf("get the size of %s: %w", name, err)
	}
	body := make([]byte, min(size, maxBytes))
	if n, err := f.ReadAt(body, 0); n < len(body) {
		return nil, fmt.Errorf("read %s: %w", name, err)
	}
	return body, nil
}
