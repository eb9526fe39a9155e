package transport

import (
	"os"
	"path/filepath"
	"strings"
	"testing"
)

func TestReadKeysAcceptsOneOrTwoKeysInAPrivateFile(t *testing.T) {
	path := filepath.Join(t.TempDir(), "keys")
	line := strings.Repeat("0a", 32) + "\n"
	for _, row := range []struct {
		name     string
		content  string
		wantKeys int // number of keys; 0: ReadKeys must return an error
	}{
		{"one key", line, 1},
		{"two keys, a comment and an empty line", "# old\n" + line + "\n" + line, 2},
		{"three keys", line + line + line, 0},
		{"no key", "", 0},
		{"not hexadecimal", "zz\n", 0},
		{"key too short", "0a0b\n", 0},
	} {
		t.Run(row.name, func(t *testing.T) {
			if err := os.WriteFile(path, []byte(row.content), 0o600); err != nil {
				t.Fatal(err)
			}
			keys, err := ReadKeys(path)
			if len(keys) != row.wantKeys || (err == nil) != (row.wantKeys > 0) {
				t.Errorf("got %d keys, error %v; want %d keys, or an error if 0", len(keys), err, row.wantKeys)
			}
			if err != nil && strings.Contains(err.Error(), "\n") {
				t.Errorf("error has several lines, want one: %v", err)
			}
		})
	}
	t.Run("file that other users may read", func(t *testing.T) {
		if err := os.Chmod(path, 0o644); err != nil {
			t.Fatal(err)
		}
		if _, err := ReadKeys(path); err == nil || !strings.Contains(err.Error(), "others") {
			t.Errorf("got error %v, want one that contains \"others\"", err)
		}
	})
}
