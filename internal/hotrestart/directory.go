package hotrestart

import (
	"errors"
	"fmt"
	"hash/fnv"
	"io"
	"io/fs"
	"log/slog"
	"os"
	"path/filepath"
	"strconv"
	"strings"
	"sync"
	"time"

	"golang.org/x/sys/unix"
)

const (
	// PollInterval is how often a process looks for what the others have written. What operators call binds 1 s after.
	PollInterval = 100 * time.Millisecond
	// ReadOnly is for Look.
	ReadOnly = -1

	lockTimeout          = 500 * time.Millisecond // the file is locked for a read and a write; who holds it longer has stopped
	lockRetryInterval    = 2 * time.Millisecond
	readErrorLogInterval = 10 * time.Second // between two log lines about the same trouble
)

// Directory is one process's part in the directory that all processes of a sidecar share. Its methods may be called by many at once.
type Directory struct {
	pathPrefix string // of the files' names
	name       string
	log        *slog.Logger
	number     int
	liveFile   *os.File // locked for as long as this process lives; says how many descriptors it uses

	mu                  sync.Mutex
	lastState           State
	lastStateInfo       os.FileInfo // of the file that last was read from; nil: none was
	reportedDescriptors int
	readErrorLoggedAt   time.Time
}

// Join enters a directory as the newest process of a sidecar, and gives what the others know. What is damaged there is
// logged, set aside, and no reason not to start; an error means that the directory can't be used at all.
func Join(dir, name string, log *slog.Logger) (*Directory, error) {
	d := &Directory{pathPrefix: filepath.Join(dir, "tuliprock-"+fileNameOf(name)), name: name, log: log}
	err := d.updateState(func(s *State) error {
		d.number = s.addProcess(d.isAlive)
		life, err := os.OpenFile(d.liveFilePath(d.number), os.O_RDWR|os.O_CREATE|os.O_TRUNC, 0o600)
		if err != nil {
			return err
		}
		if err := unix.Flock(int(life.Fd()), unix.LOCK_EX|unix.LOCK_NB); err != nil {
			life.Close()
			return fmt.Errorf("%s: %w", life.Name(), err)
		}
		d.liveFile = life
		return nil
	})
	if err != nil {
		if d.liveFile != nil {
			d.liveFile.Close()
		}
		return nil, fmt.Errorf("hand-over: %w", err)
	}
	return d, nil
}

// fileNameOf makes a sidecar's name fit for a file's, another for each.
func fileNameOf(name string) string {
	out := strings.Map(func(r rune) rune {
		if r >= 'a' && r <= 'z' || r >= 'A' && r <= 'Z' || r >= '0' && r <= '9' || r == '-' || r == '_' {
			return r
		}
		return '_'
	}, name)
	if out == name && len(out) <= 64 {
		return out
	}
	sum := fnv.New64a()
	_, _ = io.WriteString(sum, name) // it never fails
	return fmt.Sprintf("%.64s-%x", out, sum.Sum64())
}

func (d *Directory) liveFilePath(number int) string {
	return fmt.Sprintf("%s.%d.live", d.pathPrefix, number)
}

// isAlive tells whether a process lives: nobody else can lock its file. The file of one that is dead is removed.
func (d *Directory) isAlive(number int) bool {
	f, err := os.Open(d.liveFilePath(number))
	if err != nil {
		return false
	}
	defer f.Close()
	err = unix.Flock(int(f.Fd()), unix.LOCK_SH|unix.LOCK_NB)
	if err == nil {
		_ = os.Remove(f.Name()) // while it is locked: no other can have taken its number
	}
	return errors.Is(err, unix.EWOULDBLOCK)
}

