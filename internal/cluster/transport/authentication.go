package transport

import (
	"bufio"
	"bytes"
	"crypto/hmac"
	"crypto/sha256"
	"encoding/hex"
	"errors"
	"fmt"
	"os"
	"strings"

	"google.golang.org/protobuf/encoding/protowire"

	"tuliprock/internal/cluster/swim"
)

// What a sealed message looks like: two letters, the version, four bytes that tell which key, its HMAC-SHA256 of all else
// (32 bytes; left out where the key's four bytes are zero), and the sealed part: cluster, number of the message in its
// sender's run, message.
const (
	packetVersion = 1
	headerBytes   = 7
	macBytes      = sha256.Size

	packetFieldCluster     protowire.Number = 1
	packetFieldSequence    protowire.Number = 2
	packetFieldSwimMessage protowire.Number = 3
	packetFieldMessage     protowire.Number = 4
)

// Keys are the operators': the first signs, all are believed.
type Keys []Key

// Key signs messages.
type Key struct {
	id     [4]byte
	secret []byte
}

const (
	maxKeys       = 2
	minKeyBytes   = 16 // bytes: half of what HMAC-SHA256 can use, and far beyond guessing
	maxKeyBytes   = 64
	keyFileFormat = "must hold one or two lines of 32 to 128 hexadecimal digits"
)

// ReadKeys reads a key file: one key a line in hexadecimal digits, two at most; lines that begin with # are left out. A
// file that others than its owner may read is refused.
func ReadKeys(path string) (Keys, error) {
	info, err := os.Stat(path)
	if err != nil {
		return nil, err
	}
	if info.Mode().Perm()&0o077 != 0 {
		return nil, fmt.Errorf("%s: may be read by others than its owner (mode %v)", path, info.Mode().Perm())
	}
	raw, err := os.ReadFile(path)
	if err != nil {
		return nil, err
	}
	var keys Keys
	lines := bufio.NewScanner(bytes.NewReader(raw))
	for n := 1; lines.Scan(); n++ {
		line := strings.TrimSpace(lines.Text())
		if line == "" || strings.HasPrefix(line, "#") {
			continue
		}
		secret, err := hex.DecodeString(line)
		if err != nil || len(secret) < minKeyBytes || len(secret) > maxKeyBytes || len(keys) == maxKeys {
			return nil, fmt.Errorf("%s:%d: %s", path, n, keyFileFormat)
		}
		keys = append(keys, newKey(secret))
	}
	if err := lines.Err(); err != nil || len(keys) == 0 {
		return nil, fmt.Errorf("%s: %s", path, keyFileFormat)
	}
	return keys, nil
}

func newKey(secret []byte) Key {
	sum := sha256.Sum256(append([]byte("tuliprock key id\x00"), secret...))
	k := Key{id: [4]byte(sum[:4]), secret: secret}
	if k.id == [4]byte{} {
		k.id[0] = 1
	}
	return k
}

// Why a message is dropped.
var (
	errForeign         = errors.New("of another version or cluster")
	errUnauthenticated = errors.New("its key is not known here, or it was changed on the way")
	errReplayed        = errors.New("it came before, or is too old to tell")
)

// Message is what another part of a daemon says to its like in another: a letter that tells which part, and its bytes.
type Message struct {
	From string // the name of who sent it
	Run  uint64 // its process
	Kind byte
	Body []byte
}

// Fields of a parcel.
const (
	messageFieldFrom protowire.Number = iota + 1
	messageFieldRunID
	messageFieldKind
	messageFieldBody
)

func (p *Message) marshal() []byte {
	b := appendBytes(make([]byte, 0, len(p.Body)+len(p.From)+32), messageFieldFrom, p.From)
	b = protowire.AppendFixed64(protowire.AppendTag(b, messageFieldRunID, protowire.Fixed64Type), p.Run)
	b = appendVarint(b, messageFieldKind, uint64(p.Kind))
	return appendBytes(b, messageFieldBody, p.Body)
}

func parseMessage(b []byte) (*Message, error) {
	p := &Message{}
	err := forEachField(b, func(f field) error {
		switch f.id {
		case messageFieldFrom:
			p.From = string(f.bytes)
		case messageFieldRunID:
			p.Run = f.number
		case messageFieldKind:
			p.Kind = byte(f.number)
		case messageFieldBody:
			p.Body = append([]byte(nil), f.bytes...)
		}
		return nil
	})
	if err == nil && !swim.IsValidName(p.From) {
		err = errMalformed
	}
	return p, err
}

// appendSwimPacket appends a message, fit to be sent.
func appendSwimPacket(b []byte, keys Keys, cluster string, count uint64, m *swim.Message) []byte {
	return appendPacket(b, keys, cluster, count, packetFieldSwimMessage, Marshal(nil, m))
}

