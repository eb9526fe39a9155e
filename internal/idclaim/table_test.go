package idclaim

import (
	"fmt"
	"os"
	"path/filepath"
	"sync"
	"sync/atomic"
	"testing"
	"time"
)

func TestIDIsClaimedOnceUntilItExpiresOrIsReleased(t *testing.T) {
	now := 100 * time.Hour // beyond the first wrap-around of the expiry
	table := newTable(make([]uint64, slotCount), func() time.Duration { return now })
	if !table.Claim("a", time.Minute) || table.Claim("a", time.Minute) || !table.Claim("b", time.Minute) {
		t.Fatal("want a claimed once, and b too")
	}
	now += time.Minute - time.Second
	if table.Claim("a", time.Minute) {
		t.Error("a was claimed again before its claim expired")
	}
	table.Release("b")
	if !table.Claim("b", time.Minute) {
		t.Error("b can't be claimed after its release")
	}
	table.Keep("a", time.Minute)
	now += 30 * time.Second
	if table.Claim("a", time.Minute) {
		t.Error("a was claimed again though its claim was kept for longer")
	}
	now += time.Minute
	if !table.Claim("a", time.Minute) {
		t.Error("a can't be claimed after its claim has expired")
	}
}

// Processes of a hot restart must not run the same request at the same time.
func TestIDIsClaimedByOneOfSeveralProcesses(t *testing.T) {
	path := filepath.Join(t.TempDir(), "ids")
	if err := os.WriteFile(path, []byte("left by something else"), 0o600); err != nil {
		t.Fatal(err)
	}
	var tables [4]*Table
	for i := range tables {
		var err error
		if tables[i], err = Open(path); err != nil {
			t.Fatal(err)
		}
	}
	for n := range 500 {
		var claims atomic.Int64
		var claimants sync.WaitGroup
		for _, table := range tables {
			claimants.Go(func() {
				if table.Claim(fmt.Sprint("id-", n), time.Minute) {
					claims.Add(1)
				}
			})
		}
		claimants.Wait()
		if claims.Load() > 1 {
			t.Fatalf("id-%d was claimed %d times, want once at most", n, claims.Load())
		}
	}
}

// A table that is full forgets some ids, and never rejects a new one.
func TestFullTableAcceptsNewIDs(t *testing.T) {
	table := New()
	rejected := 0
	for n := range 4 * slotCount {
		if !table.Claim(fmt.Sprint("id-", n), time.Minute) {
			rejected++
		}
	}
	if rejected > 0 {
		t.Errorf("%d of %d different ids were rejected, want none", rejected, 4*slotCount)
	}
}
