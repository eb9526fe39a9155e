package main

import (
	"fmt"
	"io"
	"os"
	"path/filepath"

	"tuliprock/internal/testkit/rehearse"
)

// outputFiles are the files that are written at the end. They are opened before the day is played, so that a path that
// cannot be written fails at once, and each appears complete or not at all.
type outputFiles struct {
	files []*outputFile
}

type outputFile struct {
	path        string
	file        *os.File
	isTemporary bool // file stands beside path, to be renamed
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

// write writes the results to each file and puts it in its place.
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

// discard removes the files that were not finished.
func (o *outputFiles) discard() {
	for _, f := range o.files {
		if f.isTemporary {
			_ = f.file.Close()           // its contents are removed, or it was closed by finish
			_ = os.Remove(f.file.Name()) // there is none after finish has renamed it
		}
	}
}

// open creates a temporary file beside the one wanted, so that no incomplete one is ever found there. A device, a pipe or
// standard output ("-") is written to directly.
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

// finish closes the file and puts it in its place.
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