func appendPacket(b []byte, keys Keys, cluster string, count uint64, is protowire.Number, in []byte) []byte {
	start := len(b)
	b = append(b, 'T', 'R', packetVersion, 0, 0, 0, 0)
	if len(keys) > 0 {
		copy(b[start+3:], keys[0].id[:])
		b = append(b, make([]byte, macBytes)...)
	}
	body := len(b)
	b = appendBytes(b, packetFieldCluster, cluster)
	b = protowire.AppendFixed64(protowire.AppendTag(b, packetFieldSequence, protowire.Fixed64Type), count)
	b = appendBytes(b, is, in)
	if len(keys) > 0 {
		copy(b[start+headerBytes:], keys[0].mac(b[start:start+headerBytes], b[body:]))
	}
	return b
}

func (k *Key) mac(head, body []byte) []byte {
	h := hmac.New(sha256.New, k.secret)
	h.Write(head)
	h.Write(body)
	return h.Sum(nil)
}

// packet is what was sealed: a message of the detector's, or a parcel.
type packet struct {
	swimMessage *swim.Message
	message     *Message
	runID       uint64
	sequence    uint64 // its number in its sender's run
}

// openPacket reads what seal and sealed made.
func openPacket(b []byte, keys Keys, cluster string, most int) (c packet, err error) {
	if len(b) < headerBytes || b[0] != 'T' || b[1] != 'R' {
		return c, errMalformed
	}
	if b[2] != packetVersion {
		return c, errForeign
	}
	body := b[headerBytes:]
	if len(keys) > 0 {
		if body, err = verify(b, keys); err != nil {
			return c, err
		}
	} else if [4]byte(b[3:headerBytes]) != [4]byte{} {
		return c, errUnauthenticated
	}
	var in, parcel []byte
	of := ""
	if err := forEachField(body, func(f field) error {
		switch f.id {
		case packetFieldCluster:
			of = string(f.bytes)
		case packetFieldSequence:
			c.sequence = f.number
		case packetFieldSwimMessage:
			in = f.bytes
		case packetFieldMessage:
			parcel = f.bytes
		}
		return nil
	}); err != nil {
		return c, err
	}
	if of != cluster {
		return c, errForeign
	}
	if parcel != nil {
		if c.message, err = parseMessage(parcel); err == nil {
			c.runID = c.message.Run
		}
		return c, err
	}
	if c.swimMessage, err = parseSwimMessage(in, most); err == nil {
		c.runID = c.swimMessage.From.Run
	}
	return c, err
}

// verify gives the sealed part of a message that one of the keys has signed.
func verify(b []byte, keys Keys) ([]byte, error) {
	if len(b) < headerBytes+macBytes {
		return nil, errUnauthenticated
	}
	for i := range keys {
		k := &keys[i]
		if k.id == [4]byte(b[3:headerBytes]) && hmac.Equal(b[headerBytes:headerBytes+macBytes], k.mac(b[:headerBytes], b[headerBytes+macBytes:])) {
			return b[headerBytes+macBytes:], nil
		}
	}
	return nil, errUnauthenticated
}

// replayWindow knows which of the latest messages of a run have come.
type replayWindow struct {
	highest uint64 // the highest number
	seen    [replayWindowWords]uint64
}

// A stream's message may come after datagrams that were sent after it: some seconds of them.
const (
	replayWindowWords = 16
	replayWindowBits  = 64 * replayWindowWords
)

// accept tells whether a number comes for the first time.
func (w *replayWindow) accept(n uint64) bool {
	if n+replayWindowBits <= w.highest {
		return false
	}
	for ; w.highest < n && n-w.highest <= replayWindowBits; w.highest++ { // forget what was at the places to come
		w.clear(w.highest + 1)
	}
	if w.highest < n {
		*w = replayWindow{highest: n}
	}
	word, bit := &w.seen[n/64%replayWindowWords], uint64(1)<<(n%64)
	fresh := *word&bit == 0
	*word |= bit
	return fresh
}

func (w *replayWindow) clear(n uint64) { w.seen[n/64%replayWindowWords] &^= 1 << (n % 64) }

// replayFilter are the windows of those who were heard, in two generations so that they stay bounded.
type replayFilter struct{ current, previous map[uint64]*replayWindow }

const maxTrackedRuns = 2 * swim.MaxMembers

// accept tells whether a message of a run comes for the first time, as far back as can be told.
func (r *replayFilter) accept(run, count uint64) bool {
	w := r.current[run]
	if w == nil {
		if w = r.previous[run]; w == nil {
			w = &replayWindow{}
		}
		if len(r.current) >= maxTrackedRuns || r.current == nil {
			r.current, r.previous = map[uint64]*replayWindow{}, r.current
		}
		r.current[run] = w
	}
	return w.accept(count)
}

// MaxDatagramBytes is how long a datagram may be, so that it passes where a network's packets are 1,280 bytes or more (RFC
// 8200, section 5). Overhead is what sealing a message adds at most.
const (
	MaxDatagramBytes = 1200
	Overhead         = headerBytes + macBytes + 2 + swim.MaxNameBytes + 9 + 3
)
