package status

import (
	"bufio"
	"errors"
	"fmt"
	"io"
	"net"
	"net/url"
	"strconv"
	"strings"
	"time"

	"tuliprock/internal/cluster/consensus"
	"tuliprock/internal/cluster/swim"
)

const (
	// endOfResponse is the line that ends a response. The server of the operators' address writes it.
	endOfResponse = "EOT"

	// failurePrefix begins the line that takes the place of a response when the daemon could not carry out the request.
	failurePrefix = "FAILURE "

	// maxResponseLines bounds a response: a line for each member of the largest cluster, one for the daemon, and the end.
	maxResponseLines = swim.MaxMembers + 2
)

// failureError is the reason that a daemon gives for not carrying out a request.
type failureError string

func (e failureError) Error() string { return string(e) }

// Is reports whether the failure is consensus.ErrIndeterminate at the daemon: the protocol carries nothing but its text.
func (e failureError) Is(target error) bool {
	return target == consensus.ErrIndeterminate && strings.Contains(string(e), target.Error())
}

// query sends a request line, with a body behind it, to a daemon's operators' address, and passes the lines of the
// response to parseLine. All of it takes no longer than timeout.
func query(addr, request string, body []byte, timeout time.Duration, parseLine func(line string) error) error {
	conn, err := net.DialTimeout("tcp", addr, timeout)
	if err != nil {
		return err
	}
	defer conn.Close()
	conn.SetDeadline(time.Now().Add(timeout))
	if _, err := conn.Write(append([]byte(request+"\n"), body...)); err != nil {
		return err
	}
	if err := readResponse(conn, parseLine); err != nil {
		return fmt.Errorf("%s: %w", addr, err)
	}
	return nil
}

// readResponse passes the lines of a response to parseLine, up to endOfResponse. It returns a failureError where the
// daemon reports a failure, and an error where the response is cut short.
func readResponse(r io.Reader, parseLine func(line string) error) error {
	scanner := bufio.NewScanner(r)
	for n := 0; scanner.Scan() && n < maxResponseLines; n++ {
		line := scanner.Text()
		if line == endOfResponse {
			return nil
		}
		if reason, ok := strings.CutPrefix(line, failurePrefix); ok {
			return failureError(reason)
		}
		if err := parseLine(line); err != nil {
			return err
		}
	}
	if err := scanner.Err(); err != nil {
		return err
	}
	return errors.New("the answer has no end")
}

// lineFields holds, by the first word of a line and the key of a field, the pointers to which parseFields assigns the
// values.
type lineFields map[string]map[string]any

// parseFields parses a line: its first word, and fields of the form key=value. It ignores words and keys that fields does
// not have.
func parseFields(line string, fields lineFields) error {
	kind, rest, _ := strings.Cut(line, " ")
	for _, field := range strings.Fields(rest) {
		key, value, _ := strings.Cut(field, "=")
		if err := parseValue(fields[kind][key], value); err != nil {
			return fmt.Errorf("%.200q: %w", line, err)
		}
	}
	return nil
}

// escapedText is a text that is query-escaped on a line, since a value cannot contain spaces.
type escapedText string

// parseValue parses value into what the pointer target points to. A nil target ignores it.
func parseValue(target any, value string) (err error) {
	switch target := target.(type) {
	case *string:
		*target = value
	case *int:
		*target, err = strconv.Atoi(value)
	case *int64:
		*target, err = strconv.ParseInt(value, 10, 64)
	case *bool:
		*target, err = strconv.ParseBool(value)
	case *escapedText:
		var text string
		text, err = url.QueryUnescape(value)
		*target = escapedText(text)
	case *uint64:
		*target, err = strconv.ParseUint(value, 10, 64)
	}
	return err
}
