package main

import (
	"fmt"
	"io"
	"os"
	"path/filepath"

	"tuliprock/internal/testkit/rehearse"
)

// outputFiles are the files that results are written to. They are opened before the rehearsal starts, so that the
// command fails at once if a path is not writable. Each file appears complete or not at all.
type outputFiles struct {
	files []*outputFile
}

// outputFile is a file that is being written, and the function that formats results for it.
type outputFile struct {
	path        string
	file        *os.File
	isTemporary bool // whether file is a temporary file in the directory of path, which finish renames to path
	write       func(io.Writer, []*rehearse.Result) error
}

// openOutputs opens the files of --json and --report.
func (c *rehearseCommand) openOutputs() (*outputFiles, error) {
	outputs := &outputFiles{}
	for _, f := range []*outputFile{{path: c.JSON, write: rehearse.WriteJSON}, {path: c.Report, write: rehearse.WriteReport}} {
		if f.path == "" {
			continue
		}
		if err := f.open(); err != nil {
			outputs.discard()
			return nil, err
		}
		outputs.files = append(outputs.files, f)
	}
	return outputs, nil
}

// write writes the results to each file and renames temporary files to their paths.
func (o *outputFiles) write(results []*rehearse.Result) error {
	for _, f := range o.files {
		if err := f.write(f.file, results); err != nil {
			return fmt.Errorf("%s: %w", f.path, err)
		}
		if err := f.finish(); err != nil {
			return fmt.Errorf("%s: %w", f.path, err)
		}
	}
	return nil
}

// discard removes the temporary files that were not renamed to their paths.
func (o *outputFiles) discard() {
	for _, f := range o.files {
		if f.isTemporary {
			_ = f.file.Close()           // an error does not matter: the file is removed next, or finish has closed it already
			_ = os.Remove(f.file.Name()) // fails if finish has renamed the file
		}
	}
}

// open creates a temporary file in the directory of the path, so that no incomplete file is ever found at the path. A
// device, a pipe or standard output ("-") is written to directly.
func (f *outputFile) open() (err error) {
	if f.path == "-" {
		f.file = os.Stdout
		return nil
	}
	if info, err := os.Stat(f.path); err == nil && !info.Mode().IsRegular() {
		f.file, err = os.OpenFile(f.path, os.O_WRONLY, 0)
		return err
	}
	f.isTemporary = true
	f.file, err = os.CreateTemp(filepath.Dir(f.path), "."+filepath.Base(f.path)+"-*")
	return err
}

// finish closes the file and, if it is temporary, renames it to its path.
func (f *outputFile) finish() error {
	if f.file == os.Stdout {
		return nil
	}
	if f.isTemporary {
		if err := f.file.Chmod(0o644); err != nil {
			return err
		}
	}
	if err := f.file.Close(); err != nil || !f.isTemporary {
		return err
	}
	return os.Rename(f.file.Name(), f.path)
}
