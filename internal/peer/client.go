package peer

import (
	"context"
	"errors"
	"fmt"
	"sync"
	"time"

	"github.com/sourcegraph/jsonrpc2"

	"github.com/croftturn/croftturn/internal/clock"
	"github.com/croftturn/croftturn/internal/dial"
)

var (
	// ErrUnreachable is returned if no connection to a peer could be opened; nothing was sent.
	ErrUnreachable = errors.New("peer: not reachable")

	// ErrIdleTimeout is returned if nothing came from a peer within the client's idle timeout. Its text
	// may be part of an answer to a caller.
	ErrIdleTimeout = errors.New("peer: silent")
)

type (
	// Client keeps one connection to each peer that it calls.
	Client struct {
		traffic     *Traffic
		idleTimeout time.Duration // idleTimeout bounds the time without data from the peer during a call; 0 for no bound.
		ctx         context.Context
		cancel      context.CancelFunc

		mu          sync.Mutex
		connections map[string]*connection
	}

	// connection is the connection to one address; concurrent callers share a dial through its lock.
	connection struct {
		mu   sync.Mutex
		rpc  *jsonrpc2.Conn
		conn *countingConn
	}
)

// idleTimeoutError is the error of a call in which the peer sent nothing for the idle timeout.
type idleTimeoutError struct {
	reused bool // reused reports whether data had come on the connection before the call.
}

// Error implements error.
func (e *idleTimeoutError) Error() string { return ErrIdleTimeout.Error() }

// Is makes errors.Is(err, ErrIdleTimeout) true.
func (e *idleTimeoutError) Is(target error) bool { return target == ErrIdleTimeout }

// Option configures a Client.
type Option func(*Client)

// WithIdleTimeout ends calls with ErrIdleTimeout if nothing comes from the peer for that long, so a
// call needs no timeout that grows with the size of its answer. A call that hits the idle timeout on a
// reused connection is repeated once over a new one, so only idempotent methods should be called.
// Calling another peer instead would not help if the connections of all nodes fall silent at once.
func WithIdleTimeout(timeout time.Duration) Option {
	return func(c *Client) { c.idleTimeout = timeout }
}

// NewClient returns a client without open connections.
func NewClient(traffic *Traffic, options ...Option) *Client {
	ctx, cancel := context.WithCancel(context.Background())
	c := &Client{traffic: traffic, ctx: ctx, cancel: cancel, connections: map[string]*connection{}}
	for _, o := range options {
		o(c)
	}
	return c
}

// Call calls a method of the peer at an address and decodes the result. The error is ErrUnreachable if
// nothing was sent. If a call exceeds its deadline and nothing came on the connection meanwhile, the
// connection is closed: connections may fall silent for good without a reset, and the next call then
// opens a new one.
func (c *Client) Call(ctx context.Context, address, method string, params, result any) error {
	err := c.callOnce(ctx, address, method, params, result)
	var idle *idleTimeoutError
	if errors.As(err, &idle) && idle.reused && ctx.Err() == nil {
		err = c.callOnce(ctx, address, method, params, result)
	}
	if err != nil {
		return fmt.Errorf("call %s at %s: %w", method, address, err)
	}
	return nil
}

// callOnce calls the method over the open connection or a new one.
func (c *Client) callOnce(ctx context.Context, address, method string, params, result any) error {
	rpc, conn, err := c.connect(ctx, address)
	if err != nil {
		return err
	}
	c.traffic.Calls.Add(1)
	before := conn.reads.Load()
	ctx, stop := c.watchIdle(ctx, conn)
	defer stop()
	err = rpc.Call(ctx, method, params, result)
	idle := err != nil && errors.Is(context.Cause(ctx), ErrIdleTimeout)
	if idle || errors.Is(err, context.DeadlineExceeded) && conn.reads.Load() == before {
		rpc.Close() // The next call finds it closed. The error of Close adds no information.
	}
	if idle {
		return &idleTimeoutError{reused: before > 0}
	}
	return err
}

// watchIdle returns a context for a call that ends if nothing comes on the connection within the idle
// timeout. The caller calls stop after the call.
func (c *Client) watchIdle(ctx context.Context, conn *countingConn) (watched context.Context, stop func()) {
	if c.idleTimeout <= 0 {
		return ctx, func() {}
	}
	ctx, cancel := context.WithCancelCause(ctx)
	since := clock.Now()
	var timer *time.Timer
	ready := make(chan struct{}) // ready is closed once timer is set.
	timer = time.AfterFunc(c.idleTimeout, func() {
		<-ready
		if idle := conn.idleTime(clock.Now(), since); idle < c.idleTimeout {
			timer.Reset(c.idleTimeout - idle)
			return
		}
		cancel(ErrIdleTimeout)
	})
	close(ready)
	return ctx, func() {
		timer.Stop()
		cancel(nil)
	}
}

// Notify sends a notification, which has no answer.
func (c *Client) Notify(ctx context.Context, address, method string, params any) error {
	rpc, _, err := c.connect(ctx, address)
	if err != nil {
		return fmt.Errorf("notify %s at %s: %w", method, address, err)
	}
	c.traffic.Calls.Add(1)
	if err := rpc.Notify(ctx, method, params); err != nil {
		return fmt.Errorf("notify %s at %s: %w", method, address, err)
	}
	return nil
}

// connect returns the open connection to an address or opens one.
func (c *Client) connect(ctx context.Context, address string) (*jsonrpc2.Conn, *countingConn, error) {
	c.mu.Lock()
	l := c.connections[address]
	if l == nil {
		l = &connection{}
		c.connections[address] = l
	}
	c.mu.Unlock()

	l.mu.Lock()
	defer l.mu.Unlock()
	if l.rpc != nil {
		select {
		case <-l.rpc.DisconnectNotify():
			l.rpc = nil
		default:
			return l.rpc, l.conn, nil
		}
	}
	if c.ctx.Err() != nil {
		return nil, nil, fmt.Errorf("client is closed: %w", ErrUnreachable)
	}
	conn, err := dial.New(dialTimeout).DialContext(ctx, "tcp", address)
	if err != nil {
		return nil, nil, fmt.Errorf("%w: %w", ErrUnreachable, err)
	}
	refuse := jsonrpc2.HandlerWithError(func(context.Context, *jsonrpc2.Conn, *jsonrpc2.Request) (any, error) {
		return nil, &jsonrpc2.Error{Code: jsonrpc2.CodeMethodNotFound, Message: "calls go the other way"}
	})
	l.conn = &countingConn{Conn: conn, traffic: c.traffic, opened: clock.Now()}
	l.rpc = jsonrpc2.NewConn(c.ctx, stream(l.conn), refuse, jsonrpc2.SetLogger(noLogger{}))
	return l.rpc, l.conn, nil
}

// Drop closes the connection to an address, such as that of a dead member.
func (c *Client) Drop(address string) {
	c.mu.Lock()
	l := c.connections[address]
	delete(c.connections, address)
	c.mu.Unlock()
	if l == nil {
		return
	}
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.rpc != nil {
		l.rpc.Close()
	}
}

// Close closes all connections. No new ones can be opened afterwards.
func (c *Client) Close() {
	c.cancel()
	c.mu.Lock()
	addresses := make([]string, 0, len(c.connections))
	for a := range c.connections {
		addresses = append(addresses, a)
	}
	c.mu.Unlock()
	for _, a := range addresses {
		c.Drop(a)
	}
}
