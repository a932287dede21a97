package engine

import (
	"context"
	"time"

	"github.com/croftturn/croftturn/internal/dial"
)

const (
	// probeTimeout bounds connecting to an engine whose state is in question.
	probeTimeout = 150 * time.Millisecond

	// endingTime is how long an engine that ends may still accept connections. Only requests whose connection broke wait for it.
	endingTime = 50 * time.Millisecond
)

// Refuses reports whether an address refuses connections, as that of a crashed engine does, maybe after one that it closed.
func (c *Client) Refuses(ctx context.Context, address string) bool {
	return dial.Ended(ctx, dial.New(probeTimeout), address, endingTime)
}

// Accepts reports whether an address accepts connections.
func (c *Client) Accepts(ctx context.Context, address string) bool { return probe(ctx, address) == nil }

// probe opens a connection and closes it.
func probe(ctx context.Context, address string) error {
	ctx, cancel := context.WithTimeout(ctx, probeTimeout)
	defer cancel()
	d := dial.New(probeTimeout)
	conn, err := d.DialContext(ctx, "tcp", address)
	if err != nil {
		return err
	}
	return conn.Close()
}
