package upstream

import (
	"net/http"
	"strings"
	"testing"
)

// The estimate sizes the buffer of a head: too small, and a long head takes twice its length while it is encoded.
func TestHeadLengthCoversEncodedHead(t *testing.T) {
	r := &Request{Method: "POST", Target: "/pay?q=1", Host: "h", DeadlineHeader: "Req-Deadline-Ms",
		Header: http.Header{"A": {"b", "c"}, "Long": {strings.Repeat("x", 10000)}}, Body: make([]byte, 60000)}
	head := r.encodeHead(t.Context())
	if got := r.headLength(); got < len(head) || got > len(head)+2*maxAddedHeadBytes {
		t.Errorf("headLength is %d for a head of %d bytes, want at least its length and at most %d more", got, len(head), 2*maxAddedHeadBytes)
	}
	if cap(head) > r.headLength()+r.headLength()/4 { // allocations are rounded up to size classes
		t.Errorf("the buffer of the head has %d bytes, want about %d", cap(head), r.headLength())
	}
}
