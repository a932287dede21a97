package forward

import (
	"context"
	"net"
	"time"
)

// ResponseHead is the head of an answer.
type ResponseHead = responseHead

// WriteHead encodes a head with its length.
func WriteHead(head *ResponseHead) ([]byte, error) { return writeHead(head) }

// SetTakeTimeout sets how long a client waits for nodes to ask for requests.
func SetTakeTimeout(c *Client, timeout time.Duration) { c.takeTimeout = timeout }

// OnDial calls a function with each connection that a client opens.
func OnDial(c *Client, f func(conn net.Conn)) {
	inner := c.transport.DialContext
	c.transport.DialContext = func(ctx context.Context, network, address string) (net.Conn, error) {
		conn, err := inner(ctx, network, address)
		if err == nil {
			f(conn)
		}
		return conn, err
	}
}
