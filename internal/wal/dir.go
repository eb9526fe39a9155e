package wal

import (
	"errors"
	"fmt"
	"io"
	"os"
	"path/filepath"
	"syscall"
)

// lockName is the name of the file that Lock locks. List leaves it out.
const lockName = "LOCK"

// OpenDir returns the directory at path, in the operating system's file system, as an FS. It creates the directory if necessary.
func OpenDir(path string) (FS, error) {
	if err := os.MkdirAll(path, 0o700); err != nil {
		return nil, err
	}
	return osDir(path), nil
}

// osDir is an FS in the operating system's file system. Its value is the path of the directory.
type osDir string

// filePath returns the path of a file in the directory.
func (d osDir) filePath(name string) string { return filepath.Join(string(d), name) }

// List implements FS. It leaves out the lock file and everything that is not a regular file.
func (d osDir) List() ([]string, error) {
	entries, err := os.ReadDir(string(d))
	if err != nil {
		return nil, err
	}
	var names []string
	for _, e := range entries {
		if e.Type().IsRegular() && e.Name() != lockName {
			names = append(names, e.Name())
		}
	}
	return names, nil
}

// Open implements FS. Every write appends to the end of the file, since the file is opened with O_APPEND.
func (d osDir) Open(name string) (File, error) { return d.openFile(name, os.O_RDWR|os.O_APPEND) }

// Create implements FS. It truncates a file that exists.
func (d osDir) Create(name string) (File, error) {
	return d.openFile(name, os.O_RDWR|os.O_APPEND|os.O_CREATE|os.O_TRUNC)
}

// openFile opens a file in the directory with the flags of os.OpenFile.
func (d osDir) openFile(name string, flags int) (File, error) {
	f, err := os.OpenFile(d.filePath(name), flags, 0o600)
	if err != nil {
		return nil, err
	}
	return osFile{f}, nil
}

// Rename implements FS. It does not sync the directory, so a crash may undo the renaming until SyncDir has returned.
func (d osDir) Rename(oldName, newName string) error {
	return os.Rename(d.filePath(oldName), d.filePath(newName))
}

// Remove implements FS. It does not sync the directory, so a crash may undo the removal until SyncDir has returned.
func (d osDir) Remove(name string) error { return os.Remove(d.filePath(name)) }

// SyncDir implements FS. It opens the directory for the call of fsync, and closes it again.
func (d osDir) SyncDir() error {
	f, err := os.Open(string(d))
	if err != nil {
		return err
	}
	return errors.Join(f.Sync(), f.Close())
}

// Lock implements FS. The operating system releases the lock when the process ends, also if it crashes or is killed.
func (d osDir) Lock() (io.Closer, error) {
	f, err := os.OpenFile(d.filePath(lockName), os.O_RDWR|os.O_CREATE, 0o600)
	if err != nil {
		return nil, err
	}
	if err := syscall.Flock(int(f.Fd()), syscall.LOCK_EX|syscall.LOCK_NB); err != nil {
		_ = f.Close() // an error of Close is dropped, so that the operator sees a single line with the lock error
		if errors.Is(err, syscall.EWOULDBLOCK) {
			return nil, fmt.Errorf("%s: %w", string(d), ErrLocked)
		}
		return nil, fmt.Errorf("%s: %w", d.filePath(lockName), err)
	}
	return f, nil
}

// osFile is a File in the operating system's file system.
type osFile struct{ *os.File }

// Size implements File.
func (f osFile) Size() (int64, error) {
	info, err := f.Stat()
	if err != nil {
		return 0, err
	}
	return info.Size(), nil
}
