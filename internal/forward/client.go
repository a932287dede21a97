package forward

import (
	"bytes"
	"context"
	"errors"
	"fmt"
	"io"
	"math"
	"net/http"
	"net/http/httptrace"
	"sync/atomic"
	"time"

	"github.com/croftturn/croftturn/internal/dial"
	"github.com/croftturn/croftturn/internal/dispatch"
	"github.com/croftturn/croftturn/internal/header"
)

const (
	// dialTimeout bounds connecting to a node.
	dialTimeout = 400 * time.Millisecond

	// takeTimeout bounds how long a node may take to ask for a request. A packet in each direction may have to be sent again, or
	// wait in a full link; a node that has closed the connection tells so within that time.
	takeTimeout = time.Second

	// idleTimeout is how long an idle connection to a node is kept; idleConns is how many.
	idleTimeout = 4 * time.Second
	idleConns   = 32

	// bufferBytes is the size of a connection's buffers.
	bufferBytes = 2 << 10
)

var (
	// errStatus means that a node did not understand a forwarded request, which it did not run.
	errStatus = errors.New("forward: node does not take the request")

	// errUnframed means that the end of its connection would be that of an answer: no node sends such a one.
	errUnframed = errors.New("forward: answer has neither a length nor chunks")

	// errNotAsked means that a node did not ask for a request in time.
	errNotAsked = errors.New("forward: node does not ask for the request")
)

type (
	// Client sends requests to other nodes.
	Client struct {
		transport   *dial.Transport
		takeTimeout time.Duration
		sent        atomic.Int64
	}

	// exchange is one request and how far it has come.
	exchange struct {
		hooks   dial.Hooks
		timeout time.Duration // timeout bounds the wait for the node to ask for the request.
		cancel  context.CancelCauseFunc
		conn    *dial.RequestConn // conn is nil until there is a connection.
		before  int64             // before is how many writes the connection has seen without the request itself.
		written func()            // written is called when the request has ended.
		wait    *time.Timer       // wait ends the request unless the node asks for it in time; nil until there is a connection.
	}

	// answerBody is the body of an answer; closing it ends the request at the other node.
	answerBody struct {
		io.ReadCloser
		cancel func()
	}
)

// NewClient returns a Client without connections.
func NewClient() *Client {
	return &Client{takeTimeout: takeTimeout, transport: dial.NewTransport(&http.Transport{
		DialContext: dial.New(dialTimeout).DialContext, DisableCompression: true, MaxResponseHeaderBytes: dial.MaxHeadBytes, MaxIdleConnsPerHost: idleConns, IdleConnTimeout: idleTimeout, ExpectContinueTimeout: math.MaxInt64, ReadBufferSize: bufferBytes, WriteBufferSize: bufferBytes,
	})}
}

// Close closes idle connections.
func (c *Client) Close() { c.transport.CloseIdleConnections() }

// Sent returns how many requests were sent to other nodes.
func (c *Client) Sent() int64 { return c.sent.Load() }

// Close closes the body and ends the request.
func (b *answerBody) Close() error {
	err := b.ReadCloser.Close()
	b.cancel()
	return err
}

// Forward sends a request to the node at an address, once that node asks for it: it may close the connection at any time, and
// a request that it did not ask for can't have run. The error is dispatch.ErrNotSent if nothing of the request was sent.
func (c *Client) Forward(ctx context.Context, address string, r *dispatch.Request, f dispatch.Forwarded, h dial.Hooks) (*dispatch.Response, *dispatch.Refusal, error) {
	raw, err := writeHead(headOf(r, f))
	if err != nil {
		return nil, nil, fmt.Errorf("%w: %w", dispatch.ErrNotSent, err)
	}
	ctx, cancel := context.WithCancelCause(ctx)
	e := &exchange{hooks: h, timeout: c.takeTimeout, cancel: cancel}
	req, err := http.NewRequestWithContext(e.trace(ctx), http.MethodPost, "http://"+address+Path, io.NopCloser(io.MultiReader(bytes.NewReader(raw), bytes.NewReader(r.Body))))
	if err != nil {
		cancel(nil)
		return nil, nil, fmt.Errorf("%w: %w", dispatch.ErrNotSent, err)
	}
	req.ContentLength = int64(len(raw) + len(r.Body))
	req.Header.Set("Expect", "100-continue")
	resp, err := c.transport.RoundTrip(req)
	e.endWait()
	if err != nil {
		cancel(nil)
		if !e.sent() {
			err = fmt.Errorf("%w: %w", dispatch.ErrNotSent, err)
		}
		return nil, nil, fmt.Errorf("forward to %s: %w", address, err)
	}
	c.sent.Add(1)
	return c.decode(resp, func() { cancel(nil); e.written() })
}

// trace returns a context whose request tells the exchange how far it has come.
func (e *exchange) trace(ctx context.Context) context.Context {
	return httptrace.WithClientTrace(ctx, &httptrace.ClientTrace{
		GotConn: func(info httptrace.GotConnInfo) {
			e.conn = info.Conn.(*dial.RequestConn)
			e.before, e.written = e.conn.Begin(e.hooks)
			e.wait = time.AfterFunc(e.timeout, func() { e.cancel(errNotAsked) })
		},
		Wait100Continue: func() { e.before = e.conn.Writes() },
		Got100Continue:  e.endWait,
	})
}

// endWait ends the wait for the node to ask for the request.
func (e *exchange) endWait() {
	if e.wait != nil {
		e.wait.Stop()
	}
}

// sent reports whether some of the request may have been sent. The transport, which has failed, writes no more.
func (e *exchange) sent() bool { return e.conn != nil && e.conn.Writes() > e.before }

// decode decodes the answer of a node.
func (c *Client) decode(resp *http.Response, cancel func()) (*dispatch.Response, *dispatch.Refusal, error) {
	body := &answerBody{resp.Body, cancel}
	if resp.StatusCode != http.StatusOK {
		body.Close()
		return nil, nil, fmt.Errorf("%w: %w: status %d", dispatch.ErrNotSent, errStatus, resp.StatusCode)
	}
	if header.Unframed(resp) {
		body.Close()
		return nil, nil, errUnframed
	}
	head := &responseHead{}
	if err := readHead(resp.Body, head); err != nil {
		body.Close()
		return nil, nil, err
	}
	if head.Refusal != "" {
		body.Close()
		return nil, &dispatch.Refusal{Reason: head.Refusal, RetryAfter: head.RetryAfter, Version: head.Version}, nil
	}
	if err := head.check(); err != nil {
		body.Close()
		return nil, nil, err
	}
	return &dispatch.Response{Status: head.Status, Header: head.Header, Length: head.Length, Unframed: head.Unframed, Engine: head.Engine, Pool: head.Pool, Version: head.EngineVersion, Tries: head.Tries, Body: body}, nil, nil
}
