package raftnode

import (
	"crypto/sha256"
	"errors"
	"fmt"
	"log/slog"
	"slices"
	"testing"

	"tuliprock/internal/cluster/consensus"
	"tuliprock/internal/testkit/simdisk"
)

// The cache file gives the version that was written, or none: a file that is truncated or damaged at any byte gives no
// version.
func TestCachedVersionIsLoadedCompleteOrNotAtAll(t *testing.T) {
	d := simdisk.New()
	n := &Node{options: Options{Disk: d, Log: slog.New(slog.DiscardHandler)}}
	docs := map[string]consensus.Document{"a": {Name: "a", Version: 5, Body: []byte("text")}}
	n.cacheVersion(consensus.LeasedVersion{Version: 7, Docs: docs}, []string{"v"})
	completeFile, err := readFile(d, cacheFile, maxCacheBytes)
	if err != nil || len(completeFile) == 0 {
		t.Fatalf("cache file of %d bytes, error %v; want a written file", len(completeFile), err)
	}
	load := func(text []byte) (uint64, map[string]consensus.Document) {
		d.SetBytes(cacheFile, text)
		return (&Node{options: n.options}).loadCachedVersion()
	}
	if v, docs := load(completeFile); v != 7 || string(docs["a"].Body) != "text" {
		t.Errorf("loaded version %d with documents %v, want 7 with document a", v, docs)
	}
	for i := range completeFile {
		flippedFile := slices.Clone(completeFile)
		flippedFile[i] ^= 1
		for _, damaged := range [][]byte{completeFile[:i], flippedFile} {
			if v, _ := load(damaged); v != 0 {
				t.Fatalf("a file damaged at byte %d gives version %d, want none", i, v)
			}
		}
	}
	rejectingOptions := n.options
	rejectingOptions.Check = func(map[string]consensus.Document) error { return errors.New("no") }
	d.SetBytes(cacheFile, completeFile)
	if v, _ := (&Node{options: rejectingOptions}).loadCachedVersion(); v != 0 {
		t.Errorf("loaded version %d, want none: the daemon's check rejects it", v)
	}
	d.InjectFailure(0)
	n.cacheVersion(consensus.LeasedVersion{Version: 8}, nil) // the write fails: cacheVersion must log the error and return
	if v, _ := (&Node{options: n.options}).loadCachedVersion(); v == 8 {
		t.Error("loaded version 8, which was written after the disk had failed")
	}
}

// Later builds read the cache files of running daemons, so the file's format must not change.
func TestCacheFileKeepsItsFormat(t *testing.T) {
	d := simdisk.New()
	n := &Node{options: Options{Disk: d, Log: slog.New(slog.DiscardHandler)}}
	n.cacheVersion(consensus.LeasedVersion{Version: 7, ExpiresAt: 1, PreviousVersion: 6, PreviousExpiresAt: 1}, []string{"a", "b"})
	got, err := readFile(d, "ACTED", 1<<20)
	if err != nil {
		t.Fatal(err)
	}
	body := `{"version":7,"docs":null,"voters":["a","b"]}`
	if want := fmt.Sprintf("%x\n%s", sha256.Sum256([]byte(body)), body); string(got) != want {
		t.Errorf("written as %q, want %q", got, want)
	}
}
