// Package simdisk provides an in-memory disk that simulates power loss, write errors and a full disk. After a power loss the disk holds
// everything that was synced, and an arbitrary subset of the sectors that were written since.
package simdisk

import (
	"errors"
	"io"
	"io/fs"
	"maps"
	"math/rand/v2"
	"slices"
	"sync"

	"tuliprock/internal/wal"
)

// SectorSize is the number of bytes that a disk writes atomically.
const SectorSize = 512

// If FailAfter is set, a Disk returns ErrIO for each change after the first FailAfter changes. If Capacity is set, a Disk returns ErrFull
// for a write that would make its files larger than Capacity in total.
var (
	ErrIO   = errors.New("input/output error")
	ErrFull = errors.New("no space left on device")
)

// Disk is a directory on a simulated disk. It implements wal.FS, and is safe for concurrent use.
type Disk struct {
	mu              sync.Mutex
	files           map[string]*inode         // files by name, as the running system sees them
	durableFiles    map[string]*inode         // files by name that certainly survive a crash
	unsyncedChanges []func(map[string]*inode) // changes of file names since the latest SyncDir, in order, each as a function that applies the change to a map of files
	locked          bool
	incarnation     int // number of crashes so far; files opened and locks taken in an earlier incarnation are stale

	FailAfter   int   // value of ChangeCount after which all changes fail with ErrIO; 0: they never fail
	Capacity    int64 // largest total size of all files, in bytes; 0: unlimited
	IgnoresSync bool  // injected fault: syncs succeed without making anything durable
	ChangeCount int   // number of changes so far: writes, truncations, syncs, and files created, renamed or removed; failed ones included
}

// inode is the content of a file, as the running system sees it and as it certainly survives a crash.
type inode struct {
	content         []byte          // bytes as the running system sees them
	durableContent  []byte          // bytes that certainly survive a crash: the content at the latest sync
	unsyncedChanges []contentChange // changes of the content since the latest sync, in order
}

// contentChange is a change of a file's content: a write of data at an offset, or a truncation to a size.
type contentChange struct {
	offset       int64
	data         []byte
	isTruncation bool
	size         int64 // length of the file after a truncation, in bytes; unused for a write
}

// New returns an empty disk.
func New() *Disk { return &Disk{files: map[string]*inode{}, durableFiles: map[string]*inode{}} }

// countChange counts a change of the disk, and returns ErrIO if FailAfter demands that this change fail. The caller holds d.mu.
func (d *Disk) countChange() error {
	d.ChangeCount++
	if d.FailAfter > 0 && d.ChangeCount > d.FailAfter {
		return ErrIO
	}
	return nil
}

// InjectFailure makes all changes fail with ErrIO once remainingChanges more changes have succeeded. On a disk that has never been
// changed, at least one change succeeds, since FailAfter 0 means that no change fails.
func (d *Disk) InjectFailure(remainingChanges int) {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.FailAfter = max(d.ChangeCount+remainingChanges, 1)
}

// Crash simulates a power loss. rng decides which of the unsynced sectors and changes of file names survive. Files that were opened
// before the crash can no longer be changed, the lock is released, and Capacity and FailAfter are reset.
func (d *Disk) Crash(rng *rand.Rand) {
	d.mu.Lock()
	defer d.mu.Unlock()
	visited := map[*inode]bool{}
	for _, files := range []map[string]*inode{d.files, d.durableFiles} {
		for _, name := range slices.Sorted(maps.Keys(files)) { // sorted, so that the seed alone decides what survives
			if file := files[name]; !visited[file] {
				visited[file] = true
				file.crash(rng)
			}
		}
	}
	// Of the changes of file names, a random number of the first ones survive, since file systems journal such changes in order.
	for _, apply := range d.unsyncedChanges[:rng.IntN(len(d.unsyncedChanges)+1)] {
		apply(d.durableFiles)
	}
	d.unsyncedChanges = nil
	d.files = map[string]*inode{}
	for name, file := range d.durableFiles {
		d.files[name] = file
	}
	d.locked, d.FailAfter, d.Capacity = false, 0, 0
	d.incarnation++
}

