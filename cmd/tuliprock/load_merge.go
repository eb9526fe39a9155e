package main

import (
	"errors"
	"fmt"
	"os"
	"slices"

	"tuliprock/internal/testkit/loadgen"
)

// loadMergeCommand merges the results of several load runs into one.
type loadMergeCommand struct {
	Files []string `arg:"" help:"Result files written by 'load --json'."`
	JSON  string   `name:"json" placeholder:"FILE" help:"Write the merged result as JSON; -: standard output."`
}

// Run executes the command "load merge". The parser kong calls it with the flags and arguments set.
func (c *loadMergeCommand) Run() error {
	var merged *loadgen.Result
	for i, path := range c.Files {
		if slices.Contains(c.Files[:i], path) {
			return fmt.Errorf("%s: given twice", path)
		}
		text, err := os.ReadFile(path)
		if err != nil {
			return err
		}
		result, err := loadgen.Read(text)
		if err != nil {
			return fmt.Errorf("%s: %w", path, err)
		}
		if merged == nil {
			merged = result
		} else {
			merged.Merge(result)
		}
	}
	if err := writeLoadResult(merged, c.JSON); err != nil {
		return verdictError{err}
	}
	if merged.InvalidReason != "" {
		return verdictError{errors.New("a run is not valid")}
	}
	return nil
}
