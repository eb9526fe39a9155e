package wal

import (
	"errors"
	"io"
)

// FS is a directory that holds files and no subdirectories. A change is certain to survive a loss of power only after it was synced:
// File.Sync syncs the content of a file, and SyncDir syncs the creation, renaming and removal of files.
type FS interface {
	// List returns the names of all files, in any order.
	List() ([]string, error)
	// Open opens an existing file for reading and appending.
	Open(name string) (File, error)
	// Create creates an empty file and opens it for reading and appending. An existing file with the name is replaced.
	Create(name string) (File, error)
	// Rename renames a file. An existing file with the new name is replaced.
	Rename(oldName, newName string) error
	// Remove removes a file. The removal may be undone by a loss of power until SyncDir has returned.
	Remove(name string) error
	// SyncDir makes all earlier creations, renamings and removals of files durable.
	SyncDir() error
	// Lock locks the directory until the result is closed or the process ends. The error is ErrLocked if the directory is locked
	// already.
	Lock() (io.Closer, error)
}

// File is an open file of an FS.
type File interface {
	io.ReaderAt
	io.Writer // appends to the end of the file
	// Size returns the size of the file in bytes.
	Size() (int64, error)
	// Truncate shortens the file to size bytes.
	Truncate(size int64) error
	// Sync makes the content of the file durable.
	Sync() error
	io.Closer
}

// ErrLocked means that another process, or another Log of this process, has locked the directory.
var ErrLocked = errors.New("another process has it open")

// TempSuffix ends the name of a file that ReplaceFile is writing. wal.Open removes such files that a crash has left.
const TempSuffix = ".tmp"

// ReplaceFile atomically creates or replaces the file called name, whose new content is all parts in order. The content is written to
// a temporary file and synced before the rename, and the directory is synced after it. So the new file is durable if ReplaceFile
// returns nil. After an error or a crash there is either the old file or the complete new one, and possibly a temporary file whose
// name ends with TempSuffix.
func ReplaceFile(fs FS, name string, parts ...[]byte) error {
	if err := writeFile(fs, name+TempSuffix, parts); err != nil {
		return err
	}
	if err := fs.Rename(name+TempSuffix, name); err != nil {
		return err
	}
	return fs.SyncDir()
}

// writeFile creates a file, writes parts to it, syncs it, and closes it.
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