// crash sets the content of the file to the durable content, changed by a random selection of the unsynced truncations and sectors.
func (i *inode) crash(rng *rand.Rand) {
	b := slices.Clone(i.durableContent)
	for _, c := range i.unsyncedChanges {
		if c.isTruncation {
			if rng.IntN(2) == 0 {
				b = resize(b, c.size)
			}
			continue
		}
		for start := 0; start < len(c.data); {
			end := min(len(c.data), start+SectorSize-int((c.offset+int64(start))%SectorSize))
			if rng.IntN(3) > 0 {
				if size := c.offset + int64(end); int64(len(b)) < size {
					b = resize(b, size) // zeros stand for the sectors before this one that did not survive
				}
				copy(b[c.offset+int64(start):], c.data[start:end])
			}
			start = end
		}
	}
	i.content, i.durableContent, i.unsyncedChanges = b, slices.Clone(b), nil
}

// resize truncates b to a size, or extends it with zeros.
func resize(b []byte, size int64) []byte {
	if int64(len(b)) >= size {
		return b[:size:size]
	}
	return append(b, make([]byte, size-int64(len(b)))...)
}

// Bytes returns a copy of a file's content; nil if there is no such file.
func (d *Disk) Bytes(name string) []byte {
	d.mu.Lock()
	defer d.mu.Unlock()
	if i := d.files[name]; i != nil {
		return slices.Clone(i.content)
	}
	return nil
}

// SetBytes replaces a file, or creates it, with durable content. Tests damage files with it.
func (d *Disk) SetBytes(name string, b []byte) {
	d.mu.Lock()
	defer d.mu.Unlock()
	i := &inode{content: slices.Clone(b), durableContent: slices.Clone(b)}
	d.files[name], d.durableFiles[name] = i, i
}

// Copy returns a disk with the same files, all of them durable.
func (d *Disk) Copy() *Disk {
	out := New()
	names, _ := d.List()
	for _, name := range names {
		out.SetBytes(name, d.Bytes(name))
	}
	return out
}

// List implements wal.FS. The names are in ascending order.
func (d *Disk) List() ([]string, error) {
	d.mu.Lock()
	defer d.mu.Unlock()
	var out []string
	for name := range d.files {
		out = append(out, name)
	}
	slices.Sort(out)
	return out, nil
}

// Open implements wal.FS. It returns fs.ErrNotExist if there is no such file.
func (d *Disk) Open(name string) (wal.File, error) {
	d.mu.Lock()
	defer d.mu.Unlock()
	i := d.files[name]
	if i == nil {
		return nil, &fs.PathError{Op: "open", Path: name, Err: fs.ErrNotExist}
	}
	return &fileHandle{d, i, d.incarnation}, nil
}

// Create implements wal.FS. It replaces an existing file of that name. The new name is durable after the next SyncDir.
func (d *Disk) Create(name string) (wal.File, error) {
	d.mu.Lock()
	defer d.mu.Unlock()
	if err := d.countChange(); err != nil {
		return nil, err
	}
	i := &inode{}
	d.changeFiles(func(files map[string]*inode) { files[name] = i })
	return &fileHandle{d, i, d.incarnation}, nil
}

// changeFiles applies a change of file names for the running system. The change becomes durable with the next SyncDir. The caller holds
// d.mu.
func (d *Disk) changeFiles(apply func(map[string]*inode)) {
	apply(d.files)
	d.unsyncedChanges = append(d.unsyncedChanges, apply)
}

// Rename implements wal.FS. It replaces an existing file of the new name. The change is durable after the next SyncDir.
func (d *Disk) Rename(oldName, newName string) error {
	d.mu.Lock()
	defer d.mu.Unlock()
	if err := d.countChange(); err != nil {
		return err
	}
	i := d.files[oldName]
	if i == nil {
		return &fs.PathError{Op: "rename", Path: oldName, Err: fs.ErrNotExist}
	}
	d.changeFiles(func(files map[string]*inode) { delete(files, oldName); files[newName] = i })
	return nil
}

// Remove implements wal.FS. The removal is durable after the next SyncDir.
func (d *Disk) Remove(name string) error {
	d.mu.Lock()
	defer d.mu.Unlock()
	if err := d.countChange(); err != nil {
		return err
	}
	if d.files[name] == nil {
		return &fs.PathError{Op: "remove", Path: name, Err: fs.ErrNotExist}
	}
	d.changeFiles(func(files map[string]*inode) { delete(files, name) })
	return nil
}

// SyncDir implements wal.FS. It makes all changes of file names durable, unless IgnoresSync is set.
func (d *Disk) SyncDir() error {
	d.mu.Lock()
	defer d.mu.Unlock()
	if err := d.countChange(); err != nil || d.IgnoresSync {
		return err
	}
	for _, apply := range d.unsyncedChanges {
		apply(d.durableFiles)
	}
	d.unsyncedChanges = nil
	return nil
}

