package route

import (
	"errors"
	"strings"
	"testing"
)

func TestNormalizeReturnsNormalFormOrRejects(t *testing.T) {
	for target, want := range map[string]string{
		"/": "/", "/a/b": "/a/b", "/a%62c": "/abc", "/%7euser": "/~user", "/a%c3%a9": "/a%C3%A9", "/a/./b": "/a/b", "/a/../b": "/b", "/a/b/..": "/a/",
		"/a/.": "/a/", "/a/%2e%2e/b": "/b", "/...": "/...", "/a.b": "/a.b", "/.hidden": "/.hidden", "/a?x=/../y;z": "/a", "/a%20b": "/a%20b",
	} {
		t.Run(target, func(t *testing.T) {
			got, _, err := Normalize(target)
			if err != nil || got != want {
				t.Errorf("Normalize returned path %q, error %v, want path %q", got, err, want)
			}
		})
	}
	for target, want := range map[string]error{
		"": ErrNotAbsolutePath, "a": ErrNotAbsolutePath, "*": ErrNotAbsolutePath, "http://a.example/x": ErrNotAbsolutePath, "?x": ErrNotAbsolutePath, "//a": ErrInvalidSegment, "/a//b": ErrInvalidSegment,
		"/a;x=1": ErrInvalidSegment, "/a%2fb": ErrInvalidEscape, "/a%5Cb": ErrInvalidEscape, "/%00": ErrInvalidEscape, "/a%3bx": ErrInvalidEscape, "/a%252e": ErrInvalidEscape, "/a%zz": ErrInvalidEscape,
		"/a%2": ErrInvalidEscape, "/..": ErrAboveRoot, "/a/../../b": ErrAboveRoot, "/%2e%2e/": ErrAboveRoot, `/a\b`: ErrUnencodedCharacter, "/a b": ErrUnencodedCharacter, "/a\x7f": ErrUnencodedCharacter,
		"/é": ErrUnencodedCharacter, "/a#b": ErrUnencodedCharacter,
	} {
		t.Run("rejected "+target, func(t *testing.T) {
			if got, _, err := Normalize(target); !errors.Is(err, want) || err.Error() != want.Error() {
				t.Errorf("Normalize returned path %q, error %v, want error %v", got, err, want)
			}
		})
	}
}

func FuzzNormalizeReturnsNormalFormOrRejects(f *testing.F) {
	for _, seed := range []string{"/", "/a/../b?x", "/%2e%2E/a", "/a%2fb", "//", "/.", "/a/.%2e/"} {
		f.Add(seed)
	}
	f.Fuzz(func(t *testing.T, target string) {
		path, query, err := Normalize(target)
		if err != nil {
			return
		}
		normalizedTwice, _, err := Normalize(path)
		if err != nil || normalizedTwice != path {
			t.Errorf("%q is normalized to %q, which is normalized again to %q, error %v", target, path, normalizedTwice, err)
		}
		if strings.Contains(path, "//") || strings.Contains(path+"/", "/../") || strings.Contains(path+"/", "/./") || strings.ContainsAny(path, "?;\\# ") || path[0] != '/' {
			t.Errorf("%q is normalized to %q, which is not in normal form", target, path)
		}
		if _, rawQuery, _ := strings.Cut(target, "?"); rawQuery != query {
			t.Errorf("Normalize returned query %q for %q, want %q", query, target, rawQuery)
		}
	})
}

func TestNormalizeHostStripsPortBracketsAndFinalDot(t *testing.T) {
	for header, want := range map[string]string{"A.Example:80": "a.example", "a.example.": "a.example", "a.example.:8": "a.example", "[::1]:80": "::1",
		"[::1]": "::1", "": "", "10.0.0.1": "10.0.0.1"} {
		t.Run(header, func(t *testing.T) {
			if got := NormalizeHost(header); got != want {
				t.Errorf("Host returned %q, want %q", got, want)
			}
		})
	}
}

func TestNormalizeRejectsInvalidQueryCharacters(t *testing.T) {
	for target, ok := range map[string]bool{"/a?b=%20&c=/?": true, "/a?b#c": false, "/a?\xff": false, "/a?\x20": false} {
		t.Run(target, func(t *testing.T) {
			if _, _, err := Normalize(target); (err == nil) != ok {
				t.Errorf("Normalize returned error %v, want success %v", err, ok)
			}
		})
	}
}
