package main

import (
	"fmt"
	"net/http"
	"strings"
)

// parseHeaders parses the values of the flag --header, each of the form "NAME: VALUE".
func parseHeaders(lines []string) (http.Header, error) {
	header := http.Header{}
	for _, line := range lines {
		name, value, ok := strings.Cut(line, ":")
		if !ok {
			return nil, fmt.Errorf("--header: %q has no colon", line)
		}
		header.Add(strings.TrimSpace(name), strings.TrimSpace(value))
	}
	return header, nil
}
