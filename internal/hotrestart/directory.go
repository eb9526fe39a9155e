// Package hotrestart lets a new process of a sidecar replace a running one under load. The processes inherit one listening
// socket, agree on which of them accepts connections, and share the manual ejections of endpoints. They communicate only
// through files in a shared directory.
//
// State, View, Lifecycle and DescriptorLimit decide what a process concludes from the shared state. They are pure: they have
// no I/O and read no clock. Directory reads and writes the files. The package starts no goroutine; its user calls
// Directory.Poll every PollInterval and passes the result to a Lifecycle.
//
// Processes of older and newer builds use the same files, so the names and formats are fixed. The files of a sidecar with
// the name NAME are:
//
//   - tuliprock-NAME.state: a State in JSON, which is always replaced as a whole by a rename.
//   - tuliprock-NAME.lock: locked during each change of the state.
//   - tuliprock-NAME.N.live: locked as long as process number N lives. It holds how many descriptors the process uses.
//   - tuliprock-NAME.state.bad: the latest state that could not be parsed.
//   - tuliprock-NAME.ids: the ids of requests that may have run (see package idclaim).
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
	"slices"
	"strings"
	"sync"
	"sync/atomic"
	"time"

	"golang.org/x/sys/unix"
)

const (
	// PollInterval is how often a process reads what the others have written. It must be short enough for a manual ejection
	// to take effect in all processes within 1 s.
	PollInterval = 100 * time.Millisecond
	// KeepReportedDescriptors is passed to Poll to leave unchanged the descriptor count that this process last reported.
	KeepReportedDescriptors = -1

	// lockTimeout bounds the wait for the lock on the state. A process holds the lock for one read and one write only, so
	// one that holds it for longer is suspended, for example by SIGSTOP.
	lockTimeout = 500 * time.Millisecond
	// lockRetryInterval is the pause between two attempts to take the lock.
	lockRetryInterval = 2 * time.Millisecond

	// readErrorLogInterval is the minimum time between two log lines about a state that can't be read.
	readErrorLogInterval = 10 * time.Second
	// maxNamePartBytes is the maximum number of bytes of a sidecar's name that are used in file names.
	maxNamePartBytes = 64
)

// Directory is this process's access to the directory that all processes of a sidecar share. Its methods may be called
// concurrently.
type Directory struct {
	pathPrefix    string // common beginning of the paths of all the sidecar's files
	sidecarName   string // name that all processes of the sidecar were started with
	logger        *slog.Logger
	processNumber int      // number that Join assigned to this process
	liveFile      *os.File // open file whose lock proves to other processes that this one lives

	// knownState is the state that this process last read or wrote; nil before both. A State that is stored here is not modified.
	knownState atomic.Pointer[State]

	mu                   sync.Mutex  // guards the fields below
	lastStateFileInfo    os.FileInfo // identity and modification time of the state file that Poll last read; nil until a state is read
	reportedDescriptors  int         // descriptor count that this process last wrote to its live file
	lastReadErrorLogTime time.Time   // when an unreadable state was last logged
}

