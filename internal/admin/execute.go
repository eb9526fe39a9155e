package admin

import (
	"bytes"
	"context"
	"errors"
	"fmt"
	"io"
	"time"
)

// responseTimeout limits the execution of a command, so that operators get a response within 1 s. It also limits, separately, the
// write of the response to the connection.
const responseTimeout = 900 * time.Millisecond

// Handlers execute the commands. They are called by many goroutines concurrently. A handler that takes a context must return
// when the context ends.
type Handlers struct {
	// IsReady reports whether this process accepts clients.
	IsReady func() bool
	// WriteMetrics writes all metrics, one per line.
	WriteMetrics func(ctx context.Context, w io.Writer) error
	// WritePeers writes the members of the cluster.
	WritePeers func(w io.Writer) error
	// WriteSettingsStatus writes the version of the cluster's settings that is in force.
	WriteSettingsStatus func(w io.Writer) error
	// HandleSettings executes a settings command with its arguments and body, and writes the result. It may keep body.
	HandleSettings func(ctx context.Context, arguments string, body []byte, w io.Writer) error
	// MaxBodyBytes is the maximum length in bytes of a command's body; 0 means that bodies are rejected.
	MaxBodyBytes int
	// SetEjected ejects an endpoint manually or ends its manual ejection, and returns a text that describes the outcome.
	SetEjected func(ctx context.Context, id string, isEjected bool) (string, error)
}

// execute calls the handler of a command and returns the response, which the caller writes to the client.
func (s *Server) execute(c Command, body []byte) []byte {
	ctx, cancel := context.WithTimeout(context.Background(), responseTimeout)
	defer cancel()
	switch c.Verb {
	case VerbCheck:
		if !s.handlers.IsReady() {
			return failureResponse(errors.New("this process does not take clients"))
		}
		return successResponse("this process takes clients")
	case VerbVars:
		return multiLineResponse(func(w io.Writer) error { return s.handlers.WriteMetrics(ctx, w) })
	case VerbPeers:
		return multiLineResponse(s.handlers.WritePeers)
	case VerbSettings:
		return multiLineResponse(func(w io.Writer) error { return s.handlers.HandleSettings(ctx, c.Arguments, body, w) })
	case VerbVersions:
		return multiLineResponse(s.handlers.WriteSettingsStatus)
	}
	outcome, err := s.handlers.SetEjected(ctx, c.EndpointID, c.Verb == VerbSetDown)
	if err != nil {
		return failureResponse(err)
	}
	return successResponse(outcome)
}

// multiLineResponse returns a response of several lines, of which the last one marks the end.
func multiLineResponse(write func(w io.Writer) error) []byte {
	var text bytes.Buffer
	if err := write(&text); err != nil {
		return failureResponse(err)
	}
	text.WriteString("EOT\n")
	return text.Bytes()
}

func successResponse(text string) []byte { return fmt.Appendf(nil, "SUCCESS %s\n", text) }

func failureResponse(err error) []byte { return fmt.Appendf(nil, "FAILURE %v\n", err) }
