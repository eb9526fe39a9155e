package hotrestart

import (
	"errors"
	"fmt"
	"os"
	"strconv"
	"strings"

	"golang.org/x/sys/unix"
)

func (d *Directory) liveFilePath(number int) string {
	return fmt.Sprintf("%s.%d.live", d.pathPrefix, number)
}

// createLiveFile creates this process's live file and locks it.
func (d *Directory) createLiveFile() error {
	f, err := os.OpenFile(d.liveFilePath(d.number), os.O_RDWR|os.O_CREATE|os.O_TRUNC, 0o600)
	if err != nil {
		return err
	}
	if err := unix.Flock(int(f.Fd()), unix.LOCK_EX|unix.LOCK_NB); err != nil {
		return errors.Join(fmt.Errorf("lock %s: %w", f.Name(), err), f.Close())
	}
	d.liveFile = f
	return nil
}

// isAlive reports whether a process lives, which is when its live file is locked. A dead process's file is removed.
func (d *Directory) isAlive(number int) bool {
	f, err := os.Open(d.liveFilePath(number))
	if err != nil {
		return false
	}
	defer func() { _ = f.Close() }() // nothing was written to it
	err = unix.Flock(int(f.Fd()), unix.LOCK_SH|unix.LOCK_NB)
	if err == nil {
		_ = os.Remove(f.Name()) // under its lock, so that no new process can have taken the number; else the next call removes it
	}
	return errors.Is(err, unix.EWOULDBLOCK)
}

// reportDescriptors writes how many descriptors this process uses into its live file. If that fails, the next call tries
// again. d.mu must be held.
func (d *Directory) reportDescriptors(used int) {
	if used == d.reportedDescriptors || used < 0 {
		return
	}
	if _, err := d.liveFile.WriteAt(fmt.Appendf(nil, "%-10d\n", used), 0); err == nil {
		d.reportedDescriptors = used
	}
}

// descriptorsOf returns how many descriptors another process reported that it uses, 0 if that can't be read.
func (d *Directory) descriptorsOf(number int) int {
	text, err := readBounded(d.liveFilePath(number))
	if err != nil {
		return 0
	}
	n, err := strconv.Atoi(strings.TrimSpace(string(text)))
	if err != nil || n < 0 {
		return 0
	}
	return n
}