// updateState changes what all know, under the lock, and writes it whole.
func (d *Directory) updateState(how func(*State) error) error {
	lock, err := os.OpenFile(d.pathPrefix+".lock", os.O_RDWR|os.O_CREATE, 0o600)
	if err != nil {
		return err
	}
	defer lock.Close() // the lock goes with it
	for began := time.Now(); ; time.Sleep(lockRetryInterval) {
		err := unix.Flock(int(lock.Fd()), unix.LOCK_EX|unix.LOCK_NB)
		if err == nil {
			break
		}
		if !errors.Is(err, unix.EWOULDBLOCK) && !errors.Is(err, unix.EINTR) || time.Since(began) > lockTimeout {
			return fmt.Errorf("%s: %w", lock.Name(), err)
		}
	}
	s, err := d.readState()
	if err != nil {
		return err
	}
	if err := how(&s); err != nil {
		return err
	}
	text, err := s.encode()
	if err != nil {
		return err
	}
	next := d.pathPrefix + ".state.new" // nobody else writes it: we hold the lock
	if err := os.WriteFile(next, text, 0o600); err != nil {
		return err
	}
	return os.Rename(next, d.pathPrefix+".state")
}

// readState reads what all know; what can't be read is set aside. The lock is held.
func (d *Directory) readState() (State, error) {
	fresh := State{Format: stateFormat, Name: d.name}
	text, err := readBounded(d.pathPrefix + ".state")
	switch {
	case errors.Is(err, fs.ErrNotExist):
		return fresh, nil
	case err != nil:
		return State{}, err
	}
	s, err := Parse(text, d.name)
	if err != nil {
		aside := fmt.Sprintf("%s.state.bad", d.pathPrefix)
		d.log.Error("what the processes share is damaged, and set aside", "file", aside, "err", err)
		if err := os.Rename(d.pathPrefix+".state", aside); err != nil {
			return State{}, err
		}
		return fresh, nil
	}
	return s, nil
}

func readBounded(path string) ([]byte, error) {
	f, err := os.Open(path)
	if err != nil {
		return nil, err
	}
	defer f.Close()
	return io.ReadAll(io.LimitReader(f, maxStateBytes))
}

// Number is this process's.
func (d *Directory) Number() int { return d.number }

// SetReady says whether this process takes callers.
func (d *Directory) SetReady(is bool) error {
	return d.updateState(func(s *State) error {
		s.setReady(d.number, is)
		return nil
	})
}

// ErrTooManyEjections is why an endpoint can't be taken out.
var ErrTooManyEjections = fmt.Errorf("%d endpoints are out already: no more can be", MaxEjections)

// RecordEjection tells the others of a call. When it returns nil they can see it.
func (d *Directory) RecordEjection(id string, out bool, at time.Time) error {
	return d.updateState(func(s *State) error {
		if !s.recordEjection(Ejection{id, out, at.UnixMilli()}) {
			return ErrTooManyEjections
		}
		return nil
	})
}

// Poll tells what all know, what follows from it, and how many descriptors the others use. used is how many this process does;
// LookOnly leaves what it said last.
func (d *Directory) Poll(used int) (s State, v View, others int) {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.reportDescriptors(used)
	if info, err := os.Stat(d.pathPrefix + ".state"); err == nil && (d.lastStateInfo == nil || !os.SameFile(info, d.lastStateInfo) || info.ModTime() != d.lastStateInfo.ModTime()) {
		text, err := readBounded(d.pathPrefix + ".state")
		if err == nil {
			var s State
			if s, err = Parse(text, d.name); err == nil {
				d.lastState, d.lastStateInfo = s, info
			}
		}
		if err != nil && time.Since(d.readErrorLoggedAt) > readErrorLogInterval { // whoever changes it next sets it aside
			d.readErrorLoggedAt = time.Now()
			d.log.Error("what the processes share can't be read", "err", err)
		}
	}
	v = d.lastState.View(d.number, d.isAlive)
	for _, n := range v.Others {
		others += d.descriptorsOf(n)
	}
	return d.lastState, v, others
}

// reportDescriptors writes how many descriptors this process uses. d.mu is held.
func (d *Directory) reportDescriptors(used int) {
	if used == d.reportedDescriptors || used < 0 {
		return
	}
	if _, err := d.liveFile.WriteAt(fmt.Appendf(nil, "%-10d\n", used), 0); err == nil {
		d.reportedDescriptors = used
	}
}

// descriptorsOf is how many descriptors another process says that it uses; what can't be read counts as none.
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

// Close leaves: from now on this process counts as dead.
func (d *Directory) Close() error {
	return errors.Join(os.Remove(d.liveFile.Name()), d.liveFile.Close())
}
