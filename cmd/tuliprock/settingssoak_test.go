package main

import (
	"fmt"
	"os"
	"path/filepath"
	"testing"
	"time"
)

// This test measures how large the memory and the data_dirs of daemons become while the shared document is put again and again,
// for the duration TULIPROCK_TEST_SETTINGS_SOAK (such as 10m); if that variable is not set, the test is skipped. See
// docs/design/027.
func TestSettingsSoakMemoryAndDisk(t *testing.T) {
	duration, err := time.ParseDuration(os.Getenv("TULIPROCK_TEST_SETTINGS_SOAK"))
	if err != nil {
		t.Skip("TULIPROCK_TEST_SETTINGS_SOAK is not set: this is a measurement")
	}
	c := newTestCluster(t, clusterSpec{daemons: 5, voters: 3, allHaveDataDir: true, extraConfig: `shared = { unsure = "refuse" }`})
	start, nextReport, puts, failures := time.Now(), time.Duration(0), 0, 0
	for time.Since(start) < duration {
		puts++
		if _, err := c.daemons[puts%5].putDocument(fmt.Sprint("soak-", puts), "shared", c.settingsText(fmt.Sprint(puts), 10_000), putTimeout); err != nil {
			failures++
		}
		if elapsed := time.Since(start); elapsed >= nextReport {
			sizes := ""
			for i, d := range c.daemons {
				sizes += fmt.Sprintf("  memory %d KiB, disk %d KiB",
					readProcessMemoryKiB(d.cmd.Process.Pid, "VmRSS"), measureDirectorySize(t, filepath.Join(c.dataDir, fmt.Sprint("s", i)))>>10)
			}
			t.Logf("%v: %d puts, %d failed:%s", elapsed.Round(time.Second), puts, failures, sizes)
			nextReport += duration / 10
		}
	}
}

// measureDirectorySize returns the sum of the sizes, in bytes, of the files in a directory.
func measureDirectorySize(t *testing.T, dir string) (bytes int64) {
	t.Helper()
	entries, err := os.ReadDir(dir)
	if err != nil {
		t.Fatal(err)
	}
	for _, e := range entries {
		if info, err := e.Info(); err == nil { // on an error the file was removed meanwhile
			bytes += info.Size()
		}
	}
	return bytes
}
