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
	"net/http/httptrace"
	"slices"
	"sync/atomic"
	"time"

	"github.com/croftturn/croftturn/internal/caller"
	"github.com/croftturn/croftturn/internal/clock"
	"github.com/croftturn/croftturn/internal/dial"
	"github.com/croftturn/croftturn/internal/header"
	"github.com/croftturn/croftturn/internal/sse"
)

const (
	// maxEventBytes is the maximum size of one event of an engine's stream.
	maxEventBytes = 1 << 20

	// idleStalls is for how many times the stall time a stream may add nothing to its answer, though its engine sends. Engines
	// that are busy with a prompt may send comments or empty events meanwhile.
	idleStalls = 60

	// dialTimeout bounds connecting to an engine.
	dialTimeout = time.Second

	// HeaderRequestID is the header with the request id for engines and backend servers.
	HeaderRequestID = "X-Request-Id"
)

var (
	// ErrFull means that the engine refused the request, which did not run there.
	ErrFull = errors.New("engine: refused as full or leaving")

	// ErrNotSent means that connecting to the engine failed and the request did
	// not run there.
	ErrNotSent = errors.New("engine: not reachable")

	// ErrCallerLeft means that the request was not sent, or not whole, because its caller had left.
	ErrCallerLeft = errors.New("engine: the request's caller has left")

	// ErrRejected means that the engine rejected the request as invalid.
	ErrRejected = errors.New("engine: request rejected")

	// ErrBroken means that the engine failed after the request was sent. It may
	// have run partly or completely.
	ErrBroken = errors.New("engine: broke off")

	// ErrMalformed means that the engine sent an invalid event, or goes on without an answer.
	ErrMalformed = errors.New("engine: malformed event")

	// emptyParts are the values of a part of an event that adds nothing.
	emptyParts = []string{"null", `""`, "[]", "{}"}
)

type (
	// Client sends requests to engines and backend servers.
	Client struct {
		http  *http.Client
		stall time.Duration
	}

	// Event is one event of a stream.
	Event struct {
		Data    []byte // Data is the event's JSON, valid until the next event.
		Content string // Content is the text added by the event.
		Done    bool   // Done marks the end of a complete stream.
		Finish  string // Finish is the finish reason; empty before the last part.
		Usage   *Usage // Usage is set on the event that carries it.
		Adds    bool   // Adds is set if the event adds text or something else, such as reasoning or a tool call, to the answer.
	}

	// Usage is the token usage reported by the engine.
	Usage struct {
		PromptTokens     int `json:"prompt_tokens"`
		CompletionTokens int `json:"completion_tokens"`
		TotalTokens      int `json:"total_tokens"`
	}

	// Stream reads the events of an engine's streaming response.
	Stream struct {
		body   io.ReadCloser
		lines  *bufio.Reader
		cancel context.CancelFunc
		watch  *stallTimer

		addedAt time.Time // addedAt is when the last event came that added something to the answer.
	}

	// RejectedError is the engine's response to an invalid request.
	RejectedError struct {
		Status int
		Body   []byte
	}

	// stallTimer cancels a request when no data arrives for too long.
	stallTimer struct {
		timer   *time.Timer
		after   time.Duration
		stalled atomic.Bool
	}
)

// Error implements error.
func (e *RejectedError) Error() string {
	return fmt.Sprintf("engine: rejected with status %d", e.Status)
}

// Is makes errors.Is(err, ErrRejected) true.
func (e *RejectedError) Is(target error) bool { return target == ErrRejected }

// NewClient returns a client that cancels a request when its engine sends no data
// for the duration stall.
func NewClient(stall time.Duration) *Client {
	return &Client{
		stall: stall,
		http: &http.Client{
			Transport: dial.NewTransport(&http.Transport{DialContext: dial.New(dialTimeout).DialContext, MaxIdleConnsPerHost: 64, IdleConnTimeout: time.Minute, MaxResponseHeaderBytes: dial.MaxHeadBytes}),
			CheckRedirect: func(*http.Request, []*http.Request) error {
				return http.ErrUseLastResponse
			},
		},
	}
}

