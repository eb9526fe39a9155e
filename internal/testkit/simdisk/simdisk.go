// Package simdisk is a disk in memory that does what disks may do: after a crash it has what was synced, and of the rest any
// sectors, in any order. It fails and fills up when it is told to.
package simdisk

import (
	"errors"
	"io"
	"io/fs"
	"math/rand/v2"
	"slices"
	"sync"

	"tuliprock/internal/wal"
)

// SectorSize is what a disk writes as a whole.
const SectorSize = 512

// Errors that are injected.
var (
	ErrIO   = errors.New("input/output error")
	ErrFull = errors.New("no space left on device")
)

// Disk is a directory on a simulated disk. It implements wal.FS, and is safe for concurrent use.
type Disk struct {
	mu      sync.Mutex
	names   map[string]*inode // as the running system sees them
	durable map[string]*inode // as they are after a crash, but for what is pending
	pending []func(map[string]*inode)
	locked  bool
	life    int // of the system; handles of an earlier one are dead

	FailAfter   int   // operations that change something, until all fail with ErrIO; 0: never
	Capacity    int64 // bytes that all files may have; 0: any
	IgnoresSync bool  // syncs do nothing: a disk that lies
	ChangeCount int   // operations that changed something
}

// inode is a file's bytes, as they are seen and as they are sure to be.
type inode struct {
	seen, sure []byte
	writes     []write // since the last sync
}

// write is a change that is not sure: bytes at an offset, or a cut.
type write struct {
	at   int64
	b    []byte
	cut  bool
	size int64
}

// New makes an empty disk.
func New() *Disk { return &Disk{names: map[string]*inode{}, durable: map[string]*inode{}} }

// change counts an operation, and says whether it fails. d.mu is held.
func (d *Disk) change() error {
	d.ChangeCount++
	if d.FailAfter > 0 && d.ChangeCount > d.FailAfter {
		return ErrIO
	}
	return nil
}

// InjectFailure makes all changes fail after so many more.
func (d *Disk) InjectFailure(after int) {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.FailAfter = max(d.ChangeCount+after, 1)
}

// Crash takes the power away: what was not synced is there by halves, as chance will have it, and the locks are gone.
func (d *Disk) Crash(rng *rand.Rand) {
	d.mu.Lock()
	defer d.mu.Unlock()
	seen := map[*inode]bool{}
	for _, all := range []map[string]*inode{d.names, d.durable} {
		for _, i := range all {
			if !seen[i] {
				seen[i] = true
				i.crash(rng)
			}
		}
	}
	for _, change := range d.pending[:rng.IntN(len(d.pending)+1)] { // names change in order: journals of file systems see to that
		change(d.durable)
	}
	d.pending = nil
	d.names = map[string]*inode{}
	for name, i := range d.durable {
		d.names[name] = i
	}
	d.locked, d.FailAfter, d.Capacity = false, 0, 0
	d.life++
}

// crash applies some sectors of what was not sure.
func (i *inode) crash(rng *rand.Rand) {
	b := slices.Clone(i.sure)
	for _, w := range i.writes {
		if w.cut {
			if rng.IntN(2) == 0 {
				b = resize(b, w.size)
			}
			continue
		}
		for at := 0; at < len(w.b); {
			end := min(len(w.b), at+SectorSize-int((w.at+int64(at))%SectorSize))
			if rng.IntN(3) > 0 {
				if size := w.at + int64(end); int64(len(b)) < size {
					b = resize(b, size) // what lies between is zeros
				}
				copy(b[w.at+int64(at):], w.b[at:end])
			}
			at = end
		}
	}
	i.seen, i.sure, i.writes = b, slices.Clone(b), nil
}

func resize(b []byte, size int64) []byte {
	if int64(len(b)) >= size {
		return b[:size:size]
	}
	return append(b, make([]byte, size-int64(len(b)))...)
}

// Bytes gives a file as it is, to be looked at or damaged with SetBytes.
func (d *Disk) Bytes(name string) []byte {
	d.mu.Lock()
	defer d.mu.Unlock()
	if i := d.names[name]; i != nil {
		return slices.Clone(i.seen)
	}
	return nil
}

// SetBytes makes a file what is given, for sure.
func (d *Disk) SetBytes(name string, b []byte) {
	d.mu.Lock()
	defer d.mu.Unlock()
	i := &inode{seen: slices.Clone(b), sure: slices.Clone(b)}
	d.names[name], d.durable[name] = i, i
}

// Copy gives a disk with the same files, all of them sure.
func (d *Disk) Copy() *Disk {
	out := New()
	names, _ := d.List()
	for _, name := range names {
		out.SetBytes(name, d.Bytes(name))
	}
	return out
}

// List implements wal.FS.
func (d *Disk) List() ([]string, error) {
	d.mu.Lock()
	defer d.mu.Unlock()
	var out []string
	for name := range d.names {
		out = append(out, name)
	}
	slices.Sort(out)
	return out, nil
}

