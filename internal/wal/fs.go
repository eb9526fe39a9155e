package wal

import (
	"errors"
	"fmt"
	"io"
	"os"
	"path/filepath"
	"syscall"
)

// FS is a directory on a disk. Names are plain; there are no folders below it. What a call has changed is sure to outlast a
// loss of power only when it was synced: a file's bytes by File.Sync, names (of files created, renamed, removed) by SyncDir.
type FS interface {
	// List gives the names of all files, in any order.
	List() ([]string, error)
	// Open opens a file that is there.
	Open(name string) (File, error)
	// Create makes an empty file, in place of one that is there.
	Create(name string) (File, error)
	Rename(old, new string) error
	Remove(name string) error
	SyncDir() error
	// Lock keeps others out until it is closed or the process ends. ErrLocked: another holds it.
	Lock() (io.Closer, error)
}

// File is an open file.
type File interface {
	io.ReaderAt
	io.Writer // at its end
	Size() (int64, error)
	Truncate(size int64) error
	Sync() error
	io.Closer
}

// Replace puts a file in the place of the one of its name, if there is one. When it returns nil the file is sure to be there; when it
// does not, the one before is, or this one. What is left of one that was cut short has a name that ends with TempSuffix.
func Replace(fs FS, name string, parts ...[]byte) error {
	f, err := fs.Create(name + TempSuffix)
	if err != nil {
		return err
	}
	for _, part := range parts {
		if _, err := f.Write(part); err != nil {
			f.Close()
			return err
		}
	}
	if err := f.Sync(); err != nil {
		f.Close()
		return err
	}
	if err := f.Close(); err != nil {
		return err
	}
	if err := fs.Rename(name+TempSuffix, name); err != nil {
		return err
	}
	return fs.SyncDir()
}

// TempSuffix ends the name of a file that is yet to replace another. Open takes such files out.
const TempSuffix = ".tmp"

// ErrLocked is why a directory can't be opened: another process has it open.
var ErrLocked = errors.New("another process has it open")

const lockName = "LOCK"

// Dir is a directory of the system's. It is made where it is not there.
func Dir(path string) (FS, error) {
	if err := os.MkdirAll(path, 0o700); err != nil {
		return nil, err
	}
	return osDir(path), nil
}

type osDir string

func (d osDir) path(name string) string { return filepath.Join(string(d), name) }

// List implements FS.
func (d osDir) List() ([]string, error) {
	entries, err := os.ReadDir(string(d))
	if err != nil {
		return nil, err
	}
	var out []string
	for _, e := range entries {
		if e.Type().IsRegular() && e.Name() != lockName {
			out = append(out, e.Name())
		}
	}
	return out, nil
}

type osFile struct{ *os.File }

// Size implements File.
func (f osFile) Size() (int64, error) {
	info, err := f.Stat()
	if err != nil {
		return 0, err
	}
	return info.Size(), nil
}

// Open implements FS.
func (d osDir) Open(name string) (File, error) { return d.open(name, os.O_RDWR|os.O_APPEND) }

// Create implements FS.
func (d osDir) Create(name string) (File, error) {
	return d.open(name, os.O_RDWR|os.O_APPEND|os.O_CREATE|os.O_TRUNC)
}

func (d osDir) open(name string, how int) (File, error) {
	f, err := os.OpenFile(d.path(name), how, 0o600)
	if err != nil {
		return nil, err
	}
	return osFile{f}, nil
}

// Rename implements FS.
func (d osDir) Rename(old, new string) error { return os.Rename(d.path(old), d.path(new)) }

// Remove implements FS.
func (d osDir) Remove(name string) error { return os.Remove(d.path(name)) }

// SyncDir implements FS.
func (d osDir) SyncDir() error {
	f, err := os.Open(string(d))
	if err != nil {
		return err
	}
	return errors.Join(f.Sync(), f.Close())
}

// Lock implements FS. The system lets go of it when the process ends, however it does.
func (d osDir) Lock() (io.Closer, error) {
	f, err := os.OpenFile(d.path(lockName), os.O_RDWR|os.O_CREATE, 0o600)
	if err != nil {
		return nil, err
	}
	if err := syscall.Flock(int(f.Fd()), syscall.LOCK_EX|syscall.LOCK_NB); err != nil {
		f.Close()
		if errors.Is(err, syscall.EWOULDBLOCK) {
			return nil, fmt.Errorf("%s: %w", string(d), ErrLocked)
		}
		return nil, fmt.Errorf("%s: %w", d.path(lockName), err)
	}
	return f, nil
}