// Close closes idle connections.
func (c *Client) Close() { c.http.CloseIdleConnections() }

// newStallTimer returns a timer that calls cancel when no data arrives in time.
func newStallTimer(after time.Duration, cancel context.CancelFunc) *stallTimer {
	w := &stallTimer{after: after}
	w.timer = time.AfterFunc(after, func() {
		w.stalled.Store(true)
		cancel()
	})
	return w
}

// Start sends a chat completion to an engine and returns its stream. Errors wrap
// ErrFull, ErrNotSent, ErrRejected or ErrBroken.
func (c *Client) Start(ctx context.Context, address string, header http.Header, body []byte) (*Stream, error) {
	ctx, cancel := context.WithCancel(ctx)
	watch := newStallTimer(c.stall, cancel)
	resp, err := c.send(ctx, http.MethodPost, "http://"+address+"/v1/chat/completions", header, body)
	if err != nil {
		watch.timer.Stop()
		cancel()
		return nil, err
	}
	if resp.StatusCode != http.StatusOK {
		defer cancel()
		defer watch.timer.Stop()
		return nil, statusError(resp)
	}
	return &Stream{body: resp.Body, lines: bufio.NewReaderSize(resp.Body, 8<<10), cancel: cancel, watch: watch, addedAt: clock.Now()}, nil
}

// Do sends a call to a backend server and returns its response, whose body the
// caller closes. Errors wrap ErrFull, ErrNotSent or ErrBroken; other statuses are
// returned as the backend server's response.
func (c *Client) Do(ctx context.Context, method, url string, header http.Header, body []byte) (*http.Response, error) {
	ctx, cancel := context.WithCancel(ctx)
	watch := newStallTimer(c.stall, cancel)
	resp, err := c.send(ctx, method, url, header, body)
	if err != nil {
		watch.timer.Stop()
		cancel()
		return nil, err
	}
	if resp.StatusCode == http.StatusTooManyRequests || resp.StatusCode == http.StatusServiceUnavailable {
		defer cancel()
		defer watch.timer.Stop()
		return nil, statusError(resp)
	}
	resp.Body = &watchedBody{Reader: checkedBody(resp), Closer: resp.Body, watch: watch, cancel: cancel}
	return resp, nil
}

// checkedBody returns the body of a response; reading a stream that was cut off inside an event ends
// with an error even if the response has neither a length nor chunks.
func checkedBody(resp *http.Response) io.Reader {
	if header.Unframed(resp) && header.EventStream(resp.Header) && resp.StatusCode < http.StatusMultipleChoices {
		return sse.NewWholeReader(resp.Body)
	}
	return resp.Body
}

// watchedBody is a body whose request is cancelled when no data arrives for too long.
type watchedBody struct {
	io.Reader
	io.Closer
	watch  *stallTimer
	cancel context.CancelFunc
}

// Read reads from the body and resets the stall timer.
func (b *watchedBody) Read(p []byte) (int, error) {
	n, err := b.Reader.Read(p)
	b.watch.timer.Reset(b.watch.after)
	return n, err
}

// Close closes the body and cancels the request.
func (b *watchedBody) Close() error {
	b.watch.timer.Stop()
	defer b.cancel()
	return b.Closer.Close()
}

// endingBody is a body that ends its request on the connection once it has been read or given up.
type endingBody struct {
	io.ReadCloser
	end func()
}

// Close closes the body, and the connection if the body was not read to its end.
func (b *endingBody) Close() error {
	defer b.end()
	return b.ReadCloser.Close()
}

// mayWrite is asked before each write of a request whose context names the connection of its caller.
func mayWrite(ctx context.Context) func(now time.Time, first bool) error {
	conn := caller.ConnOf(ctx)
	return func(time.Time, bool) error {
		if conn.Left() {
			return ErrCallerLeft
		}
		return nil
	}
}

