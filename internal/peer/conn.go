// Package peer carries JSON-RPC 2.0 calls between nodes over TCP. It counts all bytes sent and
// received, since control traffic has a budget.
package peer

import (
	"bufio"
	"encoding/binary"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"net"
	"sync/atomic"
	"time"

	"github.com/sourcegraph/jsonrpc2"

	"github.com/croftturn/croftturn/internal/clock"
)

const (
	// writeTimeout bounds the write of one chunk to a peer. A peer that accepts no data for this long
	// loses its connection; one that accepts a long message slowly keeps it.
	writeTimeout = 2 * time.Second
	maxWriteSize = 16 << 10 // maxWriteSize is the size of a chunk in bytes: 13 ms at 10 Mbit/s.

	// dialTimeout bounds the opening of a connection to a peer.
	dialTimeout = 500 * time.Millisecond

	// maxMessageBytes is more than the largest table that nodes send each other.
	maxMessageBytes = 24 << 20
)

// errMessageTooLong reports a message longer than any that nodes send.
var errMessageTooLong = errors.New("peer: message is too long")

// Traffic counts control bytes and calls. The zero value is ready to use.
type Traffic struct {
	BytesOut, BytesIn atomic.Int64
	Calls             atomic.Int64
}

// countingConn counts bytes and bounds the time of each write.
type countingConn struct {
	net.Conn
	traffic    *Traffic
	reads      atomic.Int64 // reads counts the reads that returned data.
	lastReadAt atomic.Int64 // lastReadAt is when the last of them returned, in nanoseconds since the connection was opened.
	opened     time.Time
}

// Read reads data and counts it.
func (c *countingConn) Read(p []byte) (int, error) {
	n, err := c.Conn.Read(p)
	c.traffic.BytesIn.Add(int64(n))
	if n > 0 {
		c.reads.Add(1)
		c.lastReadAt.Store(int64(clock.Since(c.opened)))
	}
	return n, err
}

// Write writes data in chunks with a timeout each, and counts it.
func (c *countingConn) Write(p []byte) (int, error) {
	written := 0
	for {
		chunk := p[written:min(len(p), written+maxWriteSize)]
		if err := c.SetWriteDeadline(time.Now().Add(writeTimeout)); err != nil {
			return written, err
		}
		n, err := c.Conn.Write(chunk)
		written += n
		c.traffic.BytesOut.Add(int64(n))
		if err != nil || written == len(p) {
			return written, err
		}
	}
}

// idleTime returns how long nothing has come on the connection, counted from since at the earliest.
func (c *countingConn) idleTime(now, since time.Time) time.Duration {
	lastRead := c.opened.Add(time.Duration(c.lastReadAt.Load()))
	if lastRead.Before(since) {
		lastRead = since
	}
	return now.Sub(lastRead)
}

// stream frames messages on a connection.
func stream(conn *countingConn) jsonrpc2.ObjectStream {
	return jsonrpc2.NewBufferedStream(conn, boundedCodec{})
}

// boundedCodec is jsonrpc2.VarintObjectCodec, but it reads no message over maxMessageBytes.
type boundedCodec struct{ jsonrpc2.VarintObjectCodec }

// ReadObject implements jsonrpc2.ObjectCodec.
func (boundedCodec) ReadObject(stream *bufio.Reader, v any) error {
	size, err := binary.ReadUvarint(stream)
	switch {
	case err != nil:
		return err
	case size > maxMessageBytes:
		return fmt.Errorf("%w: %d bytes", errMessageTooLong, size)
	}
	return json.NewDecoder(io.LimitReader(stream, int64(size))).Decode(v)
}