// Open implements wal.FS.
func (d *Disk) Open(name string) (wal.File, error) {
	d.mu.Lock()
	defer d.mu.Unlock()
	i := d.names[name]
	if i == nil {
		return nil, &fs.PathError{Op: "open", Path: name, Err: fs.ErrNotExist}
	}
	return &handle{d, i, d.life}, nil
}

// Create implements wal.FS.
func (d *Disk) Create(name string) (wal.File, error) {
	d.mu.Lock()
	defer d.mu.Unlock()
	if err := d.change(); err != nil {
		return nil, err
	}
	i := &inode{}
	d.set(func(names map[string]*inode) { names[name] = i })
	return &handle{d, i, d.life}, nil
}

// set changes names, now and after the next SyncDir. d.mu is held.
func (d *Disk) set(change func(map[string]*inode)) {
	change(d.names)
	d.pending = append(d.pending, change)
}

// Rename implements wal.FS.
func (d *Disk) Rename(old, new string) error {
	d.mu.Lock()
	defer d.mu.Unlock()
	if err := d.change(); err != nil {
		return err
	}
	i := d.names[old]
	if i == nil {
		return &fs.PathError{Op: "rename", Path: old, Err: fs.ErrNotExist}
	}
	d.set(func(names map[string]*inode) { delete(names, old); names[new] = i })
	return nil
}

// Remove implements wal.FS.
func (d *Disk) Remove(name string) error {
	d.mu.Lock()
	defer d.mu.Unlock()
	if err := d.change(); err != nil {
		return err
	}
	if d.names[name] == nil {
		return &fs.PathError{Op: "remove", Path: name, Err: fs.ErrNotExist}
	}
	d.set(func(names map[string]*inode) { delete(names, name) })
	return nil
}

// SyncDir implements wal.FS.
func (d *Disk) SyncDir() error {
	d.mu.Lock()
	defer d.mu.Unlock()
	if err := d.change(); err != nil || d.IgnoresSync {
		return err
	}
	for _, change := range d.pending {
		change(d.durable)
	}
	d.pending = nil
	return nil
}

// Lock implements wal.FS.
func (d *Disk) Lock() (io.Closer, error) {
	d.mu.Lock()
	defer d.mu.Unlock()
	if d.locked {
		return nil, wal.ErrLocked
	}
	d.locked = true
	return unlock{d, d.life}, nil
}

type unlock struct {
	d    *Disk
	life int
}

// Close implements io.Closer.
func (u unlock) Close() error {
	u.d.mu.Lock()
	defer u.d.mu.Unlock()
	if u.d.life == u.life {
		u.d.locked = false
	}
	return nil
}

// handle is an open file.
type handle struct {
	d    *Disk
	i    *inode
	life int
}

var errDead = errors.New("the system that had it open is no more")

func (h *handle) alive() error {
	if h.life != h.d.life {
		return errDead
	}
	return nil
}

// ReadAt implements wal.File.
func (h *handle) ReadAt(p []byte, off int64) (int, error) {
	h.d.mu.Lock()
	defer h.d.mu.Unlock()
	if off >= int64(len(h.i.seen)) {
		return 0, io.EOF
	}
	n := copy(p, h.i.seen[off:])
	if n < len(p) {
		return n, io.EOF
	}
	return n, nil
}

// Write implements wal.File. A disk that is full takes what it has room for.
func (h *handle) Write(p []byte) (int, error) {
	h.d.mu.Lock()
	defer h.d.mu.Unlock()
	if err := errors.Join(h.alive(), h.d.change()); err != nil {
		return 0, err
	}
	var err error
	if h.d.Capacity > 0 {
		used := int64(0)
		for _, i := range h.d.names {
			used += int64(len(i.seen))
		}
		if room := max(h.d.Capacity-used, 0); int64(len(p)) > room {
			p, err = p[:room], ErrFull
		}
	}
	h.i.writes = append(h.i.writes, write{at: int64(len(h.i.seen)), b: slices.Clone(p)})
	h.i.seen = append(h.i.seen, p...)
	return len(p), err
}

// Size implements wal.File.
func (h *handle) Size() (int64, error) {
	h.d.mu.Lock()
	defer h.d.mu.Unlock()
	return int64(len(h.i.seen)), h.alive()
}

// Truncate implements wal.File.
func (h *handle) Truncate(size int64) error {
	h.d.mu.Lock()
	defer h.d.mu.Unlock()
	if err := errors.Join(h.alive(), h.d.change()); err != nil {
		return err
	}
	h.i.writes = append(h.i.writes, write{cut: true, size: size})
	h.i.seen = resize(h.i.seen, size)
	return nil
}

// Sync implements wal.File.
func (h *handle) Sync() error {
	h.d.mu.Lock()
	defer h.d.mu.Unlock()
	if err := errors.Join(h.alive(), h.d.change()); err != nil || h.d.IgnoresSync {
		return err
	}
	h.i.sure, h.i.writes = slices.Clone(h.i.seen), nil
	return nil
}

// Close implements wal.File.
func (h *handle) Close() error { return nil }