// send sends one HTTP request, unless its caller has left. The body is wrapped so that it can't be rewound, since
// the transport retries requests without a body or with a rewindable one.
func (c *Client) send(ctx context.Context, method, url string, header http.Header, body []byte) (*http.Response, error) {
	ask, end := mayWrite(ctx), func() {}
	ctx = httptrace.WithClientTrace(ctx, &httptrace.ClientTrace{GotConn: func(info httptrace.GotConnInfo) {
		if conn, ok := info.Conn.(*dial.RequestConn); ok {
			_, end = conn.Begin(dial.Hooks{MayWrite: ask})
		}
	}})
	req, err := http.NewRequestWithContext(ctx, method, url, io.NopCloser(bytes.NewReader(body)))
	if err != nil {
		return nil, fmt.Errorf("build request: %w: %w", ErrNotSent, err)
	}
	req.Header = header
	req.ContentLength = int64(len(body))
	resp, err := c.http.Do(req)
	if err == nil {
		resp.Body = &endingBody{resp.Body, end}
		return resp, nil
	}
	if errors.Is(err, ErrCallerLeft) {
		return nil, err
	}
	var op *net.OpError
	if errors.As(err, &op) && op.Op == "dial" {
		return nil, fmt.Errorf("%w: %w", ErrNotSent, err)
	}
	return nil, fmt.Errorf("%w: %w", ErrBroken, err)
}

// statusError turns an error response into an error and closes its body.
func statusError(resp *http.Response) error {
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

// Next returns the next event. The event with Done set is the last. An error means
// that the stream is incomplete. One that adds nothing to its answer for too long ends with ErrMalformed.
func (s *Stream) Next() (Event, error) {
	for skipped := 0; skipped <= maxEventBytes; {
		line, err := s.lines.ReadSlice('\n')
		if errors.Is(err, bufio.ErrBufferFull) {
			line, err = s.readLongLine(line)
		}
		if err != nil {
			return Event{}, fmt.Errorf("read stream: %w: %w", ErrBroken, err)
		}
		s.watch.timer.Reset(s.watch.after)
		skipped += len(line)
		line = bytes.TrimRight(line, "\r\n")
		var e Event
		if len(line) > 0 && line[0] != ':' {
			if e, err = parseEvent(line); err != nil || e.Done {
				return e, err
			}
		}
		if now := clock.Now(); e.Adds {
			s.addedAt = now
		} else if idle := now.Sub(s.addedAt); idle > idleStalls*s.watch.after {
			return Event{}, fmt.Errorf("%v without an addition to the answer: %w", idle, ErrMalformed)
		}
		if e.Data != nil {
			return e, nil
		}
	}
	return Event{}, fmt.Errorf("%d bytes without an event: %w", maxEventBytes, ErrMalformed)
}

// Buffered reports whether part of another event is buffered. The empty line that
// ends the last event does not count.
func (s *Stream) Buffered() bool {
	rest, err := s.lines.Peek(s.lines.Buffered())
	if err != nil {
		return false
	}
	return len(bytes.TrimLeft(rest, "\r\n")) > 0
}

// readLongLine reads the rest of a line that exceeds the buffer.
func (s *Stream) readLongLine(start []byte) ([]byte, error) {
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

// parseEvent parses one line of a stream.
func parseEvent(line []byte) (Event, error) {
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
		e.Adds = e.Content != "" || addsOther(data)
		e.Finish = chunk.Choices[0].FinishReason
	}
	return e, nil
}

// addsOther reports whether an event adds something other than text. Engines name such parts differently.
func addsOther(data []byte) bool {
	var chunk struct {
		Choices []struct {
			Delta map[string]json.RawMessage `json:"delta"`
		} `json:"choices"`
	}
	if err := json.Unmarshal(data, &chunk); err != nil {
		return false
	}
	for _, c := range chunk.Choices {
		for name, part := range c.Delta {
			if name != "role" && !slices.Contains(emptyParts, string(part)) {
				return true
			}
		}
	}
	return false
}

// Close closes the stream and cancels an unfinished request.
func (s *Stream) Close() {
	s.watch.timer.Stop()
	s.cancel()
	s.body.Close()
}