// Join adds this process, as the newest one, to the sidecar called name, whose files are in dir. If the existing state can't
// be parsed, Join logs that, renames the file to end in .bad, and starts from a state that has the live processes and no
// ejections: those are known to the live processes. An error means that the directory can't be used at all.
func Join(dir, name string, log *slog.Logger) (*Directory, error) {
	d := &Directory{pathPrefix: filepath.Join(dir, "tuliprock-"+fileNamePart(name)), sidecarName: name, logger: log}
	err := d.updateState(func(s *State) error {
		d.processNumber = s.addProcess(d.isProcessAlive)
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

// IDClaimsPath returns the path of the file in dir that holds the ids of requests which processes of the sidecar may have run.
func IDClaimsPath(dir, name string) string {
	return filepath.Join(dir, "tuliprock-"+fileNamePart(name)+".ids")
}

// Number returns the number of this process, which is greater than the numbers of all processes that joined earlier.
func (d *Directory) Number() int { return d.processNumber }

// Close removes and unlocks the live file, so that the other processes consider this one dead. No method may be called after
// Close.
func (d *Directory) Close() error {
	return errors.Join(os.Remove(d.liveFile.Name()), d.liveFile.Close())
}

// SetReady records whether this process accepts connections. Once SetReady has returned nil, the other processes see the
// change with their next poll.
func (d *Directory) SetReady(isReady bool) error {
	return d.updateState(func(s *State) error {
		s.setReady(d.processNumber, isReady)
		return nil
	})
}

// RecordEjection records that an operator ejected the endpoint id at the time at, or restored it to service if isEjected is
// false. Once RecordEjection has returned nil, the other processes see the change with their next poll. The error is
// ErrTooManyEjections if MaxEjections endpoints are ejected already.
func (d *Directory) RecordEjection(id string, isEjected bool, at time.Time) error {
	return d.updateState(func(s *State) error {
		return s.recordEjection(Ejection{ID: id, Ejected: isEjected, AtMs: at.UnixMilli()})
	})
}

// Poll returns the latest state, this process's view of it, and the total number of descriptors that the other live processes
// report. If the state file is damaged or missing, Poll restores it from what this process knows. It reports to the others that this
// process uses ownDescriptors, or leaves the last report unchanged if ownDescriptors is KeepReportedDescriptors.
func (d *Directory) Poll(ownDescriptors int) (s State, v View, othersDescriptors int) {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.reportDescriptors(ownDescriptors)
	if err := d.reloadChangedState(); err != nil {
		d.restoreState(err)
	}
	s = *d.knownState.Load() // Join has written a state
	v = s.View(d.processNumber, d.isProcessAlive)
	for _, number := range v.Others {
		othersDescriptors += d.readReportedDescriptors(number)
	}
	return s, v, othersDescriptors
}

// restoreState writes the state again from what this process knows, because of an error of reading it. If that fails, it logs both
// errors, but not with every poll. d.mu must be held.
func (d *Directory) restoreState(readErr error) {
	err := d.updateState(func(*State) error { return nil })
	if err != nil && time.Since(d.lastReadErrorLogTime) > readErrorLogInterval {
		d.lastReadErrorLogTime = time.Now()
		d.logger.Error("hot restart state can't be read or restored", "error", errors.Join(readErr, err))
	}
}

// reloadChangedState reads the state into knownState if the state file has been replaced since the last read. If reading or
// parsing fails, knownState stays unchanged. d.mu must be held.
func (d *Directory) reloadChangedState() error {
	info, err := os.Stat(d.statePath())
	if err != nil {
		return err
	}
	if d.lastStateFileInfo != nil && os.SameFile(info, d.lastStateFileInfo) && info.ModTime().Equal(d.lastStateFileInfo.ModTime()) {
		return nil
	}
	text, err := readBoundedFile(d.statePath())
	if err != nil {
		return err
	}
	s, err := ParseState(text, d.sidecarName)
	if err != nil {
		return err
	}
	d.knownState.Store(&s)
	d.lastStateFileInfo = info
	return nil
}

// updateState applies a change to the shared state. It holds the lock meanwhile, so that concurrent changes are not lost, and
// replaces the file by a rename, so that readers, which take no lock, never see part of a state.
func (d *Directory) updateState(change func(*State) error) error {
	lock, err := d.acquireLock()
	if err != nil {
		return err
	}
	defer func() { _ = lock.Close() }() // closing releases the lock; nothing was written to the file
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
	newPath := d.statePath() + ".new" // written only by the process that holds the lock
	if err := os.WriteFile(newPath, text, 0o600); err != nil {
		return err
	}
	if err := os.Rename(newPath, d.statePath()); err != nil {
		return err
	}
	d.knownState.Store(&s)
	return nil
}

// acquireLock locks the state against other processes and against concurrent calls in this process. The caller releases the
// lock by closing the file that is returned.
func (d *Directory) acquireLock() (*os.File, error) {
	lock, err := os.OpenFile(d.pathPrefix+".lock", os.O_RDWR|os.O_CREATE, 0o600)
	if err != nil {
		return nil, err
	}
	for startedAt := time.Now(); ; time.Sleep(lockRetryInterval) {
		err := unix.Flock(int(lock.Fd()), unix.LOCK_EX|unix.LOCK_NB)
		if err == nil {
			return lock, nil
		}
		shouldRetry := errors.Is(err, unix.EWOULDBLOCK) || errors.Is(err, unix.EINTR)
		if !shouldRetry || time.Since(startedAt) > lockTimeout {
			return nil, errors.Join(fmt.Errorf("lock %s: %w", lock.Name(), err), lock.Close())
		}
	}
}

// readState reads and parses the shared state. If there is no file, or if the file can't be parsed, it returns a rebuilt state. It
// renames a file that can't be parsed to end in .bad. The caller must hold the lock.
func (d *Directory) readState() (State, error) {
	text, err := readBoundedFile(d.statePath())
	switch {
	case errors.Is(err, fs.ErrNotExist):
		return d.rebuiltState(), nil
	case err != nil:
		return State{}, err
	}
	s, err := ParseState(text, d.sidecarName)
	if err != nil {
		badPath := d.statePath() + ".bad"
		d.logger.Error("hot restart state is damaged and is set aside", "file", badPath, "error", err)
		return d.rebuiltState(), os.Rename(d.statePath(), badPath)
	}
	return s, nil
}

// rebuiltState returns the state that this process knows or, if it knows none yet, one with the live processes and no ejections. A
// process that joins then gets a number that no live process has.
func (d *Directory) rebuiltState() State {
	if known := d.knownState.Load(); known != nil {
		s := *known
		s.Processes, s.Ejections = slices.Clone(s.Processes), slices.Clone(s.Ejections)
		return s
	}
	s := State{Format: stateFormat, Name: d.sidecarName}
	for _, number := range d.liveProcessNumbers() {
		s.Processes = append(s.Processes, Process{Number: number})
	}
	return s
}

// statePath returns the path of the file that holds the shared State.
func (d *Directory) statePath() string { return d.pathPrefix + ".state" }

// readBoundedFile returns the content of a file, cut off after maxStateBytes.
func readBoundedFile(path string) ([]byte, error) {
	f, err := os.Open(path)
	if err != nil {
		return nil, err
	}
	defer func() { _ = f.Close() }() // the file was only read, so an error of Close has no effect
	return io.ReadAll(io.LimitReader(f, maxStateBytes))
}

// fileNamePart returns the part of the file names that stands for a sidecar's name. Characters that are unsafe in a path are
// replaced, and long names are cut off. A name that was changed in this way gets a hash of the full name as its suffix, so that
// different sidecars use different files.
func fileNamePart(name string) string {
	safeName := strings.Map(func(r rune) rune {
		if r >= 'a' && r <= 'z' || r >= 'A' && r <= 'Z' || r >= '0' && r <= '9' || r == '-' || r == '_' {
			return r
		}
		return '_'
	}, name)
	if safeName == name && len(safeName) <= maxNamePartBytes {
		return safeName
	}
	hash := fnv.New64a()
	_, _ = io.WriteString(hash, name) // a hash never returns an error
	return fmt.Sprintf("%.*s-%x", maxNamePartBytes, safeName, hash.Sum64())
}
