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
	// endOfResponse is the line that ends a response. The admin server of a daemon writes it.
	endOfResponse = "EOT"

	// failurePrefix starts the line that a daemon sends instead of a response if it could not carry out the request. The
	// rest of the line is the reason.
	failurePrefix = "FAILURE "

	// maxResponseLines is the maximum number of lines of a response: one for each member of the largest cluster, one for the
	// responding daemon, and endOfResponse.
	maxResponseLines = swim.MaxMembers + 2
)

// daemonError is the reason that a daemon reports for not carrying out a request.
type daemonError string

// Error returns the reason in the words of the daemon.
func (e daemonError) Error() string { return string(e) }

// Is reports whether the error that the daemon sent was consensus.ErrIndeterminate. It compares the text, because the protocol
// transfers only the text of an error.
func (e daemonError) Is(target error) bool {
	return target == consensus.ErrIndeterminate && strings.Contains(string(e), target.Error())
}

// query sends a request line and a body to addr, the admin address of a daemon, and passes the lines of the response to
// parseLine. Connecting may take up to timeout, and the exchange on the connection may again take up to timeout.
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

// readResponse passes each line of a response to parseLine, up to the line endOfResponse. It returns a daemonError if the
// daemon reports a failure, and another error if the response is truncated.
func readResponse(r io.Reader, parseLine func(line string) error) error {
	scanner := bufio.NewScanner(r)
	for n := 0; scanner.Scan() && n < maxResponseLines; n++ {
		line := scanner.Text()
		if line == endOfResponse {
			return nil
		}
		if reason, ok := strings.CutPrefix(line, failurePrefix); ok {
			return daemonError(reason)
		}
		if err := parseLine(line); err != nil {
			return err
		}
	}
	if err := scanner.Err(); err != nil {
		return err
	}
	return errors.New("the response has no end line")
}

// lineFields tells parseFields where to store the fields of a response line. For each first word of a line, it has a map from
// the key of a field to a pointer to the variable that gets the field's value.
type lineFields map[string]map[string]any

// parseFields parses a line, which consists of a first word and fields of the form key=value. It ignores first words and
// keys that are not in fields.
func parseFields(line string, fields lineFields) error {
	firstWord, rest, _ := strings.Cut(line, " ")
	for _, field := range strings.Fields(rest) {
		key, value, _ := strings.Cut(field, "=")
		if err := parseValue(fields[firstWord][key], value); err != nil {
			return fmt.Errorf("%.200q: %w", line, err)
		}
	}
	return nil
}

// escapedText is a text that is query-escaped (url.QueryEscape) on a line, because a field's value cannot contain spaces.
type escapedText string

// parseValue parses a value according to the type of the pointer target, and assigns it through the pointer. It ignores the
// value if target is nil.
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
