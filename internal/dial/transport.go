package dial

import (
	"context"
	"errors"
	"fmt"
	"io"
	"net"
	"net/http"
	"net/http/httptrace"
	"sync"
	"sync/atomic"
	"time"

	"github.com/croftturn/croftturn/internal/header"
)

// defaultTimeout bounds the time to connect of a Transport whose connections nothing else opens.
const defaultTimeout = time.Second

// maxStatus is the greatest status of HTTP; a greater one says nothing.
const maxStatus = 599

var (
	// ErrCutOff means that a connection broke while a request was written, so that its end is not that of the answer.
	ErrCutOff = errors.New("dial: connection broke while the request was written")

	// ErrMalformed means that what a server sent is no answer of HTTP.
	ErrMalformed = errors.New("dial: malformed answer")
)

type (
	// Transport is an http.Transport that returns nothing as an answer that is none, and no part of one as a whole one. Its
	// connections are RequestConns.
	Transport struct{ *http.Transport }

	// sending is one request on one connection.
	sending struct {
		head headCheck // head checks the answer. The reader of the connection alone uses it.

		once    sync.Once     // once closes written.
		written chan struct{} // written is closed when the request has been written or its writing has failed.
		err     error         // err is why writing failed; it is set before written is closed.
		ends    atomic.Bool   // ends is set if the end of the connection is to be that of the answer.
	}

	// trailedBody is the body of an answer that may end with a trailer.
	trailedBody struct {
		io.ReadCloser
		resp *http.Response
	}

	// requester is implemented by a RequestConn and what embeds one.
	requester interface{ requestConn() *RequestConn }
)

// NewTransport returns a Transport with the options and the dialer of an http.Transport, which it takes over.
func NewTransport(base *http.Transport) *Transport {
	open := base.DialContext
	if open == nil {
		open = New(defaultTimeout).DialContext
	}
	base.DialContext = func(ctx context.Context, network, address string) (net.Conn, error) {
		conn, err := open(ctx, network, address)
		if err != nil {
			return nil, err
		}
		if _, ok := conn.(requester); ok {
			return conn, nil
		}
		return NewRequestConn(conn), nil
	}
	return &Transport{base}
}

// RoundTrip implements http.RoundTripper.
func (t *Transport) RoundTrip(req *http.Request) (*http.Response, error) {
	s := newSending() // s is the latest one: the transport ends one before it begins another.
	trace := &httptrace.ClientTrace{
		GotConn: func(info httptrace.GotConnInfo) {
			s = newSending()
			if c, ok := info.Conn.(requester); ok {
				c.requestConn().sending.Store(s)
			}
		},
		WroteRequest: func(info httptrace.WroteRequestInfo) { s.end(info.Err) },
	}
	resp, err := t.Transport.RoundTrip(req.WithContext(httptrace.WithClientTrace(req.Context(), trace)))
	if err != nil {
		return nil, err
	}
	s.ends.Store(header.Unframed(resp))
	if !ValidStatus(resp.StatusCode) {
		resp.Body.Close()
		return nil, fmt.Errorf("status %03d: %w", resp.StatusCode, ErrMalformed)
	}
	if len(resp.TransferEncoding) > 0 {
		resp.Body = trailedBody{resp.Body, resp}
	}
	return resp, nil
}

// newSending returns a sending that has not been written.
func newSending() *sending { return &sending{written: make(chan struct{})} }

// end ends the writing; only its first call counts.
func (s *sending) end(err error) {
	s.once.Do(func() {
		s.err = err
		close(s.written)
	})
}

// Read reads from the body. It returns io.EOF only after a valid trailer.
func (b trailedBody) Read(p []byte) (int, error) {
	n, err := b.ReadCloser.Read(p)
	if errors.Is(err, io.EOF) {
		for name := range b.resp.Trailer {
			if !ValidName(name) {
				return n, fmt.Errorf("field %q in the trailer: %w", name, ErrMalformed)
			}
		}
	}
	return n, err
}

// ValidStatus reports whether a status is that of a final answer. That to a request to switch protocols is none, since no
// client asks for it.
func ValidStatus(status int) bool { return status >= http.StatusOK && status <= maxStatus }

// checkEnd is called when a connection has ended in order, and returns an error unless its request had been written. The
// kernel tells of a reset once: if a write learns of it, a read beside it meets what looks like the end that the peer made.
func (c *RequestConn) checkEnd() error {
	s := c.sending.Load()
	if s == nil || !s.ends.Load() {
		return nil
	}
	select {
	case <-s.written:
	case <-c.closing:
		return net.ErrClosed
	}
	if s.err != nil {
		return fmt.Errorf("%w: %w", ErrCutOff, s.err)
	}
	c.writing.Lock() // The last bytes may leave after the request counts as written.
	defer c.writing.Unlock()
	if c.writeErr != nil {
		return fmt.Errorf("%w: %w", ErrCutOff, c.writeErr)
	}
	return nil
}