// Lock implements wal.FS. It returns wal.ErrLocked while the lock is held. A crash releases the lock.
func (d *Disk) Lock() (io.Closer, error) {
	d.mu.Lock()
	defer d.mu.Unlock()
	if d.locked {
		return nil, wal.ErrLocked
	}
	d.locked = true
	return directoryLock{d, d.incarnation}, nil
}

// directoryLock is the lock of a disk's directory, as Disk.Lock returns it. A crash of the disk releases the lock.
type directoryLock struct {
	disk        *Disk
	incarnation int // Disk.incarnation when the lock was taken
}

// Close implements io.Closer. It releases the lock, unless a crash has done so already.
func (l directoryLock) Close() error {
	l.disk.mu.Lock()
	defer l.disk.mu.Unlock()
	if l.disk.incarnation == l.incarnation {
		l.disk.locked = false
	}
	return nil
}

// fileHandle is an open file of a Disk. After a crash of the disk it is stale, and only its ReadAt and Close succeed.
type fileHandle struct {
	disk        *Disk
	inode       *inode
	incarnation int // Disk.incarnation when the file was opened
}

// errStaleHandle is returned for a write, truncation, sync or size of a file that was opened before the latest crash.
var errStaleHandle = errors.New("the file was opened before the latest crash of the disk")

// checkCurrent returns errStaleHandle if the disk has crashed since the file was opened. The caller holds the disk's mu.
func (h *fileHandle) checkCurrent() error {
	if h.incarnation != h.disk.incarnation {
		return errStaleHandle
	}
	return nil
}

// ReadAt implements wal.File. It reads the content as the running system sees it, and also works on a stale handle.
func (h *fileHandle) ReadAt(p []byte, off int64) (int, error) {
	h.disk.mu.Lock()
	defer h.disk.mu.Unlock()
	if off >= int64(len(h.inode.content)) {
		return 0, io.EOF
	}
	n := copy(p, h.inode.content[off:])
	if n < len(p) {
		return n, io.EOF
	}
	return n, nil
}

// Write implements wal.File. If the disk has too little space left, Write stores the bytes that fit and returns ErrFull.
func (h *fileHandle) Write(p []byte) (int, error) {
	h.disk.mu.Lock()
	defer h.disk.mu.Unlock()
	if err := errors.Join(h.checkCurrent(), h.disk.countChange()); err != nil {
		return 0, err
	}
	var err error
	if h.disk.Capacity > 0 {
		used := int64(0)
		for _, i := range h.disk.files {
			used += int64(len(i.content))
		}
		if free := max(h.disk.Capacity-used, 0); int64(len(p)) > free {
			p, err = p[:free], ErrFull
		}
	}
	h.inode.unsyncedChanges = append(h.inode.unsyncedChanges, contentChange{offset: int64(len(h.inode.content)), data: slices.Clone(p)})
	h.inode.content = append(h.inode.content, p...)
	return len(p), err
}

// Size implements wal.File. It returns errStaleHandle on a stale handle.
func (h *fileHandle) Size() (int64, error) {
	h.disk.mu.Lock()
	defer h.disk.mu.Unlock()
	return int64(len(h.inode.content)), h.checkCurrent()
}

// Truncate implements wal.File. The truncation is durable after the next Sync.
func (h *fileHandle) Truncate(size int64) error {
	h.disk.mu.Lock()
	defer h.disk.mu.Unlock()
	if err := errors.Join(h.checkCurrent(), h.disk.countChange()); err != nil {
		return err
	}
	h.inode.unsyncedChanges = append(h.inode.unsyncedChanges, contentChange{isTruncation: true, size: size})
	h.inode.content = resize(h.inode.content, size)
	return nil
}

// Sync implements wal.File. It makes the content durable, unless Disk.IgnoresSync is set.
func (h *fileHandle) Sync() error {
	h.disk.mu.Lock()
	defer h.disk.mu.Unlock()
	if err := errors.Join(h.checkCurrent(), h.disk.countChange()); err != nil || h.disk.IgnoresSync {
		return err
	}
	h.inode.durableContent, h.inode.unsyncedChanges = slices.Clone(h.inode.content), nil
	return nil
}

// Close implements wal.File. It does nothing and always succeeds.
func (h *fileHandle) Close() error { return nil }
