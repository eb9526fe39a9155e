package main

import (
	"fmt"
	"os"
	"path/filepath"
	"testing"
	"time"
)

// The measurement: continuous puts for the duration SOAK, and how large the daemons' memory and data_dirs become. See
// docs/design/027.
func TestSettingsSoakMemoryAndDisk(t *testing.T) {
	length, err := time.ParseDuration(os.Getenv("SOAK"))
	if err != nil {
		t.Skip("SOAK is not set: a measurement")
	}
	c := newTestCluster(t, clusterSpec{daemons: 5, voters: 3, persistAll: true, extraConfig: `shared = { unsure = "refuse" }`})
	began, look, puts, failed := time.Now(), time.Duration(0), 0, 0
	for time.Since(began) < length {
		puts++
		if _, err := c.daemons[puts%5].putDocument(fmt.Sprint("soak-", puts), "shared", c.settingsText(fmt.Sprint(puts), 10_000), putTimeout); err != nil {
			failed++
		}
		if since := time.Since(began); since >= look {
			text := ""
			for i, d := range c.daemons {
				text += fmt.Sprintf("  %d KiB, disk %d KiB",
					processMemoryKiB(d.cmd.Process.Pid, "VmRSS"), directorySize(t, filepath.Join(c.dataDir, fmt.Sprint("s", i)))>>10)
			}
			t.Logf("%v: %d puts, %d failed:%s", since.Round(time.Second), puts, failed, text)
			look += length / 10
		}
	}
}

// directorySize is the sum of the sizes of a directory's files.
func directorySize(t *testing.T, dir string) (bytes int64) {
	t.Helper()
	entries, err := os.ReadDir(dir)
	if err != nil {
		t.Fatal(err)
	}
	for _, e := range entries {
		if info, err := e.Info(); err == nil { // else it was removed meanwhile
			bytes += info.Size()
		}
	}
	return bytes
}
