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
	version  = 1
	headSize = 7
	tagSize  = sha256.Size

	sealCluster protowire.Number = 1
	sealCount   protowire.Number = 2
	sealMessage protowire.Number = 3
	sealParcel  protowire.Number = 4
)

// Keys are the operators': the first signs, all are believed.
type Keys []Key

// Key signs messages.
type Key struct {
	id     [4]byte
	secret []byte
}

const (
	mostKeys  = 2
	leastKey  = 16 // bytes: half of what HMAC-SHA256 can use, and far beyond guessing
	mostKey   = 64
	keyFormat = "must hold one or two lines of 32 to 128 hexadecimal digits"
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
		if err != nil || len(secret) < leastKey || len(secret) > mostKey || len(keys) == mostKeys {
			return nil, fmt.Errorf("%s:%d: %s", path, n, keyFormat)
		}
		keys = append(keys, newKey(secret))
	}
	if err := lines.Err(); err != nil || len(keys) == 0 {
		return nil, fmt.Errorf("%s: %s", path, keyFormat)
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
	errForeign = errors.New("of another version or cluster")
	errForged  = errors.New("its key is not known here, or it was changed on the way")
	errReplay  = errors.New("it came before, or is too old to tell")
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
	parcelFrom protowire.Number = iota + 1
	parcelRun
	parcelKind
	parcelBody
)

func (p *Message) marshal() []byte {
	b := text(make([]byte, 0, len(p.Body)+len(p.From)+32), parcelFrom, p.From)
	b = protowire.AppendFixed64(protowire.AppendTag(b, parcelRun, protowire.Fixed64Type), p.Run)
	b = number(b, parcelKind, uint64(p.Kind))
	return text(b, parcelBody, p.Body)
}

func unmarshalParcel(b []byte) (*Message, error) {
	p := &Message{}
	err := fields(b, func(f field) error {
		switch f.is {
		case parcelFrom:
			p.From = string(f.bytes)
		case parcelRun:
			p.Run = f.number
		case parcelKind:
			p.Kind = byte(f.number)
		case parcelBody:
			p.Body = append([]byte(nil), f.bytes...)
		}
		return nil
	})
	if err == nil && !swim.IsValidName(p.From) {
		err = errDamaged
	}
	return p, err
}

// seal appends a message, fit to be sent.
func seal(b []byte, keys Keys, cluster string, count uint64, m *swim.Message) []byte {
	return sealed(b, keys, cluster, count, sealMessage, Marshal(nil, m))
}

func sealed(b []byte, keys Keys, cluster string, count uint64, is protowire.Number, in []byte) []byte {
	start := len(b)
	b = append(b, 'T', 'R', version, 0, 0, 0, 0)
	if len(keys) > 0 {
		copy(b[start+3:], keys[0].id[:])
		b = append(b, make([]byte, tagSize)...)
	}
	body := len(b)
	b = text(b, sealCluster, cluster)
	b = protowire.AppendFixed64(protowire.AppendTag(b, sealCount, protowire.Fixed64Type), count)
	b = text(b, is, in)
	if len(keys) > 0 {
		copy(b[start+headSize:], keys[0].tag(b[start:start+headSize], b[body:]))
	}
	return b
}

func (k *Key) tag(head, body []byte) []byte {
	h := hmac.New(sha256.New, k.secret)
	h.Write(head)
	h.Write(body)
	return h.Sum(nil)
}

// content is what was sealed: a message of the detector's, or a parcel.
type content struct {
	message *swim.Message
	parcel  *Message
	run     uint64
	count   uint64 // its number in its sender's run
}

// open reads what seal and sealed made.
func open(b []byte, keys Keys, cluster string, most int) (c content, err error) {
	if len(b) < headSize || b[0] != 'T' || b[1] != 'R' {
		return c, errDamaged
	}
	if b[2] != version {
		return c, errForeign
	}
	body := b[headSize:]
	if len(keys) > 0 {
		if body, err = believe(b, keys); err != nil {
			return c, err
		}
	} else if [4]byte(b[3:headSize]) != [4]byte{} {
		return c, errForged
	}
	var in, parcel []byte
	of := ""
	if err := fields(body, func(f field) error {
		switch f.is {
		case sealCluster:
			of = string(f.bytes)
		case sealCount:
			c.count = f.number
		case sealMessage:
			in = f.bytes
		case sealParcel:
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
		if c.parcel, err = unmarshalParcel(parcel); err == nil {
			c.run = c.parcel.Run
		}
		return c, err
	}
	if c.message, err = Unmarshal(in, most); err == nil {
		c.run = c.message.From.Run
	}
	return c, err
}

// believe gives the sealed part of a message that one of the keys has signed.
func believe(b []byte, keys Keys) ([]byte, error) {
	if len(b) < headSize+tagSize {
		return nil, errForged
	}
	for i := range keys {
		k := &keys[i]
		if k.id == [4]byte(b[3:headSize]) && hmac.Equal(b[headSize:headSize+tagSize], k.tag(b[:headSize], b[headSize+tagSize:])) {
			return b[headSize+tagSize:], nil
		}
	}
	return nil, errForged
}

// window knows which of the latest messages of a run have come.
type window struct {
	top  uint64 // the highest number
	seen [windowWords]uint64
}

// A stream's message may come after datagrams that were sent after it: some seconds of them.
const (
	windowWords = 16
	windowBits  = 64 * windowWords
)

// take tells whether a number comes for the first time.
func (w *window) take(n uint64) bool {
	if n+windowBits <= w.top {
		return false
	}
	for ; w.top < n && n-w.top <= windowBits; w.top++ { // forget what was at the places to come
		w.clear(w.top + 1)
	}
	if w.top < n {
		*w = window{top: n}
	}
	word, bit := &w.seen[n/64%windowWords], uint64(1)<<(n%64)
	fresh := *word&bit == 0
	*word |= bit
	return fresh
}

func (w *window) clear(n uint64) { w.seen[n/64%windowWords] &^= 1 << (n % 64) }

// runs are the windows of those who were heard, in two generations so that they stay bounded.
type runs struct{ now, before map[uint64]*window }

const mostRuns = 2 * swim.MaxMembers

// take tells whether a message of a run comes for the first time, as far back as can be told.
func (r *runs) take(run, count uint64) bool {
	w := r.now[run]
	if w == nil {
		if w = r.before[run]; w == nil {
			w = &window{}
		}
		if len(r.now) >= mostRuns || r.now == nil {
			r.now, r.before = map[uint64]*window{}, r.now
		}
		r.now[run] = w
	}
	return w.take(count)
}

// MaxDatagramBytes is how long a datagram may be, so that it passes where a network's packets are 1,280 bytes or more (RFC
// 8200, section 5). Overhead is what sealing a message adds at most.
const (
	MaxDatagramBytes = 1200
	Overhead         = headSize + tagSize + 2 + swim.MaxNameBytes + 9 + 3
)
