package hotrestart

import (
	"errors"
	"fmt"
	"os"
	"path/filepath"
	"slices"
	"strconv"
	"strings"

	"golang.org/x/sys/unix"
)

// liveFileSuffix is the end of the names of live files.
const liveFileSuffix = ".live"

// liveFilePath returns the path of the live file of the process with this number.
func (d *Directory) liveFilePath(number int) string {
	return fmt.Sprintf("%s.%d%s", d.pathPrefix, number, liveFileSuffix)
}

// liveProcessNumbers returns the numbers of the live processes by their live files, in ascending order and at most the greatest
// maxProcesses of them. It returns none if the directory can't be listed.
func (d *Directory) liveProcessNumbers() (numbers []int) {
	entries, err := os.ReadDir(filepath.Dir(d.pathPrefix))
	if err != nil {
		return nil
	}
	for _, entry := range entries {
		text, hasPrefix := strings.CutPrefix(entry.Name(), filepath.Base(d.pathPrefix)+".")
		text, hasSuffix := strings.CutSuffix(text, liveFileSuffix)
		if number, err := strconv.Atoi(text); hasPrefix && hasSuffix && err == nil && number > 0 && d.isProcessAlive(number) {
			numbers = append(numbers, number)
		}
	}
	slices.Sort(numbers)
	return numbers[max(len(numbers)-maxProcesses, 0):]
}

// createLiveFile creates the live file of this process and locks it. The lock lasts until the process ends or calls Close.
func (d *Directory) createLiveFile() error {
	f, err := os.OpenFile(d.liveFilePath(d.processNumber), os.O_RDWR|os.O_CREATE|os.O_TRUNC, 0o600)
	if err != nil {
		return err
	}
	if err := unix.Flock(int(f.Fd()), unix.LOCK_EX|unix.LOCK_NB); err != nil {
		return errors.Join(fmt.Errorf("lock %s: %w", f.Name(), err), f.Close())
	}
	d.liveFile = f
	return nil
}

// isProcessAlive reports whether a process lives, that is, whether its live file is locked. It removes the live file of a dead
// process.
func (d *Directory) isProcessAlive(number int) bool {
	f, err := os.Open(d.liveFilePath(number))
	if err != nil {
		return false
	}
	defer func() { _ = f.Close() }() // the file was only read, so an error of Close has no effect
	err = unix.Flock(int(f.Fd()), unix.LOCK_SH|unix.LOCK_NB)
	if err == nil {
		// A new process with the same number would have locked the file, and Flock would have failed; so the file is that of a dead
		// process. It is removed before this call releases its own lock, so that no new process can lock it meanwhile. If the
		// removal fails, the next call tries again.
		_ = os.Remove(f.Name())
	}
	return errors.Is(err, unix.EWOULDBLOCK)
}

// reportDescriptors writes count, the number of descriptors that this process uses, into the live file. It writes nothing if the
// file has the same count already, or if count is KeepReportedDescriptors. If the write fails, the next call tries again. d.mu
// must be held.
func (d *Directory) reportDescriptors(count int) {
	if count == d.reportedDescriptors || count < 0 {
		return
	}
	if _, err := d.liveFile.WriteAt(fmt.Appendf(nil, "%-10d\n", count), 0); err == nil {
		d.reportedDescriptors = count
	}
}

// readReportedDescriptors returns the descriptor count in the live file of another process, or 0 if it can't be read.
func (d *Directory) readReportedDescriptors(number int) int {
	text, err := readBoundedFile(d.liveFilePath(number))
	if err != nil {
		return 0
	}
	count, err := strconv.Atoi(strings.TrimSpace(string(text)))
	if err != nil || count < 0 {
		return 0
	}
	return count
}
