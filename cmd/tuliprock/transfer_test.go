package main

import (
	"bufio"
	"crypto/sha256"
	"errors"
	"fmt"
	"io"
	"math/rand/v2"
	"net"
	"net/http"
	"strconv"
	"time"

	"tuliprock/internal/testkit/testpeer"
)

// serveBulk handles requests with large bodies. The query give=N asks for a response body of N bytes, which are random if hash=1
// is given too. Any other request is an upload: the response to it is the SHA-256 hash of its body if hash=1 is given, else
// "ok". mbs=N limits the rate to N MiB per second; it has no effect on an upload without hash=1.
func serveBulk(w http.ResponseWriter, r *http.Request) {
	query := r.URL.Query()
	limitRate := func(in io.Reader) io.Reader { return in }
	if miBPerSecond, _ := strconv.Atoi(query.Get("mbs")); miBPerSecond > 0 {
		limitRate = func(in io.Reader) io.Reader { return &pacedReader{in, miBPerSecond << 20, time.Now(), 0} }
	}
	if n, err := strconv.ParseInt(query.Get("give"), 10, 64); err == nil {
		w.Header().Set("Content-Length", strconv.FormatInt(n, 10))
		_, _ = io.CopyBuffer(struct{ io.Writer }{w}, limitRate(newBody(query.Get("hash") != "", n)), make([]byte, 256<<10))
		return
	}
	if query.Get("hash") == "" {
		_, _ = io.CopyBuffer(struct{ io.Writer }{io.Discard}, r.Body, make([]byte, 256<<10))
		_, _ = io.WriteString(w, "ok")
		return
	}
	h := sha256.New()
	_, _ = io.CopyBuffer(h, limitRate(r.Body), make([]byte, 256<<10))
	_, _ = fmt.Fprintf(w, "%x", h.Sum(nil)) // an incomplete body gives another hash, which the client detects
}

// pacedReader limits the rate at which an io.Reader is read.
type pacedReader struct {
	io.Reader
	bytesPerSecond int       // maximum average rate of reading since startedAt
	startedAt      time.Time // when the first byte was due
	bytesRead      int       // bytes that Read has returned since startedAt
}

// Read implements io.Reader. It sleeps until the bytes read so far are due by the rate.
func (r *pacedReader) Read(p []byte) (int, error) {
	due := r.startedAt.Add(time.Duration(float64(r.bytesRead) / float64(r.bytesPerSecond) * float64(time.Second)))
	time.Sleep(time.Until(due))
	n, err := r.Reader.Read(p)
	r.bytesRead += n
	return n, err
}

// newBody returns a body of n bytes. If isRandom is true, the bytes are pseudo-random and the same in each call; otherwise they
// are arbitrary.
func newBody(isRandom bool, n int64) io.Reader {
	if isRandom {
		return io.LimitReader(rand.NewChaCha8([32]byte{1}), n)
	}
	return io.LimitReader(undefinedBytesReader{}, n)
}

// undefinedBytesReader is an endless source of arbitrary bytes. Its Read leaves the buffer as it is, so that it takes no time.
type undefinedBytesReader struct{}

func (undefinedBytesReader) Read(p []byte) (int, error) { return len(p), nil }

// serveSplice forwards connections to targetAddr with io.Copy, which uses the system call splice. Its throughput is an upper
// bound of the throughput of a proxy on this system.
func serveSplice(listenAddr, targetAddr string) error {
	l, err := net.Listen("tcp", listenAddr)
	if err != nil {
		return err
	}
	for {
		in, err := l.Accept()
		if err != nil {
			return err
		}
		out, err := net.Dial("tcp", targetAddr)
		if err != nil {
			return err
		}
		for _, pair := range [][2]net.Conn{{in, out}, {out, in}} {
			go func() {
				_, _ = io.Copy(pair[0], pair[1])
				_ = pair[0].(*net.TCPConn).CloseWrite()
			}()
		}
	}
}

// transfer uploads (direction "up") or downloads ("down") n bytes, random ones if isRandom. rate is in bytes per second; 0 means
// no limit. It returns the response's body after an upload, and the hash of a random body after a download.
func transfer(addr, direction, query string, n int64, isRandom bool, rate int) (string, error) {
	nc, err := net.Dial("tcp", addr)
	if err != nil {
		return "", err
	}
	defer nc.Close()
	in := bufio.NewReaderSize(nc, 256<<10)
	source := newBody(isRandom, n)
	if rate > 0 {
		source = &pacedReader{source, rate, time.Now(), 0}
	}
	if direction == "up" {
		_, _ = fmt.Fprintf(nc, "PUT /bulk?%s HTTP/1.1\r\nHost: h\r\nContent-Length: %d\r\n\r\n", query, n)
		if _, err := io.CopyBuffer(struct{ io.Writer }{nc}, source, make([]byte, 256<<10)); err != nil {
			return "", err
		}
	} else {
		_, _ = fmt.Fprintf(nc, "GET /bulk?give=%d&%s HTTP/1.1\r\nHost: h\r\n\r\n", n, query)
	}
	resp, err := http.ReadResponse(in, nil)
	if err != nil {
		return "", err
	}
	if resp.StatusCode == http.StatusServiceUnavailable {
		return "", errShed
	}
	if resp.StatusCode != http.StatusOK {
		return "", fmt.Errorf("response status %s, want 200", resp.Status)
	}
	if direction == "up" {
		text, err := io.ReadAll(resp.Body)
		return string(text), err
	}
	var body io.Reader = resp.Body
	if rate > 0 {
		body = &pacedReader{body, rate, time.Now(), 0}
	}
	var sink io.Writer = struct{ io.Writer }{io.Discard}
	h := sha256.New()
	if isRandom {
		sink = h
	}
	got, err := io.CopyBuffer(sink, body, make([]byte, 256<<10))
	if err == nil && got != n {
		err = fmt.Errorf("response body of %d bytes, want %d", got, n)
	}
	return fmt.Sprintf("%x", h.Sum(nil)), err
}

var errShed = errors.New("shed with status 503")

// transferUntilAdmitted is like transfer, but retries while the request is shed, since the balancer admits no more concurrent
// requests than the endpoints have capacity for. It also returns how often the request was shed.
func transferUntilAdmitted(addr, direction, query string, n int64, isRandom bool, rate int) (got string, shedCount int, err error) {
	for end := time.Now().Add(testpeer.Timeout); ; time.Sleep(100 * time.Millisecond) {
		got, err = transfer(addr, direction, query, n, isRandom, rate)
		if !errors.Is(err, errShed) || time.Now().After(end) {
			return got, shedCount, err
		}
		shedCount++
	}
}
