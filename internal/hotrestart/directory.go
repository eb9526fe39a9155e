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

	lockTime = 500 * time.Millisecond // the file is locked for a read and a write; who holds it longer has stopped
	lockLook = 2 * time.Millisecond
	complain = 10 * time.Second // between two log lines about the same trouble
)

// Directory is one process's part in the directory that all processes of a sidecar share. Its methods may be called by many at once.
type Directory struct {
	base   string // of the files' names
	name   string
	log    *slog.Logger
	number int
	life   *os.File // locked for as long as this process lives; says how many descriptors it uses

	mu    sync.Mutex
	last  State
	seen  os.FileInfo // of the file that last was read from; nil: none was
	used  int
	spoke time.Time
}

// Join enters a directory as the newest process of a sidecar, and gives what the others know. What is damaged there is
// logged, set aside, and no reason not to start; an error means that the directory can't be used at all.
func Join(dir, name string, log *slog.Logger) (*Directory, error) {
	d := &Directory{base: filepath.Join(dir, "tuliprock-"+plain(name)), name: name, log: log}
	err := d.change(func(s *State) error {
		d.number = s.join(d.alive)
		life, err := os.OpenFile(d.lifeOf(d.number), os.O_RDWR|os.O_CREATE|os.O_TRUNC, 0o600)
		if err != nil {
			return err
		}
		if err := unix.Flock(int(life.Fd()), unix.LOCK_EX|unix.LOCK_NB); err != nil {
			life.Close()
			return fmt.Errorf("%s: %w", life.Name(), err)
		}
		d.life = life
		return nil
	})
	if err != nil {
		if d.life != nil {
			d.life.Close()
		}
		return nil, fmt.Errorf("hand-over: %w", err)
	}
	return d, nil
}

// plain makes a sidecar's name fit for a file's, another for each.
func plain(name string) string {
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

func (d *Directory) lifeOf(number int) string { return fmt.Sprintf("%s.%d.live", d.base, number) }

// alive tells whether a process lives: nobody else can lock its file. The file of one that is dead is removed.
func (d *Directory) alive(number int) bool {
	f, err := os.Open(d.lifeOf(number))
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

// change changes what all know, under the lock, and writes it whole.
func (d *Directory) change(how func(*State) error) error {
	lock, err := os.OpenFile(d.base+".lock", os.O_RDWR|os.O_CREATE, 0o600)
	if err != nil {
		return err
	}
	defer lock.Close() // the lock goes with it
	for began := time.Now(); ; time.Sleep(lockLook) {
		err := unix.Flock(int(lock.Fd()), unix.LOCK_EX|unix.LOCK_NB)
		if err == nil {
			break
		}
		if !errors.Is(err, unix.EWOULDBLOCK) && !errors.Is(err, unix.EINTR) || time.Since(began) > lockTime {
			return fmt.Errorf("%s: %w", lock.Name(), err)
		}
	}
	s, err := d.read()
	if err != nil {
		return err
	}
	if err := how(&s); err != nil {
		return err
	}
	text, err := s.text()
	if err != nil {
		return err
	}
	next := d.base + ".state.new" // nobody else writes it: we hold the lock
	if err := os.WriteFile(next, text, 0o600); err != nil {
		return err
	}
	return os.Rename(next, d.base+".state")
}

// read reads what all know; what can't be read is set aside. The lock is held.
func (d *Directory) read() (State, error) {
	fresh := State{Format: format, Name: d.name}
	text, err := readAll(d.base + ".state")
	switch {
	case errors.Is(err, fs.ErrNotExist):
		return fresh, nil
	case err != nil:
		return State{}, err
	}
	s, err := Parse(text, d.name)
	if err != nil {
		aside := fmt.Sprintf("%s.state.bad", d.base)
		d.log.Error("what the processes share is damaged, and set aside", "file", aside, "err", err)
		if err := os.Rename(d.base+".state", aside); err != nil {
			return State{}, err
		}
		return fresh, nil
	}
	return s, nil
}

func readAll(path string) ([]byte, error) {
	f, err := os.Open(path)
	if err != nil {
		return nil, err
	}
	defer f.Close()
	return io.ReadAll(io.LimitReader(f, mostBytes))
}

// Number is this process's.
func (d *Directory) Number() int { return d.number }

// SetReady says whether this process takes callers.
func (d *Directory) SetReady(is bool) error {
	return d.change(func(s *State) error {
		s.ready(d.number, is)
		return nil
	})
}

// ErrTooManyEjections is why an endpoint can't be taken out.
var ErrTooManyEjections = fmt.Errorf("%d endpoints are out already: no more can be", MaxEjections)

// RecordEjection tells the others of a call. When it returns nil they can see it.
func (d *Directory) RecordEjection(id string, out bool, at time.Time) error {
	return d.change(func(s *State) error {
		if !s.bar(Ejection{id, out, at.UnixMilli()}) {
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
	d.say(used)
	if info, err := os.Stat(d.base + ".state"); err == nil && (d.seen == nil || !os.SameFile(info, d.seen) || info.ModTime() != d.seen.ModTime()) {
		text, err := readAll(d.base + ".state")
		if err == nil {
			var s State
			if s, err = Parse(text, d.name); err == nil {
				d.last, d.seen = s, info
			}
		}
		if err != nil && time.Since(d.spoke) > complain { // whoever changes it next sets it aside
			d.spoke = time.Now()
			d.log.Error("what the processes share can't be read", "err", err)
		}
	}
	v = d.last.View(d.number, d.alive)
	for _, n := range v.Others {
		others += d.usedBy(n)
	}
	return d.last, v, others
}

// say writes how many descriptors this process uses. d.mu is held.
func (d *Directory) say(used int) {
	if used == d.used || used < 0 {
		return
	}
	if _, err := d.life.WriteAt(fmt.Appendf(nil, "%-10d\n", used), 0); err == nil {
		d.used = used
	}
}

// usedBy is how many descriptors another process says that it uses; what can't be read counts as none.
func (d *Directory) usedBy(number int) int {
	text, err := readAll(d.lifeOf(number))
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
	return errors.Join(os.Remove(d.life.Name()), d.life.Close())
}
