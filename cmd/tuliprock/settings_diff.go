package main

import (
	"errors"
	"fmt"
	"io"
	"os"

	"github.com/aymanbagabas/go-udiff"

	"tuliprock/internal/config"
)

type settingsDiffCommand struct {
	daemonFlags
	Name string `default:"shared" help:"Of the document."`
	From uint64 `help:"A version; 0: the latest."`
	To   uint64 `help:"Another; 0: the latest."`
	File string `placeholder:"FILE" help:"In place of --to: an operators' file, of which the shared part counts."`
}

// Run implements kong's command. It ends with exitFailure where there is a difference.
func (c *settingsDiffCommand) Run() error {
	from, err := c.document(c.Name, c.From)
	if err != nil {
		return err
	}
	to, label, err := c.target()
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
		err = verdictError{errors.New("they differ")}
	}
	return err
}

// target returns what the document is compared with, and the label that the diff gives it.
func (c *settingsDiffCommand) target() (body []byte, label string, err error) {
	if c.File == "" {
		to, err := c.document(c.Name, c.To)
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
