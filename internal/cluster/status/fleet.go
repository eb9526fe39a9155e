// Package status is what a daemon says of its fleet on the operators' address: the lines, who writes them, and who reads
// them.
package status

import (
	"bufio"
	"errors"
	"fmt"
	"io"
	"net"
	"net/url"
	"strconv"
	"strings"
	"time"

	"tuliprock/internal/cluster/swim"
)

// Fleet is what one daemon holds of its fleet. Its form in JSON is documented.
type Fleet struct {
	Format   int    `json:"format"` // 1
	Self     string `json:"self"`
	Standing string `json:"standing"`        // whole, partial or cut-off
	Elder    string `json:"elder,omitempty"` // address of an elder daemon of this name, to which this one gives way
	View     uint64 `json:"view"`
	Daemons  int    `json:"daemons"` // that share what is divided
	Index    int    `json:"index"`   // of this one among them
	Peers    []Peer `json:"peers"`   // by name, this daemon included
}

// Peer is a member of a fleet.
type Peer struct {
	Name        string `json:"name"`
	Address     string `json:"address"`
	State       string `json:"state"` // alive, suspect, failed or left
	Incarnation uint64 `json:"incarnation"`
	SinceMs     int64  `json:"since_ms"`
}

// FleetFromView makes a report of a view, as it is at an instant.
func FleetFromView(v *swim.View, now time.Duration, daemons, index int) *Fleet {
	f := &Fleet{Format: 1, Self: v.Self, Standing: v.Connectivity.String(), Elder: v.Rival, View: v.Number, Daemons: daemons, Index: index}
	for _, m := range v.Members {
		f.Peers = append(f.Peers, Peer{m.Name, m.Addr.String(), m.State.String(), m.Incarnation, max(now-m.Since, 0).Milliseconds()})
	}
	return f
}

// endOfResponse is the line after the last.
const endOfResponse = "EOT"

// Write writes a line for the daemon, and one for each member. The line that ends an answer is the server's.
func (f *Fleet) Write(w io.Writer) error {
	elder := ""
	if f.Elder != "" {
		elder = " elder=" + f.Elder
	}
	if _, err := fmt.Fprintf(w, "fleet self=%s standing=%s view=%d daemons=%d index=%d%s\n", f.Self, f.Standing, f.View, f.Daemons, f.Index, elder); err != nil {
		return err
	}
	for _, p := range f.Peers {
		if _, err := fmt.Fprintf(w, "peer name=%s address=%s state=%s incarnation=%d since_ms=%d\n", p.Name, p.Address, p.State, p.Incarnation, p.SinceMs); err != nil {
			return err
		}
	}
	return nil
}

const maxResponseLines = swim.MaxMembers + 2

// FetchFleet calls a daemon's operators' address. All of it takes no longer than within.
func FetchFleet(at string, within time.Duration) (*Fleet, error) {
	f := &Fleet{Format: 1}
	return f, query(at, "peers", nil, within, f.parseLine)
}

// query makes a call, with a body behind its line, and hands on the lines of its answer.
func query(at, call string, body []byte, within time.Duration, take func(line string) error) error {
	nc, err := net.DialTimeout("tcp", at, within)
	if err != nil {
		return err
	}
	defer nc.Close()
	_ = nc.SetDeadline(time.Now().Add(within))
	if _, err := nc.Write(append([]byte(call+"\n"), body...)); err != nil {
		return err
	}
	if err := readLines(nc, take); err != nil {
		return fmt.Errorf("%s: %w", at, err)
	}
	return nil
}

// ReadFleet reads an answer to its end. Names that it does not know are left out, so that later versions may say more.
func ReadFleet(r io.Reader) (*Fleet, error) {
	f := &Fleet{Format: 1}
	return f, readLines(r, f.parseLine)
}

func readLines(r io.Reader, take func(line string) error) error {
	in := bufio.NewScanner(r)
	for n := 0; in.Scan() && n < maxResponseLines; n++ {
		line := in.Text()
		if line == endOfResponse {
			return nil
		}
		if why, ok := strings.CutPrefix(line, "FAILURE "); ok {
			return errors.New(why)
		}
		if err := take(line); err != nil {
			return err
		}
	}
	if err := in.Err(); err != nil {
		return err
	}
	return errors.New("the answer has no end")
}

// parseLine takes up a line.
func (f *Fleet) parseLine(line string) error {
	var p Peer
	err := parseLine(line, map[string]map[string]any{
		"fleet": {"self": &f.Self, "standing": &f.Standing, "elder": &f.Elder, "view": &f.View, "daemons": &f.Daemons, "index": &f.Index},
		"peer":  {"name": &p.Name, "address": &p.Address, "state": &p.State, "incarnation": &p.Incarnation, "since_ms": &p.SinceMs},
	})
	if err == nil && p.Name != "" {
		f.Peers = append(f.Peers, p)
	}
	return err
}

// parseLine reads a line: what it is about, and its values by name, each put where it belongs.
func parseLine(line string, of map[string]map[string]any) error {
	what, rest, _ := strings.Cut(line, " ")
	for _, word := range strings.Fields(rest) {
		name, value, _ := strings.Cut(word, "=")
		if err := parseValue(of[what][name], value); err != nil {
			return fmt.Errorf("%.200q: %w", line, err)
		}
	}
	return nil
}

// escapedText is a text of more than a word.
type escapedText string

func parseValue(to any, value string) (err error) {
	switch to := to.(type) {
	case *string:
		*to = value
	case *int:
		*to, err = strconv.Atoi(value)
	case *int64:
		*to, err = strconv.ParseInt(value, 10, 64)
	case *bool:
		*to, err = strconv.ParseBool(value)
	case *escapedText:
		var text string
		text, err = url.QueryUnescape(value)
		*to = escapedText(text)
	case *uint64:
		*to, err = strconv.ParseUint(value, 10, 64)
	}
	return err
}
