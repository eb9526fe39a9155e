package sidecar

import (
	"crypto/sha256"
	"encoding/hex"
	"fmt"
	"io"
	"math/rand/v2"
	"net/http"
	"net/http/httptest"
	"strconv"
	"strings"
	"testing"
)

// streamingListener is a listener section of an operators' file that allows request bodies of up to 1 GiB, which are
// streamed.
const streamingListener = "[[listener]]\nname = \"one\"\naddress = \"127.0.0.1:0\"\nbody_bytes = 1073741824\n"

// pseudoRandomBytes returns a reader of n bytes that are the same on every call and are generated while they are read.
func pseudoRandomBytes(n int64) io.Reader {
	return io.LimitReader(rand.NewChaCha8([32]byte{1}), n)
}

// hashOf returns the SHA-256 of what a reader yields, in hex.
func hashOf(r io.Reader) string {
	h := sha256.New()
	_, _ = io.Copy(h, r)
	return hex.EncodeToString(h.Sum(nil))
}

// startHashingEndpoint starts an endpoint that responds to an upload with the body's hash, its Content-Length and the
// trailer X-After, and to a request with the query give=N with N pseudo-random bytes and trailers. It returns the
// endpoint's address.
func startHashingEndpoint(tb testing.TB) string {
	tb.Helper()
	e := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		if n, err := strconv.ParseInt(r.URL.Query().Get("give"), 10, 64); err == nil {
			if r.URL.Query().Get("chunked") == "" {
				w.Header().Set("Content-Length", strconv.FormatInt(n, 10))
			}
			_, _ = io.Copy(w, pseudoRandomBytes(n))
			w.Header().Set(http.TrailerPrefix+"X-After", "there")
			w.Header().Set(http.TrailerPrefix+"Set-Cookie", "no")
			return
		}
		sum := hashOf(r.Body)
		_, _ = fmt.Fprintf(w, "%s %d %s", sum, r.ContentLength, r.Trailer.Get("X-After"))
	}))
	tb.Cleanup(e.Close)
	return e.Listener.Addr().String()
}

func TestStreamingBodiesAreForwardedComplete(t *testing.T) {
	s := startFromFile(t, parseService(t, streamingListener+poolSection("a", startHashingEndpoint(t), startHashingEndpoint(t))+payRoute))
	for _, n := range []int64{0, 1, 65535, 65536, 65537, 200_000, 20 << 20} {
		for _, isChunked := range []bool{false, true} {
			wantLength, wantTrailer := n, ""
			r, _ := http.NewRequest(http.MethodPost, "http://"+s.addressOf("one")+"/up", io.NopCloser(pseudoRandomBytes(n)))
			r.ContentLength = n
			if isChunked {
				r.ContentLength, wantLength = -1, -1
				if n < 32768 { // a short body is buffered completely, and then forwarded with a length
					wantLength = n
				}
			}
			resp, got := roundTrip(t, r)
			if want := fmt.Sprintf("%s %d %s", hashOf(pseudoRandomBytes(n)), wantLength, wantTrailer); got != want {
				t.Errorf("upload of %d bytes, chunked %v: status %s, %q, want %q", n, isChunked, resp.Status, got, want)
			}
			if isChunked && !resp.Close {
				t.Error("the response to a chunked request does not close the connection")
			}
			query := fmt.Sprintf("?give=%d", n)
			if isChunked {
				query += "&chunked=1"
			}
			get := newGetRequest("http://" + s.addressOf("one") + "/down" + query)
			download, err := (&http.Transport{DisableKeepAlives: true}).RoundTrip(get)
			if err != nil {
				t.Fatal(err)
			}
			if got := hashOf(download.Body); got != hashOf(pseudoRandomBytes(n)) {
				t.Errorf("download of %d bytes, chunked %v: the bytes differ from those that the endpoint sent", n, isChunked)
			}
			if n > 65536 && isChunked && (download.Trailer.Get("X-After") != "there" || download.Trailer.Get("Set-Cookie") != "") {
				t.Errorf("trailers of the response: %v, want X-After and no Set-Cookie", download.Trailer)
			}
		}
	}
	if reservedBytes, waiting := s.bodyMemory.InUse(); reservedBytes != 0 || waiting != 0 {
		t.Errorf("%d bytes of the body memory are still reserved, and %d requests wait for some", reservedBytes, waiting)
	}
}

// newGetRequest returns a GET request for a URL that is known to be valid.
func newGetRequest(url string) *http.Request {
	r, err := http.NewRequest(http.MethodGet, url, nil)
	if err != nil {
		panic(err)
	}
	return r
}

func TestRequestTrailersAreForwardedExceptFramingFields(t *testing.T) {
	s := startFromFile(t, parseService(t, streamingListener+poolSection("a", startHashingEndpoint(t))+payRoute))
	nc, in, _ := openConnection(t, s.addressOf("one"))
	io.WriteString(nc, "POST /up HTTP/1.1\r\nHost: h\r\nTransfer-Encoding: chunked\r\nTrailer: X-After\r\n\r\n"+
		"3;ext=1\r\nabc\r\n0\r\nX-After: yes\r\nContent-Length: 7\r\n\r\n")
	resp, err := http.ReadResponse(in, nil)
	if err != nil {
		t.Fatal(err)
	}
	got, _ := io.ReadAll(resp.Body)
	if want := hashOf(strings.NewReader("abc")) + " -1 yes"; string(got) != want {
		t.Errorf("status %s, body %q, want %q", resp.Status, got, want)
	}
}

// A client that sends Expect: 100-continue gets the endpoint's decision on whether to send the body.
func TestExpectContinueIsAnsweredByTheEndpoint(t *testing.T) {
	var bytesRead int64
	e := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		if r.URL.Path == "/no" {
			w.WriteHeader(http.StatusExpectationFailed)
			return
		}
		bytesRead, _ = io.Copy(io.Discard, r.Body)
	}))
	t.Cleanup(e.Close)
	s := startFromFile(t, parseService(t, streamingListener+poolSection("a", e.Listener.Addr().String())+payRoute))
	for path, want := range map[string]string{"/no": "HTTP/1.1 417 ", "/yes": "HTTP/1.1 100 "} {
		nc, in, _ := openConnection(t, s.addressOf("one"))
		io.WriteString(nc, "POST "+path+" HTTP/1.1\r\nHost: h\r\nContent-Length: 5\r\nExpect: 100-continue\r\n\r\n")
		line, err := in.ReadString('\n')
		if err != nil || !strings.HasPrefix(line, want) {
			t.Fatalf("%s: first line %q, error %v, want %q", path, line, err, want)
		}
		if path == "/no" {
			continue
		}
		io.WriteString(nc, "hello")
		_, _ = in.ReadString('\n')
		if resp, err := http.ReadResponse(in, nil); err != nil || resp.StatusCode != 200 || bytesRead != 5 || resp.Close {
			t.Errorf("response %+v, error %v, %d bytes reached the endpoint, want 200, 5 bytes and an open connection", resp, err, bytesRead)
		}
	}
}
