package main

import (
	"errors"
	"fmt"
	"io"
	"os"

	"github.com/aymanbagabas/go-udiff"

	"tuliprock/internal/config"
)

// settingsDiffCommand prints the differences between two versions of a document, or between a document and a file.
type settingsDiffCommand struct {
	daemonFlags
	Name string `default:"shared" help:"Name of the document."`
	From uint64 `help:"Version to compare from; 0: the latest."`
	To   uint64 `help:"Version to compare to; 0: the latest."`
	File string `placeholder:"FILE" help:"Compare to this file instead of a version. Of an operators' file only the shared part is compared."`
}

// Run executes the command "settings diff". The parser kong calls it with the flags and arguments set. The
// exit code is exitFailure if there is a difference.
func (c *settingsDiffCommand) Run() error {
	from, err := c.fetchDocument(c.Name, c.From)
	if err != nil {
		return err
	}
	to, label, err := c.readTarget()
	if err != nil {
		return err
	}
	text := udiff.Unified(fmt.Sprintf("%s, version %d", c.Name, from.PutVersion), label, string(from.Body), string(to))
	err = c.printResult(struct {
		Format  int    `json:"format"`
		Differs bool   `json:"differs"`
		Diff    string `json:"diff"`
	}{1, text != "", text}, func(w io.Writer) error {
		_, err := io.WriteString(w, text)
		return err
	})
	if err == nil && text != "" {
		err = verdictError{errors.New("the documents differ")}
	}
	return err
}

// readTarget returns the text that the document is compared with, from --file or --to, and its label in the diff.
func (c *settingsDiffCommand) readTarget() (body []byte, label string, err error) {
	if c.File == "" {
		to, err := c.fetchDocument(c.Name, c.To)
		if err != nil {
			return nil, "", err
		}
		return to.Body, fmt.Sprintf("%s, version %d", c.Name, to.PutVersion), nil
	}
	body, err = os.ReadFile(c.File)
	if err == nil && c.Name == config.SharedDocument {
		body, _, err = config.ExtractShared(c.File, body)
	}
	return body, c.File, err
}
