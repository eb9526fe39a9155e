package transport

import (
	"os"
	"path/filepath"
	"strings"
	"testing"
)

func TestReadKeys(t *testing.T) {
	path := filepath.Join(t.TempDir(), "keys")
	line := strings.Repeat("0a", 32) + "\n"
	for _, row := range []struct {
		name    string
		content string
		keys    int // 0: an error
	}{
		{"one key", line, 1},
		{"two keys, a comment and an empty line", "# old\n" + line + "\n" + line, 2},
		{"three keys", line + line + line, 0},
		{"no key", "", 0},
		{"no hexadecimal digits", "zz\n", 0},
		{"too short", "0a0b\n", 0},
	} {
		t.Run(row.name, func(t *testing.T) {
			if err := os.WriteFile(path, []byte(row.content), 0o600); err != nil {
				t.Fatal(err)
			}
			keys, err := ReadKeys(path)
			if len(keys) != row.keys || (err == nil) != (row.keys > 0) {
				t.Errorf("%d keys, error %v", len(keys), err)
			}
			if err != nil && strings.Contains(err.Error(), "\n") {
				t.Errorf("error of more than a line: %v", err)
			}
		})
	}
	t.Run("others may read the file", func(t *testing.T) {
		if err := os.Chmod(path, 0o644); err != nil {
			t.Fatal(err)
		}
		if _, err := ReadKeys(path); err == nil || !strings.Contains(err.Error(), "others") {
			t.Errorf("error %v", err)
		}
	})
}
