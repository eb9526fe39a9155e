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
	filePoll   = 200 * time.Millisecond // with the reading well within the 500 ms for news of a member that drains
	fileMost   = 16 << 20               // bytes; 100,000 members of 100 bytes and some room
	MaxMembers = 100_000                // of one source
	// A file changed again within the clock tick of its time stamp looks unchanged: while the stamp is this young, it is
	// read again.
	freshStamp = time.Second
)

var errNobody = errors.New("nobody is listed")

// FileSource is a source that reads a file of members, and again whenever it changes or is replaced. ParseMemberFile gives its form.
func FileSource(path string, k *MemberCache, deliver func(ListUpdate), failed func(), log *slog.Logger) *PollingSource {
	w := watched{path: path}
	return newPolled("members file "+path, k, w.ask, deliver, failed, log)
}

// watched remembers what a file looked like when it was read.
type watched struct {
	path   string
	read   os.FileInfo // nil: it could not be read
	readAt time.Time
	known  bool
}

func (w *watched) ask(context.Context) (answer, error) {
	a := answer{next: filePoll}
	info, err := os.Stat(w.path)
	if err != nil {
		w.read, w.known = nil, false
		return a, err
	}
	if w.known && w.unchanged(info) {
		a.same = true
		return a, nil
	}
	w.read, w.readAt, w.known = info, time.Now(), true
	text, err := readBounded(w.path)
	if err != nil {
		return a, err
	}
	a.members, err = ParseMemberFile(text)
	return a, err
}

func (w *watched) unchanged(info os.FileInfo) bool {
	return os.SameFile(info, w.read) && info.Size() == w.read.Size() && info.ModTime().Equal(w.read.ModTime()) &&
		w.readAt.Sub(info.ModTime()) > freshStamp
}

func readBounded(path string) ([]byte, error) {
	f, err := os.Open(path)
	if err != nil {
		return nil, err
	}
	defer f.Close()
	text, err := io.ReadAll(io.LimitReader(f, fileMost+1))
	if err == nil && len(text) > fileMost {
		err = fmt.Errorf("longer than %d bytes", fileMost)
	}
	return text, err
}

// ParseMemberFile reads a file of members:
//
//	{"format": 1, "members": [{"id": "a", "address": "host:port", "zone": "", "kind": "", "cell": 0, "state": "ready"}]}
//
// An id left out is the address, a state left out is ready; the other is draining. The form is JSON since a file cut
// anywhere is not a whole one. One bad entry spoils the file.
func ParseMemberFile(text []byte) ([]endpointset.Member, error) {
	var file struct {
		Format  int `json:"format"`
		Members []struct {
			ID, Address, Zone, Kind, State string
			Cell                           int
		} `json:"members"`
	}
	d := json.NewDecoder(bytes.NewReader(text))
	d.DisallowUnknownFields()
	if err := d.Decode(&file); err != nil {
		return nil, err
	}
	if _, err := d.Token(); err != io.EOF {
		return nil, errors.New("something stands behind the list")
	}
	if file.Format != 1 {
		return nil, fmt.Errorf("format: %d is not 1", file.Format)
	}
	if len(file.Members) > MaxMembers {
		return nil, fmt.Errorf("members: over %d", MaxMembers)
	}
	members, ids := make([]endpointset.Member, 0, len(file.Members)), make(map[string]bool, len(file.Members))
	for i, m := range file.Members {
		if err := CheckAddress("address", m.Address); err != nil {
			return nil, fmt.Errorf("members[%d].%w", i, err)
		}
		if m.ID == "" {
			m.ID = m.Address
		}
		switch {
		case ids[m.ID]:
			return nil, fmt.Errorf("members[%d].id: %.80q is listed twice", i, m.ID)
		case m.State != "" && m.State != "ready" && m.State != "draining":
			return nil, fmt.Errorf("members[%d].state: %.80q is neither ready nor draining", i, m.State)
		}
		ids[m.ID] = true
		members = append(members, endpointset.Member{ID: m.ID, Addr: m.Address, Zone: m.Zone, Kind: m.Kind, Cell: m.Cell, Draining: m.State == "draining"})
	}
	return members, nil
}
