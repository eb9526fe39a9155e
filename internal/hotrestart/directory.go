// Package hotrestart lets one process of a sidecar replace another under load. The processes inherit one listening socket,
// agree on which of them serves, and share what operators ejected. They do so through files in a directory, and know
// nothing else of one another.
//
// What a process concludes from the shared state is decided by State, View, Lifecycle and DescriptorLimit, which are pure:
// they have no I/O and no clock. Directory reads and writes the files. The package starts no goroutine; its user calls
// Directory.Poll every PollInterval and feeds the result to a Lifecycle.
//
// The files are shared with processes of older and newer builds, so their names and formats are fixed. For a sidecar NAME
// they are: tuliprock-NAME.state, a State in JSON that is replaced as a whole; tuliprock-NAME.lock, locked for each change
// of it; tuliprock-NAME.N.live, locked for as long as process N lives, which holds the number of its descriptors; and
// tuliprock-NAME.state.bad, the latest state that could not be parsed.
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
	"strings"
	"sync"
	"time"

	"golang.org/x/sys/unix"
)

const (
	// PollInterval is how often a process reads what the others have written. An operator's call must bind all processes
	// within 1 s.
	PollInterval = 100 * time.Millisecond
	// KeepReportedDescriptors makes Poll leave the number of descriptors as this process last reported it.
	KeepReportedDescriptors = -1

	// lockTimeout bounds the wait for the lock. It is held for one read and one write: a process that holds it for longer
	// has been stopped.
	lockTimeout       = 500 * time.Millisecond
	lockRetryInterval = 2 * time.Millisecond

	// readErrorLogInterval is the least time between log lines about a state that can't be read.
	readErrorLogInterval = 10 * time.Second
	maxFileNameBytes     = 64 // of a sidecar's name within the files' names
)

// Directory is this process's access to the directory that all processes of a sidecar share. Its methods may be called
// concurrently.
type Directory struct {
	pathPrefix string // of all files
	name       string // the sidecar's
	log        *slog.Logger
	number     int      // this process's
	liveFile   *os.File // its lock proves that this process lives

	mu                  sync.Mutex // guards what follows
	lastState           State
	lastStateInfo       os.FileInfo // of the file that lastState was read from; nil before the first one
	reportedDescriptors int
	readErrorLoggedAt   time.Time
}

// Join adds this process, as the newest one, to the sidecar called name whose files are in dir. A state that can't be parsed
// is logged, set aside and replaced by an empty one. An error means that the directory can't be used at all.
func Join(dir, name string, log *slog.Logger) (*Directory, error) {
	d := &Directory{pathPrefix: filepath.Join(dir, "tuliprock-"+fileNameOf(name)), name: name, log: log}
	err := d.updateState(func(s *State) error {
		d.number = s.addProcess(d.isAlive)
		return d.createLiveFile()
	})
	if err != nil {
		if d.liveFile != nil {
			err = errors.Join(err, d.liveFile.Close())
		}
		return nil, fmt.Errorf("join the processes of sidecar %.80q: %w", name, err)
	}
	return d, nil
}

// Number returns this process's number, which is greater than those of all processes that joined before.
func (d *Directory) Number() int { return d.number }

// Close leaves the directory: the other processes take this one for dead. No method may be called after it.
func (d *Directory) Close() error {
	return errors.Join(os.Remove(d.liveFile.Name()), d.liveFile.Close())
}

// SetReady records whether this process accepts connections. The others see it when it returns nil.
func (d *Directory) SetReady(isReady bool) error {
	return d.updateState(func(s *State) error {
		s.setReady(d.number, isReady)
		return nil
	})
}

// RecordEjection records that an operator ejected an endpoint at an instant, or returned it if isEjected is false. The other
// processes see it when it returns nil. The error is ErrTooManyEjections when MaxEjections endpoints are ejected already.
func (d *Directory) RecordEjection(id string, isEjected bool, at time.Time) error {
	return d.updateState(func(s *State) error {
		return s.recordEjection(Ejection{ID: id, Ejected: isEjected, AtMs: at.UnixMilli()})
	})
}

