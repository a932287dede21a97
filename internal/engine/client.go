package engine

import (
	"bufio"
	"bytes"
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"net"
	"net/http"
	"sync/atomic"
	"time"
)

const (
	// maxEventBytes bounds one event of an engine's stream.
	maxEventBytes = 1 << 20

	// dialTimeout bounds the opening of a connection to an engine.
	dialTimeout = time.Second

	// HeaderRequestID carries the request's id to engines and backend servers.
	HeaderRequestID = "X-Request-Id"
)

var (
	// ErrFull says that the engine refused: the request did not run there.
	ErrFull = errors.New("engine: refused as full or leaving")

	// ErrNotSent says that the engine could not be connected to: the request
	// did not run there.
	ErrNotSent = errors.New("engine: not reachable")

	// ErrRejected says that the engine found the request itself at fault.
	ErrRejected = errors.New("engine: request rejected")

	// ErrBroken says that the engine failed after the request was sent: it may
	// have run, in part or whole.
	ErrBroken = errors.New("engine: broke off")

	// ErrMalformed says that the engine sent an event that is not one.
	ErrMalformed = errors.New("engine: malformed event")
)

type (
	// Client runs requests on engines and backend servers.
	Client struct {
		http  *http.Client
		stall time.Duration
	}

	// Event is one event of a stream.
	Event struct {
		Data    []byte // Data is the event's JSON; it is valid until the next event.
		Content string // Content is the text that the event adds.
		Done    bool   // Done says that the stream is whole.
		Finish  string // Finish is why the answer ended; empty before its last part.
		Usage   *Usage // Usage is set on the event that carries it.
	}

	// Usage counts tokens as the engine does.
	Usage struct {
		PromptTokens     int `json:"prompt_tokens"`
		CompletionTokens int `json:"completion_tokens"`
		TotalTokens      int `json:"total_tokens"`
	}

	// Stream is the answer of an engine, event by event.
	Stream struct {
		body   io.ReadCloser
		lines  *bufio.Reader
		cancel context.CancelFunc
		watch  *stallWatch
	}

	// RejectedError is the engine's own answer to a request at fault.
	RejectedError struct {
		Status int
		Body   []byte
	}

	// stallWatch ends a context when nothing comes for too long.
	stallWatch struct {
		timer   *time.Timer
		after   time.Duration
		stalled atomic.Bool
	}
)

// Error describes the rejection.
func (e *RejectedError) Error() string {
	return fmt.Sprintf("engine: rejected with status %d", e.Status)
}

// Is makes errors.Is(err, ErrRejected) true.
func (e *RejectedError) Is(target error) bool { return target == ErrRejected }

// NewClient returns a client that gives a request up when its engine sends
// nothing for as long as stall.
func NewClient(stall time.Duration) *Client {
	dialer := &net.Dialer{Timeout: dialTimeout}
	return &Client{
		stall: stall,
		http: &http.Client{
			Transport: &http.Transport{DialContext: dialer.DialContext, MaxIdleConnsPerHost: 64, IdleConnTimeout: time.Minute},
			CheckRedirect: func(*http.Request, []*http.Request) error {
				return http.ErrUseLastResponse
			},
		},
	}
}

// Close drops idle connections.
func (c *Client) Close() { c.http.CloseIdleConnections() }

// newStallWatch calls cancel when nothing comes for as long as after.
func newStallWatch(after time.Duration, cancel context.CancelFunc) *stallWatch {
	w := &stallWatch{after: after}
	w.timer = time.AfterFunc(after, func() {
		w.stalled.Store(true)
		cancel()
	})
	return w
}

// Start sends a chat completion to an engine and returns its stream. Errors
// are ErrFull, ErrNotSent, ErrRejected or ErrBroken.
func (c *Client) Start(ctx context.Context, address string, header http.Header, body []byte) (*Stream, error) {
	ctx, cancel := context.WithCancel(ctx)
	watch := newStallWatch(c.stall, cancel)
	resp, err := c.send(ctx, http.MethodPost, "http://"+address+"/v1/chat/completions", header, body)
	if err != nil {
		watch.timer.Stop()
		cancel()
		return nil, err
	}
	if resp.StatusCode != http.StatusOK {
		defer cancel()
		defer watch.timer.Stop()
		return nil, refusal(resp)
	}
	return &Stream{body: resp.Body, lines: bufio.NewReaderSize(resp.Body, 8<<10), cancel: cancel, watch: watch}, nil
}

// Do sends a plain call to a backend server and returns its answer, whose body
// the caller closes. Errors are ErrFull, ErrNotSent or ErrBroken; each other
// status is the backend server's own answer.
func (c *Client) Do(ctx context.Context, method, url string, header http.Header, body []byte) (*http.Response, error) {
	ctx, cancel := context.WithCancel(ctx)
	watch := newStallWatch(c.stall, cancel)
	resp, err := c.send(ctx, method, url, header, body)
	if err != nil {
		watch.timer.Stop()
		cancel()
		return nil, err
	}
	if resp.StatusCode == http.StatusTooManyRequests || resp.StatusCode == http.StatusServiceUnavailable {
		defer cancel()
		defer watch.timer.Stop()
		return nil, refusal(resp)
	}
	resp.Body = &watchedBody{ReadCloser: resp.Body, watch: watch, cancel: cancel}
	return resp, nil
}

