package soak

import (
	"context"
	"hash/fnv"
	"net"
	"net/http"
	"sync/atomic"
)

// longestCut is the number of bytes after which the longest answers are cut off: the head and the first pieces of a body.
const longestCut = 320

type (
	// cutConn is a connection that ends after some bytes.
	cutConn struct {
		net.Conn
		left atomic.Int64 // left is how many bytes are still sent; negative for all.
	}

	// cutListener accepts cutConns.
	cutListener struct{ net.Listener }

	// cutKey is the key of a cutConn in contexts.
	cutKey struct{}
)

// Accept accepts a connection that is not cut off.
func (l cutListener) Accept() (net.Conn, error) {
	conn, err := l.Listener.Accept()
	if err != nil {
		return nil, err
	}
	c := &cutConn{Conn: conn}
	c.left.Store(-1)
	return c, nil
}

// Write sends what is left and closes the connection after it.
func (c *cutConn) Write(p []byte) (int, error) {
	left := c.left.Load()
	if left < 0 || left >= int64(len(p)) {
		c.left.Store(max(-1, left-int64(len(p))))
		return c.Conn.Write(p)
	}
	_, _ = c.Conn.Write(p[:left]) // The node may have closed it.
	return 0, c.Conn.Close()
}

// withCut puts the connection of requests into their context.
func withCut(ctx context.Context, c net.Conn) context.Context {
	return context.WithValue(ctx, cutKey{}, c)
}

// cutAnyByte makes the connection of a request end after a byte of its answer, whose number the request's id draws.
func cutAnyByte(r *http.Request, id string) {
	h := fnv.New32a()
	h.Write([]byte(id + "/cut"))
	r.Context().Value(cutKey{}).(*cutConn).left.Store(int64(h.Sum32() % longestCut))
}
