// Package peer carries JSON-RPC 2.0 calls between nodes over TCP. It counts
// every byte it sends and receives, since control traffic has a budget.
package peer

import (
	"net"
	"sync/atomic"
	"time"

	"github.com/sourcegraph/jsonrpc2"

	"github.com/croftturn/croftturn/internal/clock"
)

const (
	// writeTimeout bounds the writing of one piece to a peer; a peer that takes nothing for
	// this long loses its connection. One that takes a long message slowly keeps it.
	writeTimeout = 2 * time.Second
	writePiece   = 16 << 10 // writePiece is the size of a piece, in bytes: 13 ms at 10 Mbit/s.

	// dialTimeout bounds the opening of a connection to a peer.
	dialTimeout = 500 * time.Millisecond
)

// Traffic counts control bytes and messages. The zero value is ready.
type Traffic struct {
	BytesOut, BytesIn atomic.Int64
	Calls             atomic.Int64
}

// countingConn counts bytes and bounds each write.
type countingConn struct {
	net.Conn
	traffic *Traffic
	reads   atomic.Int64 // reads counts the reads that brought bytes.
	readAt  atomic.Int64 // readAt is when the last of them did, in nanoseconds since the connection was opened.
	opened  time.Time
}

// Read reads and counts.
func (c *countingConn) Read(p []byte) (int, error) {
	n, err := c.Conn.Read(p)
	c.traffic.BytesIn.Add(int64(n))
	if n > 0 {
		c.reads.Add(1)
		c.readAt.Store(int64(clock.Since(c.opened)))
	}
	return n, err
}

// Write writes each piece within the time bound, and counts.
func (c *countingConn) Write(p []byte) (int, error) {
	written := 0
	for {
		piece := p[written:min(len(p), written+writePiece)]
		if err := c.SetWriteDeadline(time.Now().Add(writeTimeout)); err != nil {
			return written, err
		}
		n, err := c.Conn.Write(piece)
		written += n
		c.traffic.BytesOut.Add(int64(n))
		if err != nil || written == len(p) {
			return written, err
		}
	}
}

// quietFor returns for how long nothing has come on the connection since a moment, not
// counting the time before that.
func (c *countingConn) quietFor(now, since time.Time) time.Duration {
	heard := c.opened.Add(time.Duration(c.readAt.Load()))
	if heard.Before(since) {
		heard = since
	}
	return now.Sub(heard)
}

// stream frames messages on a connection.
func stream(conn *countingConn) jsonrpc2.ObjectStream {
	return jsonrpc2.NewBufferedStream(conn, jsonrpc2.VarintObjectCodec{})
}