// watchedBody is a body that is given up when nothing comes for too long.
type watchedBody struct {
	io.ReadCloser
	watch  *stallWatch
	cancel context.CancelFunc
}

// Read reads, and gives the server time anew.
func (b *watchedBody) Read(p []byte) (int, error) {
	n, err := b.ReadCloser.Read(p)
	b.watch.timer.Reset(b.watch.after)
	return n, err
}

// Close ends the call.
func (b *watchedBody) Close() error {
	b.watch.timer.Stop()
	defer b.cancel()
	return b.ReadCloser.Close()
}

// send sends one HTTP request. The transport repeats a request by itself where
// it has no body or can have the body again; this body gives it no such chance.
func (c *Client) send(ctx context.Context, method, url string, header http.Header, body []byte) (*http.Response, error) {
	req, err := http.NewRequestWithContext(ctx, method, url, io.NopCloser(bytes.NewReader(body)))
	if err != nil {
		return nil, fmt.Errorf("build request: %w: %w", ErrNotSent, err)
	}
	req.Header = header
	req.ContentLength = int64(len(body))
	resp, err := c.http.Do(req)
	if err == nil {
		return resp, nil
	}
	var op *net.OpError
	if errors.As(err, &op) && op.Op == "dial" {
		return nil, fmt.Errorf("%w: %w", ErrNotSent, err)
	}
	return nil, fmt.Errorf("%w: %w", ErrBroken, err)
}

// refusal turns an answer other than 200 into an error and closes it.
func refusal(resp *http.Response) error {
	defer resp.Body.Close()
	body, err := io.ReadAll(io.LimitReader(resp.Body, maxEventBytes))
	switch {
	case resp.StatusCode == http.StatusTooManyRequests, resp.StatusCode == http.StatusServiceUnavailable:
		return fmt.Errorf("status %d: %w", resp.StatusCode, ErrFull)
	case err == nil && resp.StatusCode >= 400 && resp.StatusCode < 500:
		return &RejectedError{Status: resp.StatusCode, Body: body}
	}
	return fmt.Errorf("status %d: %w", resp.StatusCode, ErrBroken)
}

// Next returns the next event. After the event with Done set there is none. An
// error means that the stream is not whole.
func (s *Stream) Next() (Event, error) {
	for {
		line, err := s.lines.ReadSlice('\n')
		if errors.Is(err, bufio.ErrBufferFull) {
			line, err = s.longLine(line)
		}
		if err != nil {
			return Event{}, fmt.Errorf("read stream: %w: %w", ErrBroken, err)
		}
		s.watch.timer.Reset(s.watch.after)
		line = bytes.TrimRight(line, "\r\n")
		if len(line) == 0 || line[0] == ':' {
			continue
		}
		return parse(line)
	}
}

// Buffered reports whether a part of another event has come already; the empty
// line that ends the last event does not count.
func (s *Stream) Buffered() bool {
	rest, err := s.lines.Peek(s.lines.Buffered())
	if err != nil {
		return false
	}
	return len(bytes.TrimLeft(rest, "\r\n")) > 0
}

// longLine reads the rest of a line that is longer than the buffer.
func (s *Stream) longLine(start []byte) ([]byte, error) {
	line := bytes.Clone(start)
	for {
		part, err := s.lines.ReadSlice('\n')
		line = append(line, part...)
		if !errors.Is(err, bufio.ErrBufferFull) {
			return line, err
		}
		if len(line) > maxEventBytes {
			return nil, ErrMalformed
		}
	}
}

// parse reads one line of a stream.
func parse(line []byte) (Event, error) {
	data, ok := bytes.CutPrefix(line, []byte("data:"))
	if !ok {
		return Event{}, fmt.Errorf("line without data: %w", ErrMalformed)
	}
	data = bytes.TrimLeft(data, " ")
	if bytes.Equal(data, []byte("[DONE]")) {
		return Event{Done: true}, nil
	}
	var chunk struct {
		Choices []struct {
			Delta struct {
				Content string `json:"content"`
			} `json:"delta"`
			FinishReason string `json:"finish_reason"`
		} `json:"choices"`
		Usage *Usage          `json:"usage"`
		Error json.RawMessage `json:"error"`
	}
	if err := json.Unmarshal(data, &chunk); err != nil {
		return Event{}, fmt.Errorf("%w: %w", ErrMalformed, err)
	}
	if chunk.Error != nil {
		return Event{}, fmt.Errorf("engine reports %s: %w", chunk.Error, ErrBroken)
	}
	e := Event{Data: data, Usage: chunk.Usage}
	if len(chunk.Choices) > 0 {
		e.Content = chunk.Choices[0].Delta.Content
		e.Finish = chunk.Choices[0].FinishReason
	}
	return e, nil
}

// Close ends the stream; an engine that is still working is cancelled.
func (s *Stream) Close() {
	s.watch.timer.Stop()
	s.cancel()
	s.body.Close()
}
