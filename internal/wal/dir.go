package wal

import (
	"errors"
	"fmt"
	"io"
	"os"
	"path/filepath"
	"syscall"
)

// lockName is the file that Lock locks. It is not listed.
const lockName = "LOCK"

// OpenDir returns the operating system's directory at path as an FS. It creates the directory if there is none.
func OpenDir(path string) (FS, error) {
	if err := os.MkdirAll(path, 0o700); err != nil {
		return nil, err
	}
	return osDir(path), nil
}

// osDir is the path of a directory.
type osDir string

func (d osDir) filePath(name string) string { return filepath.Join(string(d), name) }

// List implements FS.
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

// Open implements FS.
func (d osDir) Open(name string) (File, error) { return d.openFile(name, os.O_RDWR|os.O_APPEND) }

// Create implements FS.
func (d osDir) Create(name string) (File, error) {
	return d.openFile(name, os.O_RDWR|os.O_APPEND|os.O_CREATE|os.O_TRUNC)
}

func (d osDir) openFile(name string, flags int) (File, error) {
	f, err := os.OpenFile(d.filePath(name), flags, 0o600)
	if err != nil {
		return nil, err
	}
	return osFile{f}, nil
}

// Rename implements FS.
func (d osDir) Rename(oldName, newName string) error {
	return os.Rename(d.filePath(oldName), d.filePath(newName))
}

// Remove implements FS.
func (d osDir) Remove(name string) error { return os.Remove(d.filePath(name)) }

// SyncDir implements FS.
func (d osDir) SyncDir() error {
	f, err := os.Open(string(d))
	if err != nil {
		return err
	}
	return errors.Join(f.Sync(), f.Close())
}

// Lock implements FS. The operating system releases the lock when the process ends, whatever ends it.
func (d osDir) Lock() (io.Closer, error) {
	f, err := os.OpenFile(d.filePath(lockName), os.O_RDWR|os.O_CREATE, 0o600)
	if err != nil {
		return nil, err
	}
	if err := syscall.Flock(int(f.Fd()), syscall.LOCK_EX|syscall.LOCK_NB); err != nil {
		_ = f.Close() // the lock's error is the one that the operator must see, alone on its line
		if errors.Is(err, syscall.EWOULDBLOCK) {
			return nil, fmt.Errorf("%s: %w", string(d), ErrLocked)
		}
		return nil, fmt.Errorf("%s: %w", d.filePath(lockName), err)
	}
	return f, nil
}

// osFile is an open file of an osDir.
type osFile struct{ *os.File }

// Size implements File.
func (f osFile) Size() (int64, error) {
	info, err := f.Stat()
	if err != nil {
		return 0, err
	}
	return info.Size(), nil
}
