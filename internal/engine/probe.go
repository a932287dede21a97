package engine

import (
	"context"
	"errors"
	"net"
	"syscall"
	"time"

	"github.com/croftturn/croftturn/internal/dial"
)

// probeTimeout bounds connecting to an engine whose state is in question.
const probeTimeout = 150 * time.Millisecond

// Refuses reports whether an address refuses connections, as that of a crashed engine does.
func (c *Client) Refuses(ctx context.Context, address string) bool {
	return errors.Is(probe(ctx, address), syscall.ECONNREFUSED)
}

// Accepts reports whether an address accepts connections.
func (c *Client) Accepts(ctx context.Context, address string) bool { return probe(ctx, address) == nil }

// probe opens a connection and closes it.
func probe(ctx context.Context, address string) error {
	ctx, cancel := context.WithTimeout(ctx, probeTimeout)
	defer cancel()
	var d *net.Dialer = dial.New(probeTimeout)
	conn, err := d.DialContext(ctx, "tcp", address)
	if err != nil {
		return err
	}
	return conn.Close()
}
