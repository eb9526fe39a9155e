package upstream

import (
	"bytes"
	"context"
	"net"
	"net/http"
	"strings"
	"testing"
	"time"
)

// Many requests with long heads may wait at a time: an encoded head must not take much more memory than its length, and be encoded once.
func TestEncodedHeadTakesItsLengthInMemory(t *testing.T) {
	r := &Request{Method: "POST", Target: "/pay?q=1", Host: "h", DeadlineHeader: "Req-Deadline-Ms",
		Header: http.Header{"A": {"b", "c"}, "Long": {strings.Repeat("x", 10000)}, "Req-Deadline-Ms": {"9"}}, Body: make([]byte, 60000)}
	size := func(head net.Buffers) (length, capacity int) {
		for _, part := range head {
			length, capacity = length+len(part), capacity+cap(part)
		}
		return length, capacity
	}
	before := r.encodeHead(t.Context())
	if length, capacity := size(before); capacity > length+length/4+2*maxAddedHeadBytes { // allocations are rounded up to size classes
		t.Errorf("the buffers of a head of %d bytes have %d", length, capacity)
	}
	r.EncodeFields()
	after := r.encodeHead(t.Context())
	ctx, cancel := context.WithTimeout(t.Context(), time.Minute)
	defer cancel()
	limited := string(bytes.Join(r.encodeHead(ctx), nil))
	if r.Header != nil || &r.encodeHead(t.Context())[1][0] != &after[1][0] {
		t.Error("the header is held or encoded again after EncodeFields")
	}
	if want := "POST /pay?q=1 HTTP/1.1\r\nHost: h\r\nContent-Length: 60000\r\nA: b\r\nA: c\r\nLong: "; !strings.HasPrefix(string(bytes.Join(after, nil)), want) {
		t.Errorf("the head begins with %.100q, want %q", bytes.Join(after, nil), want)
	}
	if strings.Contains(limited, "Req-Deadline-Ms: 9\r\n") || strings.Count(limited, "Req-Deadline-Ms: ") != 1 {
		t.Errorf("the head %.120q has the client's deadline, want only that of the attempt", limited)
	}
}
