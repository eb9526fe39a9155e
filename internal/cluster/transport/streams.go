package transport

import (
	"context"
	"encoding/binary"
	"io"
	"net"
	"net/netip"
	"time"

	"tuliprock/internal/cluster/swim"
)

const (
	// maxStreams is the maximum number of outgoing streams that are open at once, and also the maximum number of incoming ones.
	maxStreams = 8
	// streamTimeout is the maximum duration of a stream, from the dial or the accept to the last byte.
	streamTimeout = 2 * time.Second
	// maxStreamBytes is the maximum length of a packet in a stream. The longest packets fit: a snapshot of the state that the
	// voters replicate has at most 7 MiB, and swim.MaxMembers updates have 1.9 MB.
	maxStreamBytes = 8 << 20
	// streamHeaderBytes is the length in bytes of a stream's header. The header contains the length of the packet as a
	// big-endian number.
	streamHeaderBytes = 4
	// acceptRetryDelay is the pause after a failed accept, for example while the process is out of file descriptors.
	acceptRetryDelay = 5 * time.Millisecond
)

// startStream sends a packet on a new connection, in a goroutine. In b, streamHeaderBytes unused bytes, into which startStream
// writes the packet's length, precede the packet. An error means that maxStreams outgoing streams are open. Errors of the
// connection are not reported.
func (t *Transport) startStream(options *Options, to netip.AddrPort, b []byte) error {
	select {
	case t.outboundStreams <- struct{}{}:
	default:
		t.dropped.count(errTooManyStreams)
		return errTooManyStreams
	}
	binary.BigEndian.PutUint32(b, uint32(len(b)-streamHeaderBytes))
	t.goroutines.Go(func() {
		defer func() { <-t.outboundStreams }()
		n, err := t.writeStream(options, to, b)
		t.countSent(n, err)
	})
	return nil
}

// writeStream connects to a daemon, writes b (a header and a packet), and returns the number of bytes written. It is canceled
// after streamTimeout or when the transport ends.
func (t *Transport) writeStream(options *Options, to netip.AddrPort, b []byte) (int, error) {
	ctx, cancel := context.WithTimeout(t.ctx, streamTimeout)
	defer cancel()
	dialer := net.Dialer{}
	if ip := options.Listen.Addr(); !ip.IsUnspecified() { // send from the address in Options.Listen, as datagrams do
		dialer.LocalAddr = net.TCPAddrFromAddrPort(netip.AddrPortFrom(ip, 0))
	}
	conn, err := dialer.DialContext(ctx, "tcp", to.String())
	if err != nil {
		return 0, err
	}
	defer conn.Close()
	defer context.AfterFunc(ctx, func() { _ = conn.SetDeadline(time.Unix(1, 0)) })()
	return conn.Write(b)
}

// acceptStreams receives streams of other daemons until the transport ends, at most maxStreams at a time. Further connections
// wait in the listener's backlog.
func (t *Transport) acceptStreams() {
	inboundStreams := make(chan struct{}, maxStreams)
	for {
		select {
		case inboundStreams <- struct{}{}:
		case <-t.ctx.Done():
			return
		}
		conn, err := t.tcpListener.Accept()
		if err != nil {
			<-inboundStreams
			if t.ctx.Err() != nil {
				return
			}
			time.Sleep(acceptRetryDelay)
			continue
		}
		t.goroutines.Go(func() {
			defer func() { <-inboundStreams }()
			t.receiveStream(conn)
		})
	}
}

// receiveStream receives one packet from a connection and closes the connection.
func (t *Transport) receiveStream(conn net.Conn) {
	defer conn.Close()
	defer context.AfterFunc(t.ctx, func() { conn.Close() })()
	_ = conn.SetDeadline(time.Now().Add(streamTimeout))
	b, err := readStream(conn)
	if err != nil {
		t.dropped.count(err)
		return
	}
	t.receive(b, swim.MaxMembers)
}

// readStream reads the header and the packet of a stream. It allocates memory in proportion to the bytes received, not to
// the length that the header announces.
func readStream(r io.Reader) ([]byte, error) {
	var header [streamHeaderBytes]byte
	if _, err := io.ReadFull(r, header[:]); err != nil {
		return nil, err
	}
	size := binary.BigEndian.Uint32(header[:])
	if size > maxStreamBytes {
		return nil, errMalformed
	}
	b, err := io.ReadAll(io.LimitReader(r, int64(size)))
	if err == nil && uint32(len(b)) < size {
		err = io.ErrUnexpectedEOF
	}
	return b, err
}
