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
	// filePollInterval is the time between two polls of a members file. Together with the time to read the file it must stay well
	// under 500 ms, since no new request may be sent to a member more than 500 ms after the file marks it as draining.
	filePollInterval = 200 * time.Millisecond
	// maxFileBytes is the largest size of a members file. MaxMembers entries of about 100 bytes each need less.
	maxFileBytes = 16 << 20
	// mtimeGranularity is an upper bound of the resolution of modification times. A file that changes twice within mtimeGranularity may
	// have the same modification time after both changes. So it is read again if its modification time was less than mtimeGranularity
	// before the last reading.
	mtimeGranularity = time.Second
)

// NewFileSource returns a source that reads a members file whenever it changes or is replaced. ParseMemberFile documents the format.
// Run and PollOnce call deliver with each list that differs from the previous one, and onFailure after each failed poll.
func NewFileSource(path string, cache *MemberCache, deliver func(ListUpdate), onFailure func(), log *slog.Logger) *PollingSource {
	p := filePoller{path: path}
	return newPollingSource("members file "+path, cache, p.poll, deliver, onFailure, log)
}

// filePoller reads a file if its metadata has changed since the last reading.
type filePoller struct {
	path       string
	hasRead    bool        // the file has been read, so lastInfo and lastReadAt are set; false after a poll whose os.Stat failed
	lastInfo   os.FileInfo // file's metadata right before the last reading
	lastReadAt time.Time   // when the file was last read
}

func (p *filePoller) poll(context.Context) (pollResult, error) {
	result := pollResult{nextPollIn: filePollInterval}
	info, err := os.Stat(p.path)
	if err != nil {
		p.lastInfo, p.hasRead = nil, false
		return result, err
	}
	if p.hasRead && p.isUnchanged(info) {
		result.isUnchanged = true
		return result, nil
	}
	p.lastInfo, p.lastReadAt, p.hasRead = info, time.Now(), true
	text, err := readBounded(p.path)
	if err != nil {
		return result, err
	}
	result.members, err = ParseMemberFile(text)
	return result, err
}

// isUnchanged reports whether a file with the metadata info has certainly not changed since the last reading.
func (p *filePoller) isUnchanged(info os.FileInfo) bool {
	return os.SameFile(info, p.lastInfo) && info.Size() == p.lastInfo.Size() && info.ModTime().Equal(p.lastInfo.ModTime()) &&
		p.lastReadAt.Sub(info.ModTime()) > mtimeGranularity
}

// readBounded reads a file of at most maxFileBytes.
func readBounded(path string) ([]byte, error) {
	f, err := os.Open(path)
	if err != nil {
		return nil, err
	}
	defer func() { _ = f.Close() }() // closing a file that was only read loses nothing
	text, err := io.ReadAll(io.LimitReader(f, maxFileBytes+1))
	if err == nil && len(text) > maxFileBytes {
		err = fmt.Errorf("longer than %d bytes", maxFileBytes)
	}
	return text, err
}

// memberEntry is an entry of a members file in its JSON form. ParseMemberFile shows the format.
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
// The id defaults to the address. The state is "ready", which is the default, or "draining". The format is JSON since a truncated JSON
// object never parses. A single invalid entry rejects the whole file; the error names the entry and the field.
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
