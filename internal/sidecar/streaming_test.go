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

// streamingListener is an operators' file whose listener takes streaming bodies.
const streamingListener = "[[listener]]\nname = \"one\"\naddress = \"127.0.0.1:0\"\nbody_bytes = 1073741824\n"

// pseudoRandomBytes reads as the same n bytes every time, and takes no memory for them.
func pseudoRandomBytes(n int64) io.Reader {
	return io.LimitReader(rand.NewChaCha8([32]byte{1}), n)
}

func hashOf(r io.Reader) string {
	h := sha256.New()
	_, _ = io.Copy(h, r)
	return hex.EncodeToString(h.Sum(nil))
}

// bulkEndpoint responds to an upload with its hash, and to a GET with as many bytes as it asks for.
func bulkEndpoint(tb testing.TB) string {
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
	s := startFromFile(t, parseService(t, streamingListener+poolOf("a", bulkEndpoint(t), bulkEndpoint(t))+payRoute))
	for _, n := range []int64{0, 1, 65535, 65536, 65537, 200_000, 20 << 20} {
		for _, chunked := range []bool{false, true} {
			size, after := n, ""
			r, _ := http.NewRequest(http.MethodPost, "http://"+s.addressOf("one")+"/up", io.NopCloser(pseudoRandomBytes(n)))
			r.ContentLength = n
			if chunked {
				r.ContentLength, size = -1, -1
				if n < 32768 { // what fits is buffered complete, and has a length then
					size = n
				}
			}
			resp, got := roundTrip(t, r)
			if want := fmt.Sprintf("%s %d %s", hashOf(pseudoRandomBytes(n)), size, after); got != want {
				t.Errorf("%d bytes up, chunked %v: %s %q, want %q", n, chunked, resp.Status, got, want)
			}
			if chunked && !resp.Close {
				t.Error("a connection that brought chunks goes on")
			}
			query := fmt.Sprintf("?give=%d", n)
			if chunked {
				query += "&chunked=1"
			}
			get := newGetRequest("http://" + s.addressOf("one") + "/down" + query)
			down, err := (&http.Transport{DisableKeepAlives: true}).RoundTrip(get)
			if err != nil {
				t.Fatal(err)
			}
			if got := hashOf(down.Body); got != hashOf(pseudoRandomBytes(n)) {
				t.Errorf("%d bytes down, chunked %v: other bytes", n, chunked)
			}
			if n > 65536 && chunked && (down.Trailer.Get("X-After") != "there" || down.Trailer.Get("Set-Cookie") != "") {
				t.Errorf("trailers down: %v", down.Trailer)
			}
		}
	}
	if held, waiting := s.bodyMemory.InUse(); held != 0 || waiting != 0 {
		t.Errorf("%d bytes of the body memory are still reserved, %d requests wait", held, waiting)
	}
}

func newGetRequest(url string) *http.Request {
	r, err := http.NewRequest(http.MethodGet, url, nil)
	if err != nil {
		panic(err)
	}
	return r
}

func TestRequestTrailersAreForwardedExceptFramingFields(t *testing.T) {
	s := startFromFile(t, parseService(t, streamingListener+poolOf("a", bulkEndpoint(t))+payRoute))
	nc, in, _ := openConnection(t, s.addressOf("one"))
	io.WriteString(nc, "POST /up HTTP/1.1\r\nHost: h\r\nTransfer-Encoding: chunked\r\nTrailer: X-After\r\n\r\n"+
		"3;ext=1\r\nabc\r\n0\r\nX-After: yes\r\nContent-Length: 7\r\n\r\n")
	resp, err := http.ReadResponse(in, nil)
	if err != nil {
		t.Fatal(err)
	}
	got, _ := io.ReadAll(resp.Body)
	if want := hashOf(strings.NewReader("abc")) + " -1 yes"; string(got) != want {
		t.Errorf("%s %q, want %q", resp.Status, got, want)
	}
}

// A client that sends Expect: 100-continue gets the endpoint's decision.
func TestExpectContinueIsAnsweredByTheEndpoint(t *testing.T) {
	var read int64
	e := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		if r.URL.Path == "/no" {
			w.WriteHeader(http.StatusExpectationFailed)
			return
		}
		read, _ = io.Copy(io.Discard, r.Body)
	}))
	t.Cleanup(e.Close)
	s := startFromFile(t, parseService(t, streamingListener+poolOf("a", e.Listener.Addr().String())+payRoute))
	for path, want := range map[string]string{"/no": "HTTP/1.1 417 ", "/yes": "HTTP/1.1 100 "} {
		nc, in, _ := openConnection(t, s.addressOf("one"))
		io.WriteString(nc, "POST "+path+" HTTP/1.1\r\nHost: h\r\nContent-Length: 5\r\nExpect: 100-continue\r\n\r\n")
		line, err := in.ReadString('\n')
		if err != nil || !strings.HasPrefix(line, want) {
			t.Fatalf("%s: %q, %v", path, line, err)
		}
		if path == "/no" {
			continue
		}
		io.WriteString(nc, "hello")
		_, _ = in.ReadString('\n')
		if resp, err := http.ReadResponse(in, nil); err != nil || resp.StatusCode != 200 || read != 5 || resp.Close {
			t.Errorf("%+v, %v, %d bytes", resp, err, read)
		}
	}
}