// Poll returns the latest state that could be read, this process's view of it, and how many descriptors the other living
// processes use together. used is how many this one uses, which the others then see; KeepReportedDescriptors leaves that as it was.
func (d *Directory) Poll(used int) (s State, v View, others int) {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.reportDescriptors(used)
	if err := d.refreshState(); err != nil && time.Since(d.readErrorLoggedAt) > readErrorLogInterval {
		d.readErrorLoggedAt = time.Now()
		d.log.Error("hot restart state can't be read", "error", err) // the next process that changes it sets it aside
	}
	v = d.lastState.View(d.number, d.isAlive)
	for _, number := range v.Others {
		others += d.descriptorsOf(number)
	}
	return d.lastState, v, others
}

// refreshState reads the state if its file has been replaced since it was last read. If that fails, lastState stays. d.mu
// must be held.
func (d *Directory) refreshState() error {
	info, err := os.Stat(d.statePath())
	if err != nil { // no process has written it, or it has just been set aside
		return nil
	}
	if d.lastStateInfo != nil && os.SameFile(info, d.lastStateInfo) && info.ModTime().Equal(d.lastStateInfo.ModTime()) {
		return nil
	}
	text, err := readBounded(d.statePath())
	if err != nil {
		return err
	}
	s, err := Parse(text, d.name)
	if err != nil {
		return err
	}
	d.lastState, d.lastStateInfo = s, info
	return nil
}

// updateState applies a change to the state, under the lock, and replaces its file as a whole.
func (d *Directory) updateState(change func(*State) error) error {
	lock, err := d.acquireLock()
	if err != nil {
		return err
	}
	defer func() { _ = lock.Close() }() // releases the lock; nothing was written to it
	s, err := d.readState()
	if err != nil {
		return err
	}
	if err := change(&s); err != nil {
		return err
	}
	text, err := s.encode()
	if err != nil {
		return err
	}
	newPath := d.statePath() + ".new" // only the holder of the lock writes it
	if err := os.WriteFile(newPath, text, 0o600); err != nil {
		return err
	}
	return os.Rename(newPath, d.statePath())
}

// acquireLock locks the state for this call, against other processes and other calls in this one. Closing the file releases
// the lock.
func (d *Directory) acquireLock() (*os.File, error) {
	lock, err := os.OpenFile(d.pathPrefix+".lock", os.O_RDWR|os.O_CREATE, 0o600)
	if err != nil {
		return nil, err
	}
	for began := time.Now(); ; time.Sleep(lockRetryInterval) {
		err := unix.Flock(int(lock.Fd()), unix.LOCK_EX|unix.LOCK_NB)
		if err == nil {
			return lock, nil
		}
		isHeld := errors.Is(err, unix.EWOULDBLOCK) || errors.Is(err, unix.EINTR)
		if !isHeld || time.Since(began) > lockTimeout {
			return nil, errors.Join(fmt.Errorf("lock %s: %w", lock.Name(), err), lock.Close())
		}
	}
}

// readState reads the state. One that can't be parsed is set aside, and an empty one is returned. The lock must be held.
func (d *Directory) readState() (State, error) {
	empty := State{Format: stateFormat, Name: d.name}
	text, err := readBounded(d.statePath())
	switch {
	case errors.Is(err, fs.ErrNotExist):
		return empty, nil
	case err != nil:
		return State{}, err
	}
	s, err := Parse(text, d.name)
	if err != nil {
		aside := d.statePath() + ".bad"
		d.log.Error("hot restart state is damaged and is set aside", "file", aside, "error", err)
		return empty, os.Rename(d.statePath(), aside)
	}
	return s, nil
}

func (d *Directory) statePath() string { return d.pathPrefix + ".state" }

// readBounded reads a file, up to maxStateBytes of it.
func readBounded(path string) ([]byte, error) {
	f, err := os.Open(path)
	if err != nil {
		return nil, err
	}
	defer func() { _ = f.Close() }() // it was only read
	return io.ReadAll(io.LimitReader(f, maxStateBytes))
}

// fileNameOf maps a sidecar's name to a part of a file's name, each to a different one.
func fileNameOf(name string) string {
	safe := strings.Map(func(r rune) rune {
		if r >= 'a' && r <= 'z' || r >= 'A' && r <= 'Z' || r >= '0' && r <= '9' || r == '-' || r == '_' {
			return r
		}
		return '_'
	}, name)
	if safe == name && len(safe) <= maxFileNameBytes {
		return safe
	}
	hash := fnv.New64a()
	_, _ = io.WriteString(hash, name) // never returns an error
	return fmt.Sprintf("%.*s-%x", maxFileNameBytes, safe, hash.Sum64())
}
