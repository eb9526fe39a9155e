package admin

import (
	"bytes"
	"context"
	"errors"
	"fmt"
	"io"
	"time"
)

// responseTimeout bounds a command's execution, and then the write of its response: operators are owed one within 1 s.
const responseTimeout = 900 * time.Millisecond

// Handlers carry the commands out. They are called by many goroutines at once. Each that takes a context must return
// when that ends. The body is the handler's own.
type Handlers struct {
	// IsReady tells whether this process takes clients.
	IsReady func() bool
	// WriteMetrics writes all metrics, one a line.
	WriteMetrics func(ctx context.Context, w io.Writer) error
	// WritePeers writes the members of the cluster.
	WritePeers func(w io.Writer) error
	// WriteVersions writes which version of the agreed settings is in force.
	WriteVersions func(w io.Writer) error
	// HandleSettings carries out what follows the verb settings, and writes the result.
	HandleSettings func(ctx context.Context, arguments string, body []byte, w io.Writer) error
	// MaxBodyBytes is how many bytes may follow a line; 0: none.
	MaxBodyBytes int
	// SetEjected ejects an endpoint manually, or ends that, and describes the outcome.
	SetEjected func(ctx context.Context, id string, isEjected bool) (string, error)
}

// execute carries a command out and returns its response.
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
		return multiLineResponse(s.handlers.WriteVersions)
	}
	outcome, err := s.handlers.SetEjected(ctx, c.EndpointID, c.Verb == VerbSetDown)
	if err != nil {
		return failureResponse(err)
	}
	return successResponse(outcome)
}

// multiLineResponse is a response of several lines; the last one marks the end.
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
