package peer

import (
	"context"
	"errors"
	"fmt"
	"net"
	"sync"
	"time"

	"github.com/sourcegraph/jsonrpc2"

	"github.com/croftturn/croftturn/internal/clock"
)

var (
	// ErrUnreachable says that a peer could not be connected to; nothing was sent.
	ErrUnreachable = errors.New("peer: not reachable")

	// ErrIdleTimeout says that nothing came from a peer for longer than the client bears.
	ErrIdleTimeout = errors.New("peer: silent")
)

type (
	// Client keeps one connection to each peer that is called.
	Client struct {
		traffic *Traffic
		silence time.Duration // silence is how long a peer may say nothing in a call; 0 for as long as the call has.
		ctx     context.Context
		cancel  context.CancelFunc

		mu    sync.Mutex
		links map[string]*link
	}

	// link is the connection to one address; its lock makes callers share a dial.
	link struct {
		mu   sync.Mutex
		rpc  *jsonrpc2.Conn
		conn *countingConn
	}
)

// silentError says that a peer was silent in a call.
type silentError struct {
	kept bool // kept says that the peer had said something on the connection before the call.
}

// Error describes it.
func (e *silentError) Error() string { return ErrIdleTimeout.Error() }

// Is makes errors.Is(err, ErrSilent) true.
func (e *silentError) Is(target error) bool { return target == ErrIdleTimeout }

// Option changes a client.
type Option func(*Client)

// WithIdleTimeout makes calls end, with ErrSilent, when nothing comes from the peer for so long.
// A call then needs no bound that grows with its answer. One that met silence on a connection
// that was kept is made once more over a new one, so that it should be one that may be repeated:
// where the connections of all nodes fall silent at once, to ask another peer meets the same.
func WithIdleTimeout(most time.Duration) Option { return func(c *Client) { c.silence = most } }

// NewClient returns a client without connections.
func NewClient(traffic *Traffic, options ...Option) *Client {
	ctx, cancel := context.WithCancel(context.Background())
	c := &Client{traffic: traffic, ctx: ctx, cancel: cancel, links: map[string]*link{}}
	for _, o := range options {
		o(c)
	}
	return c
}

// Call calls a method of the peer at an address and decodes its result. The
// error is ErrUnreachable where nothing was sent. A connection on which nothing came
// while a call ran into its deadline is closed: connections may fall silent for good without
// a reset, and the next call then goes over a new one.
func (c *Client) Call(ctx context.Context, address, method string, params, result any) error {
	err := c.callOnce(ctx, address, method, params, result)
	var silent *silentError
	if errors.As(err, &silent) && silent.kept && ctx.Err() == nil {
		err = c.callOnce(ctx, address, method, params, result)
	}
	if err != nil {
		return fmt.Errorf("call %s at %s: %w", method, address, err)
	}
	return nil
}

// callOnce calls over the connection that there is, or a new one.
func (c *Client) callOnce(ctx context.Context, address, method string, params, result any) error {
	rpc, conn, err := c.conn(ctx, address)
	if err != nil {
		return err
	}
	c.traffic.Calls.Add(1)
	before := conn.reads.Load()
	ctx, stop := c.watch(ctx, conn)
	defer stop()
	err = rpc.Call(ctx, method, params, result)
	silent := err != nil && errors.Is(context.Cause(ctx), ErrIdleTimeout)
	if silent || errors.Is(err, context.DeadlineExceeded) && conn.reads.Load() == before {
		rpc.Close() // The next call finds it closed; its own error tells no more.
	}
	if silent {
		return &silentError{kept: before > 0}
	}
	return err
}

// watch returns a context for a call on a connection that ends when nothing comes on it for
// longer than the client bears. The caller calls stop after the call.
func (c *Client) watch(ctx context.Context, conn *countingConn) (watched context.Context, stop func()) {
	if c.silence <= 0 {
		return ctx, func() {}
	}
	ctx, cancel := context.WithCancelCause(ctx)
	since := clock.Now()
	var timer *time.Timer
	ready := make(chan struct{}) // It is closed once timer is set.
	timer = time.AfterFunc(c.silence, func() {
		<-ready
		if quiet := conn.quietFor(clock.Now(), since); quiet < c.silence {
			timer.Reset(c.silence - quiet)
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

// Notify sends a method without waiting for an answer.
func (c *Client) Notify(ctx context.Context, address, method string, params any) error {
	rpc, _, err := c.conn(ctx, address)
	if err != nil {
		return fmt.Errorf("notify %s at %s: %w", method, address, err)
	}
	c.traffic.Calls.Add(1)
	if err := rpc.Notify(ctx, method, params); err != nil {
		return fmt.Errorf("notify %s at %s: %w", method, address, err)
	}
	return nil
}

// conn returns the open connection to an address, or opens one.
func (c *Client) conn(ctx context.Context, address string) (*jsonrpc2.Conn, *countingConn, error) {
	c.mu.Lock()
	l := c.links[address]
	if l == nil {
		l = &link{}
		c.links[address] = l
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
	dialer := net.Dialer{Timeout: dialTimeout}
	conn, err := dialer.DialContext(ctx, "tcp", address)
	if err != nil {
		return nil, nil, fmt.Errorf("%w: %w", ErrUnreachable, err)
	}
	refuse := jsonrpc2.HandlerWithError(func(context.Context, *jsonrpc2.Conn, *jsonrpc2.Request) (any, error) {
		return nil, &jsonrpc2.Error{Code: jsonrpc2.CodeMethodNotFound, Message: "calls go the other way"}
	})
	l.conn = &countingConn{Conn: conn, traffic: c.traffic, opened: clock.Now()}
	l.rpc = jsonrpc2.NewConn(c.ctx, stream(l.conn), refuse, jsonrpc2.SetLogger(discard{}))
	return l.rpc, l.conn, nil
}

// Drop closes the connection to an address, such as that of a dead member.
func (c *Client) Drop(address string) {
	c.mu.Lock()
	l := c.links[address]
	delete(c.links, address)
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

// Close drops all connections and waits until they are gone.
func (c *Client) Close() {
	c.cancel()
	c.mu.Lock()
	addresses := make([]string, 0, len(c.links))
	for a := range c.links {
		addresses = append(addresses, a)
	}
	c.mu.Unlock()
	for _, a := range addresses {
		c.Drop(a)
	}
}
