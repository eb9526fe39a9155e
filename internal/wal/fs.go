package wal

import (
	"errors"
	"io"
)

// FS is a directory. Names are those of files; there are no directories below it. A change is sure to survive a loss of power only when
// it was synced: the bytes of a file by File.Sync, and names (of files created, renamed, removed) by SyncDir.
type FS interface {
	// List returns the names of all files, in any order.
	List() ([]string, error)
	// Open opens an existing file.
	Open(name string) (File, error)
	// Create makes an empty file, in place of an existing one.
	Create(name string) (File, error)
	// Rename renames a file, in place of an existing one.
	Rename(oldName, newName string) error
	// Remove removes a file.
	Remove(name string) error
	// SyncDir makes the names of files durable.
	SyncDir() error
	// Lock locks the directory until the result is closed or the process ends. The error is ErrLocked where it is locked already.
	Lock() (io.Closer, error)
}

// File is an open file.
type File interface {
	io.ReaderAt
	io.Writer // appends
	// Size returns the size in bytes.
	Size() (int64, error)
	// Truncate shortens the file to size bytes.
	Truncate(size int64) error
	// Sync makes the bytes of the file durable.
	Sync() error
	io.Closer
}

// ErrLocked is returned where another process has the directory open.
var ErrLocked = errors.New("another process has it open")

// TempSuffix ends the names of files that Replace has not completed. Open removes such files.
const TempSuffix = ".tmp"

// ReplaceFile writes parts to a file and puts it in place of the one with its name, if there is one. When it returns nil the file is
// durable; otherwise the one before is there, or this one. A crash may leave a file whose name ends with TempSuffix.
func ReplaceFile(fs FS, name string, parts ...[]byte) error {
	if err := writeFile(fs, name+TempSuffix, parts); err != nil {
		return err
	}
	if err := fs.Rename(name+TempSuffix, name); err != nil {
		return err
	}
	return fs.SyncDir()
}

// writeFile creates a file, writes parts to it and syncs it.
func writeFile(fs FS, name string, parts [][]byte) error {
	f, err := fs.Create(name)
	if err != nil {
		return err
	}
	for _, part := range parts {
		if _, err := f.Write(part); err != nil {
			return errors.Join(err, f.Close())
		}
	}
	if err := f.Sync(); err != nil {
		return errors.Join(err, f.Close())
	}
	return f.Close()
}
