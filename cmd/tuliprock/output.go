package main

import (
	"encoding/json"
	"io"
	"os"
	"text/tabwriter"
)

// writeJSON writes the result of a command as one line of JSON to the file at path, or to standard output if path is "-".
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

// writeColumns writes tab-separated rows as a table with aligned columns.
func writeColumns(w io.Writer, rows string) error {
	table := tabwriter.NewWriter(w, 0, 0, 2, ' ', 0)
	if _, err := io.WriteString(table, rows); err != nil {
		return err
	}
	return table.Flush()
}
