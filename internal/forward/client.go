package forward

import (
	"bytes"
	"context"
	"errors"
	"fmt"
	"io"
	"net"
	"net/http"
	"net/http/httptrace"
	"sync/atomic"
	"time"

	"github.com/croftturn/croftturn/internal/dial"
	"github.com/croftturn/croftturn/internal/dispatch"
)

const (
	// dialTimeout bounds connecting to a node.
	dialTimeout = 400 * time.Millisecond

	// idleTimeout is how long an idle connection to a node is kept; idleConns is how many.
	idleTimeout = 4 * time.Second
	idleConns   = 32

	// bufferBytes is the size of a connection's buffers.
	bufferBytes = 2 << 10
)

// errStatus means that a node did not understand a forwarded request, which it did not run.
var errStatus = errors.New("forward: node does not take the request")

type (
	// Client sends requests to other nodes.
	Client struct {
		transport *http.Transport
		sent      atomic.Int64
	}

	// answerBody is the body of an answer; closing it ends the request at the other node.
	answerBody struct {
		io.ReadCloser
		cancel func()
	}
)

// NewClient returns a Client without connections.
func NewClient() *Client {
	d := dial.New(dialTimeout)
	return &Client{transport: &http.Transport{
		DialContext: func(ctx context.Context, network, address string) (net.Conn, error) {
			conn, err := d.DialContext(ctx, network, address)
			if err != nil {
				return nil, err
			}
			return dial.NewRequestConn(conn), nil
		},
		DisableCompression: true, MaxResponseHeaderBytes: dial.MaxHeadBytes, MaxIdleConnsPerHost: idleConns, IdleConnTimeout: idleTimeout, ReadBufferSize: bufferBytes, WriteBufferSize: bufferBytes,
	}}
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

// Forward sends a request to the node at an address. The error is dispatch.ErrNotSent if nothing was sent.
func (c *Client) Forward(ctx context.Context, address string, r *dispatch.Request, f dispatch.Forwarded, h dial.Hooks) (*dispatch.Response, *dispatch.Refusal, error) {
	raw, err := writeHead(headOf(r, f))
	if err != nil {
		return nil, nil, fmt.Errorf("%w: %w", dispatch.ErrNotSent, err)
	}
	var conn *dial.RequestConn
	var before int64
	written := func() {}
	ctx, cancel := context.WithCancel(ctx)
	traced := httptrace.WithClientTrace(ctx, &httptrace.ClientTrace{GotConn: func(info httptrace.GotConnInfo) {
		if conn, _ = info.Conn.(*dial.RequestConn); conn != nil {
			before, written = conn.Begin(h)
		}
	}})
	req, err := http.NewRequestWithContext(traced, http.MethodPost, "http://"+address+Path, io.NopCloser(io.MultiReader(bytes.NewReader(raw), bytes.NewReader(r.Body))))
	if err != nil {
		cancel()
		return nil, nil, fmt.Errorf("%w: %w", dispatch.ErrNotSent, err)
	}
	req.ContentLength = int64(len(raw) + len(r.Body))
	resp, err := c.transport.RoundTrip(req)
	if err != nil {
		cancel()
		if conn == nil || conn.Writes() == before {
			err = fmt.Errorf("%w: %w", dispatch.ErrNotSent, err)
		}
		return nil, nil, fmt.Errorf("forward to %s: %w", address, err)
	}
	c.sent.Add(1)
	return c.decode(resp, func() { cancel(); written() })
}

// decode decodes the answer of a node.
func (c *Client) decode(resp *http.Response, cancel func()) (*dispatch.Response, *dispatch.Refusal, error) {
	body := &answerBody{resp.Body, cancel}
	if resp.StatusCode != http.StatusOK {
		body.Close()
		return nil, nil, fmt.Errorf("%w: %w: status %d", dispatch.ErrNotSent, errStatus, resp.StatusCode)
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
	return &dispatch.Response{Status: head.Status, Header: head.Header, Length: head.Length, Unframed: head.Unframed, Engine: head.Engine, Pool: head.Pool, Version: head.EngineVersion, Tries: head.Tries, Body: body}, nil, nil
}
