package main

import (
	"encoding/json"
	"io"
	"os"
	"text/tabwriter"
)

// writeJSON writes the result of a command as one line of JSON to a file; "-" is standard output.
func writeJSON(path string, result any) error {
	text, err := json.Marshal(result)
	if err != nil {
		return err
	}
	text = append(text, '\n')
	if path == "-" {
		_, err = os.Stdout.Write(text)
		return err
	}
	return os.WriteFile(path, text, 0o644)
}

// writeColumns writes rows whose cells are separated by tabs, and aligns the cells.
func writeColumns(w io.Writer, rows string) error {
	t := tabwriter.NewWriter(w, 0, 0, 2, ' ', 0)
	if _, err := io.WriteString(t, rows); err != nil {
		return err
	}
	return t.Flush()
}
