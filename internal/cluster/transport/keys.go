package transport

import (
	"bufio"
	"bytes"
	"crypto/hmac"
	"crypto/sha256"
	"encoding/hex"
	"fmt"
	"os"
	"strings"
)

// Keys authenticate packets: the first key signs, and packets signed with any of the keys are accepted, so that operators
// can rotate keys without an interruption.
type Keys []Key

// Key is a secret with which packets are signed (HMAC-SHA256).
type Key struct {
	id     [keyIDBytes]byte // ID of the key in packets that it signs; never zero, because the ID zero marks an unsigned packet
	secret []byte           // HMAC key, minKeyBytes to maxKeyBytes long
}

const (
	keyIDBytes = 4 // length of a key's ID in a packet, in bytes
	maxKeys    = 2 // maximum number of keys in a key file
	// minKeyBytes is the minimum length of a key in bytes: half the length of HMAC-SHA256's output. A key of that length can't
	// be guessed.
	minKeyBytes = 16
	maxKeyBytes = 64 // maximum length of a key in bytes: the block size of SHA-256; HMAC would replace a longer key by its hash
	// malformedKeyFileText says in errors what a key file must contain. It never quotes the file, whose content is secret.
	malformedKeyFileText = "must contain one or two keys, each on a line of 32 to 128 hexadecimal digits"
)

// ReadKeys reads a key file with one or two lines, each of which contains a key in hexadecimal digits. Empty lines and
// lines that begin with # are skipped. A file that users other than its owner may access is rejected. An error names the
// file and, for a malformed key, the line, and never quotes the content.
func ReadKeys(path string) (Keys, error) {
	info, err := os.Stat(path)
	if err != nil {
		return nil, err
	}
	if info.Mode().Perm()&0o077 != 0 {
		return nil, fmt.Errorf("%s: must not be accessible to others than its owner (mode %v)", path, info.Mode().Perm())
	}
	content, err := os.ReadFile(path)
	if err != nil {
		return nil, err
	}
	var keys Keys
	lines := bufio.NewScanner(bytes.NewReader(content))
	for lineNumber := 1; lines.Scan(); lineNumber++ {
		line := strings.TrimSpace(lines.Text())
		if line == "" || strings.HasPrefix(line, "#") {
			continue
		}
		secret, err := hex.DecodeString(line)
		if err != nil || len(secret) < minKeyBytes || len(secret) > maxKeyBytes || len(keys) == maxKeys {
			return nil, fmt.Errorf("%s:%d: %s", path, lineNumber, malformedKeyFileText)
		}
		keys = append(keys, newKey(secret))
	}
	if err := lines.Err(); err != nil || len(keys) == 0 {
		return nil, fmt.Errorf("%s: %s", path, malformedKeyFileText)
	}
	return keys, nil
}

// newKey returns a Key for a secret. The key's ID is derived from the secret, so that all daemons have the same ID for the
// secret.
func newKey(secret []byte) Key {
	sum := sha256.Sum256(append([]byte("tuliprock key id\x00"), secret...))
	k := Key{id: [keyIDBytes]byte(sum[:]), secret: secret}
	if k.id == [keyIDBytes]byte{} {
		k.id[0] = 1
	}
	return k
}

// mac returns the authentication code of a packet's header and body.
func (k *Key) mac(header, body []byte) []byte {
	h := hmac.New(sha256.New, k.secret)
	h.Write(header)
	h.Write(body)
	return h.Sum(nil)
}
