package upstream

import (
	"bytes"
	"errors"
	"io"
	"net"
	"testing"
	"time"

	"tuliprock/internal/body"
)

// spliceTestRate is what clients of these tests must keep. The idle timeout is far shorter than the time that a client with the pace of
// pacedReader takes for maxSpliceBytes.
var spliceTestRate = body.MinimumRate{IdleTimeout: 200 * time.Millisecond, BytesPerSecond: 20 << 10}

// tcpPair returns both ends of a connection on the loopback interface with small buffers, so that a writer notices the reader's pace.
func tcpPair(t *testing.T) (writer, reader *net.TCPConn) {
	t.Helper()
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	defer l.Close()
	dialed, err := net.Dial("tcp", l.Addr().String())
	if err != nil {
		t.Fatal(err)
	}
	accepted, err := l.Accept()
	if err != nil {
		t.Fatal(err)
	}
	writer, reader = dialed.(*net.TCPConn), accepted.(*net.TCPConn)
	t.Cleanup(func() { writer.Close(); reader.Close() })
	if err := errors.Join(writer.SetWriteBuffer(64<<10), reader.SetReadBuffer(64<<10)); err != nil {
		t.Fatal(err)
	}
	return writer, reader
}

// newSplicedStream returns a stream whose endpoint sends text at once.
func newSplicedStream(t *testing.T, text []byte) *Stream {
	t.Helper()
	endpoint, ours := tcpPair(t)
	c, err := newConn(ours, nil, "")
	if err != nil {
		t.Fatal(err)
	}
	go func() { _, _ = endpoint.Write(text) }() // ends with the connection at the latest
	return &Stream{Length: int64(len(text)), conn: c, meter: body.NewMeter(body.MinimumRate{IdleTimeout: time.Minute})}
}

// spliceAll splices until the rest of the body is too short, and returns how many bytes were spliced.
func spliceAll(s *Stream, to *net.TCPConn) (total int64, err error) {
	meter := body.NewMeter(spliceTestRate)
	for s.Length-total >= minSpliceBytes && err == nil {
		var n int64
		n, err = s.Splice(to, &meter)
		total += n
	}
	return total, err
}

// A client that keeps its minimum rate many times over must get the whole body, also if a part that is spliced at once takes it longer
// than the idle timeout.
func TestSpliceKeepsClientThatReadsSteadily(t *testing.T) {
	text := bytes.Repeat([]byte("0123456789abcdef"), 3<<20/16)
	s := newSplicedStream(t, text)
	to, client := tcpPair(t)
	received := make(chan []byte, 1)
	go func() {
		var all []byte
		part := make([]byte, 32<<10)
		ticker := time.NewTicker(25 * time.Millisecond) // 1.3 MB a second
		defer ticker.Stop()
		for {
			n, err := io.ReadFull(client, part)
			if all = append(all, part[:n]...); err != nil {
				received <- all
				return
			}
			<-ticker.C
		}
	}()
	total, err := spliceAll(s, to)
	if err != nil {
		t.Errorf("after %d of %d bytes: %v", total, len(text), err)
	}
	to.Close()
	if all := <-received; !bytes.Equal(all, text[:total]) {
		t.Errorf("the client received %d bytes, want the first %d of the body", len(all), total)
	}
}

// A client that stops reading must still be given up.
func TestSpliceGivesUpClientThatStopsReading(t *testing.T) {
	s := newSplicedStream(t, make([]byte, 4<<20))
	to, _ := tcpPair(t)
	began := time.Now()
	total, err := spliceAll(s, to)
	if !errors.Is(err, body.ErrTooSlow) {
		t.Errorf("after %d bytes: error %v, want %v", total, err, body.ErrTooSlow)
	}
	if took := time.Since(began); took > 10*spliceTestRate.IdleTimeout {
		t.Errorf("given up after %v, want about %v", took, spliceTestRate.IdleTimeout)
	}
}
