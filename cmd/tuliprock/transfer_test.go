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

// serveBulk handles the requests of a node for long bodies: the response to an upload is its hash, or "ok" without hash=1,
// and give=N is answered with N bytes. mbs=N limits the rate to N MiB per second.
func serveBulk(w http.ResponseWriter, r *http.Request) {
	query := r.URL.Query()
	pace := func(in io.Reader) io.Reader { return in }
	if mbs, _ := strconv.Atoi(query.Get("mbs")); mbs > 0 {
		pace = func(in io.Reader) io.Reader { return &pacedReader{in, mbs << 20, time.Now(), 0} }
	}
	if n, err := strconv.ParseInt(query.Get("give"), 10, 64); err == nil {
		w.Header().Set("Content-Length", strconv.FormatInt(n, 10))
		_, _ = io.CopyBuffer(struct{ io.Writer }{w}, pace(bodyOf(query.Get("hash") != "", n)), make([]byte, 256<<10))
		return
	}
	if query.Get("hash") == "" {
		_, _ = io.CopyBuffer(struct{ io.Writer }{io.Discard}, r.Body, make([]byte, 256<<10))
		_, _ = io.WriteString(w, "ok")
		return
	}
	h := sha256.New()
	_, _ = io.CopyBuffer(h, pace(r.Body), make([]byte, 256<<10))
	_, _ = fmt.Fprintf(w, "%x", h.Sum(nil)) // the client notices what is missing
}

// pacedReader reads at a rate of bytes per second.
type pacedReader struct {
	io.Reader
	rate  int
	began time.Time
	got   int
}

func (s *pacedReader) Read(to []byte) (int, error) {
	due := s.began.Add(time.Duration(float64(s.got) / float64(s.rate) * float64(time.Second)))
	time.Sleep(time.Until(due))
	n, err := s.Reader.Read(to)
	s.got += n
	return n, err
}

// bodyOf is a body of n bytes: random ones, or undefined ones where their values do not matter.
func bodyOf(noise bool, n int64) io.Reader {
	if noise {
		return io.LimitReader(rand.NewChaCha8([32]byte{1}), n)
	}
	return io.LimitReader(zeroReader{}, n)
}

type zeroReader struct{}

func (zeroReader) Read(to []byte) (int, error) { return len(to), nil }

// serveSplice forwards connections with io.Copy alone: the most that the system can do.
func serveSplice(at, to string) error {
	l, err := net.Listen("tcp", at)
	if err != nil {
		return err
	}
	for {
		in, err := l.Accept()
		if err != nil {
			return err
		}
		out, err := net.Dial("tcp", to)
		if err != nil {
			return err
		}
		for _, way := range [][2]net.Conn{{in, out}, {out, in}} {
			go func() {
				_, _ = io.Copy(way[0], way[1])
				_ = way[0].(*net.TCPConn).CloseWrite()
			}()
		}
	}
}

// transfer uploads (way "up") or downloads n bytes, at a rate of bytes per second (0: without limit). It returns the
// response's body after an upload, and the hash of the body after a download.
func transfer(addr, way, query string, n int64, noise bool, rate int) (string, error) {
	nc, err := net.Dial("tcp", addr)
	if err != nil {
		return "", err
	}
	defer nc.Close()
	in := bufio.NewReaderSize(nc, 256<<10)
	source := bodyOf(noise, n)
	if rate > 0 {
		source = &pacedReader{source, rate, time.Now(), 0}
	}
	if way == "up" {
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
		return "", fmt.Errorf("answered %s", resp.Status)
	}
	if way == "up" {
		text, err := io.ReadAll(resp.Body)
		return string(text), err
	}
	var body io.Reader = resp.Body
	if rate > 0 {
		body = &pacedReader{body, rate, time.Now(), 0}
	}
	var into io.Writer = struct{ io.Writer }{io.Discard}
	h := sha256.New()
	if noise {
		into = h
	}
	got, err := io.CopyBuffer(into, body, make([]byte, 256<<10))
	if err == nil && got != n {
		err = fmt.Errorf("%d bytes of %d came", got, n)
	}
	return fmt.Sprintf("%x", h.Sum(nil)), err
}

var errShed = errors.New("refused")

// transferUntilAdmitted is transfer, retried while the request is shed: the module admits no more requests at once than its
// endpoints serve well. It returns how often the request was shed.
func transferUntilAdmitted(addr, way, query string, n int64, noise bool, rate int) (got string, refused int, err error) {
	for end := time.Now().Add(testpeer.Timeout); ; time.Sleep(100 * time.Millisecond) {
		got, err = transfer(addr, way, query, n, noise, rate)
		if !errors.Is(err, errShed) || time.Now().After(end) {
			return got, refused, err
		}
		refused++
	}
}
