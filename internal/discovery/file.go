package discovery

import (
	"bytes"
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"log/slog"
	"os"
	"time"

	"tuliprock/internal/endpointset"
)

const (
	// filePollInterval and the time to read the file together stay well within the 500 ms in which a draining member must be noticed.
	filePollInterval = 200 * time.Millisecond
	// maxFileBytes holds MaxMembers entries of about 100 bytes, and more.
	maxFileBytes = 16 << 20
	// mtimeGranularity bounds the clock tick of modification times: a file that changes twice within one tick looks unchanged, so
	// while its modification time is this young it is read again.
	mtimeGranularity = time.Second
)

// NewFileSource makes a source that reads a members file, and reads it again whenever it changes or is replaced. ParseMemberFile
// documents its format. deliver and failed are called by Run and PollOnce.
func NewFileSource(path string, cache *MemberCache, deliver func(ListUpdate), failed func(), log *slog.Logger) *PollingSource {
	p := filePoller{path: path}
	return newPollingSource("members file "+path, cache, p.poll, deliver, failed, log)
}

// filePoller remembers what a file looked like when it was read last.
type filePoller struct {
	path       string
	hasStat    bool // lastInfo is set
	lastInfo   os.FileInfo
	lastReadAt time.Time
}

func (p *filePoller) poll(context.Context) (pollResult, error) {
	result := pollResult{nextPollIn: filePollInterval}
	info, err := os.Stat(p.path)
	if err != nil {
		p.lastInfo, p.hasStat = nil, false
		return result, err
	}
	if p.hasStat && p.isUnchanged(info) {
		result.isUnchanged = true
		return result, nil
	}
	p.lastInfo, p.lastReadAt, p.hasStat = info, time.Now(), true
	text, err := readBounded(p.path)
	if err != nil {
		return result, err
	}
	result.members, err = ParseMemberFile(text)
	return result, err
}

func (p *filePoller) isUnchanged(info os.FileInfo) bool {
	return os.SameFile(info, p.lastInfo) && info.Size() == p.lastInfo.Size() && info.ModTime().Equal(p.lastInfo.ModTime()) &&
		p.lastReadAt.Sub(info.ModTime()) > mtimeGranularity
}

func readBounded(path string) ([]byte, error) {
	f, err := os.Open(path)
	if err != nil {
		return nil, err
	}
	defer func() { _ = f.Close() }() // it was only read
	text, err := io.ReadAll(io.LimitReader(f, maxFileBytes+1))
	if err == nil && len(text) > maxFileBytes {
		err = fmt.Errorf("longer than %d bytes", maxFileBytes)
	}
	return text, err
}

// memberEntry is a member in a members file.
type memberEntry struct {
	ID      string `json:"id"`
	Address string `json:"address"`
	Zone    string `json:"zone"`
	Kind    string `json:"kind"`
	State   string `json:"state"`
	Cell    int    `json:"cell"`
}

// ParseMemberFile decodes and checks a members file:
//
//	{"format": 1, "members": [{"id": "a", "address": "host:port", "zone": "", "kind": "", "cell": 0, "state": "ready"}]}
//
// A missing id is the address, and a missing state is ready; the other state is draining. The format is JSON since a JSON object that
// is cut off anywhere does not parse. One bad entry rejects the file: the error names the entry and its field.
func ParseMemberFile(text []byte) ([]endpointset.Member, error) {
	entries, err := decodeMemberFile(text)
	if err != nil {
		return nil, err
	}
	members, ids := make([]endpointset.Member, 0, len(entries)), make(map[string]bool, len(entries))
	for i, e := range entries {
		if err := CheckAddress("address", e.Address); err != nil {
			return nil, fmt.Errorf("members[%d].%w", i, err)
		}
		if e.ID == "" {
			e.ID = e.Address
		}
		switch {
		case ids[e.ID]:
			return nil, fmt.Errorf("members[%d].id: %.80q is listed twice", i, e.ID)
		case e.State != "" && e.State != "ready" && e.State != "draining":
			return nil, fmt.Errorf("members[%d].state: %.80q is neither ready nor draining", i, e.State)
		}
		ids[e.ID] = true
		members = append(members, endpointset.Member{
			ID: e.ID, Addr: e.Address, Zone: e.Zone, Kind: e.Kind, Cell: e.Cell, Draining: e.State == "draining",
		})
	}
	return members, nil
}

func decodeMemberFile(text []byte) ([]memberEntry, error) {
	var file struct {
		Format  int           `json:"format"`
		Members []memberEntry `json:"members"`
	}
	decoder := json.NewDecoder(bytes.NewReader(text))
	decoder.DisallowUnknownFields()
	if err := decoder.Decode(&file); err != nil {
		return nil, err
	}
	if _, err := decoder.Token(); !errors.Is(err, io.EOF) {
		return nil, errors.New("unexpected data after the list")
	}
	if file.Format != 1 {
		return nil, fmt.Errorf("format: %d is not 1", file.Format)
	}
	if len(file.Members) > MaxMembers {
		return nil, fmt.Errorf("members: over %d", MaxMembers)
	}
	return file.Members, nil
}
