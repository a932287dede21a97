package load

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
	"strconv"
	"strings"
	"sync"
	"time"

	"github.com/cespare/xxhash/v2"

	"github.com/croftturn/croftturn/lab/record"
)

const (
	// answerTimeout bounds one request.
	answerTimeout = 60 * time.Second

	// askTimeout bounds one question for the entry points.
	askTimeout = time.Second

	// seats is how many callers each team has; each keeps its own entry points.
	seats = 8
)

type (
	// Caller sends requests as a caller of the system is told to: it asks any
	// node for the entry points, keeps the answer as long as it may, and connects
	// to the best.
	Caller struct {
		// FirstOnly makes it connect to the first of its entry points only, and
		// give the request up where that can't be reached.
		FirstOnly bool

		nodes []string // nodes are addresses to ask first.
		http  *http.Client
		asks  *http.Client // asks opens a connection for each question, as separate callers do.

		mu    sync.Mutex
		kept  map[seat][]string // kept are the entry points of each seat.
		until map[seat]time.Time
	}

	// Dial opens a connection.
	Dial func(ctx context.Context, network, address string) (net.Conn, error)

	// seat is one of a team's callers.
	seat struct {
		team string
		n    uint64
	}

	// Request is one request to send.
	Request struct {
		Arrival
		Key   string // Key is the idempotency key; empty for none.
		Try   int
		Node  string    // Node is the address to send to; empty for the best entry point.
		Begun time.Time // Begun is when the request was made, where that was before Send.
	}
)

// NewCaller returns a caller that knows some nodes.
func NewCaller(nodes []string) *Caller {
	return NewCallerOver((&net.Dialer{Timeout: askTimeout}).DialContext, nodes)
}

// NewCallerOver returns a caller that opens its connections with dial.
func NewCallerOver(dial Dial, nodes []string) *Caller {
	return &Caller{
		nodes: nodes, kept: map[seat][]string{}, until: map[seat]time.Time{},
		http: &http.Client{Transport: &http.Transport{MaxIdleConnsPerHost: 256, DialContext: dial}},
		asks: &http.Client{Transport: &http.Transport{DisableKeepAlives: true, DialContext: dial}},
	}
}

// seatOf returns the caller of a team that sends a request.
func seatOf(r Request) seat { return seat{r.Team.Name, xxhash.Sum64String(r.Mark) % seats} }

// Close drops idle connections.
func (c *Caller) Close() { c.http.CloseIdleConnections() }

// EntryPoints returns the addresses for a request's caller, best first.
func (c *Caller) EntryPoints(ctx context.Context, r Request) ([]string, error) {
	at := seatOf(r)
	c.mu.Lock()
	kept, until := c.kept[at], c.until[at]
	c.mu.Unlock()
	if time.Now().Before(until) {
		return kept, nil
	}
	var last error
	for _, node := range append(append([]string(nil), kept...), c.nodes...) {
		list, keep, err := c.ask(ctx, node, r.Team)
		if err != nil {
			last = err
			continue
		}
		c.mu.Lock()
		c.kept[at], c.until[at] = list, time.Now().Add(keep)
		c.mu.Unlock()
		return list, nil
	}
	return nil, fmt.Errorf("no node tells the entry points: %w", last)
}

// ask asks one node for the entry points.
func (c *Caller) ask(ctx context.Context, node string, t *Team) ([]string, time.Duration, error) {
	ctx, cancel := context.WithTimeout(ctx, askTimeout)
	defer cancel()
	req, err := http.NewRequestWithContext(ctx, http.MethodGet, "http://"+node+"/v1/entry-points", nil)
	if err != nil {
		return nil, 0, err
	}
	req.Header.Set("Authorization", "Bearer "+t.Token)
	resp, err := c.asks.Do(req)
	if err != nil {
		return nil, 0, err
	}
	defer resp.Body.Close()
	var doc struct {
		EntryPoints []struct {
			Address string `json:"address"`
		} `json:"entry_points"`
		KeepMs int `json:"keep_ms"`
	}
	if err := json.NewDecoder(resp.Body).Decode(&doc); err != nil {
		return nil, 0, err
	}
	if len(doc.EntryPoints) == 0 {
		return nil, 0, errors.New("no entry points")
	}
	var out []string
	for _, e := range doc.EntryPoints {
		out = append(out, e.Address)
	}
	return out, time.Duration(doc.KeepMs) * time.Millisecond, nil
}

// forget drops a caller's kept entry points, such as when one can't be reached.
func (c *Caller) forget(r Request) {
	c.mu.Lock()
	defer c.mu.Unlock()
	delete(c.until, seatOf(r))
}

// Send sends a request and checks the answer against what it must be. A node
// that can't be connected to is passed over for the next entry point.
func (c *Caller) Send(ctx context.Context, r Request) record.Attempt {
	s := record.Attempt{
		Mark: r.Mark, Try: r.Try, Key: r.Key, Class: r.Arrival.Class.Class, Tier: r.Arrival.Class.Tier, Team: r.Team.Name,
		OutputRequested: r.Tokens, SentMs: record.NowMs(), Outcome: "error",
	}
	begun := time.Now()
	if !r.Begun.IsZero() {
		begun = r.Begun
		s.SentMs = begun.UnixMilli()
	}
	ctx, cancel := context.WithTimeout(ctx, answerTimeout)
	defer cancel()
	nodes := []string{r.Node}
	if r.Node == "" {
		list, err := c.EntryPoints(ctx, r)
		if err != nil {
			s.Code = err.Error()
			return s
		}
		nodes = list
		if c.FirstOnly {
			nodes = list[:1]
		}
	}
	for _, node := range nodes {
		s.Node = node
		if c.sendTo(ctx, node, r, &s, begun) {
			break
		}
		c.forget(r)
	}
	s.TotalMs = msSince(begun)
	cl := r.Arrival.Class
	s.OnTime = s.Outcome == "completed" && s.Fault == "" &&
		(cl.TargetFirstMs == 0 || s.FirstMs <= cl.TargetFirstMs) && (cl.TargetTotalMs == 0 || s.TotalMs <= cl.TargetTotalMs)
	return s
}

// sendTo sends a request to one node; false means that nothing was sent.
func (c *Caller) sendTo(ctx context.Context, node string, r Request, s *record.Attempt, begun time.Time) bool {
	req, err := r.build(ctx, node)
	if err != nil {
		s.Code = err.Error()
		return true
	}
	s.NodeCalledMs = msSince(begun)
	resp, err := c.http.Do(req)
	if err != nil {
		s.Code = err.Error()
		var op *net.OpError
		return !errors.As(err, &op) || op.Op != "dial"
	}
	defer resp.Body.Close()
	s.Request = resp.Header.Get("Croftturn-Request-Id")
	switch {
	case resp.StatusCode != http.StatusOK:
		readRefusal(resp, s)
	case strings.HasPrefix(resp.Header.Get("Content-Type"), "text/event-stream"):
		readStream(resp.Body, r, s, begun)
	default:
		readPlain(resp.Body, r, s, begun)
	}
	return true
}

// sendWithTicket gets a ticket for a request that has a key, and sends it to the
// node that issued the ticket. The time counts from before the ticket.
func (c *Caller) sendWithTicket(ctx context.Context, r Request) record.Attempt {
	if r.Key == "" {
		return c.Send(ctx, r)
	}
	r.Begun = time.Now()
	nodes, err := c.EntryPoints(ctx, r)
	if err == nil {
		r.Node = nodes[0]
		r.Key, err = c.Ticket(ctx, r.Node, r.Team)
	}
	if err != nil {
		return record.Attempt{Mark: r.Mark, Try: r.Try, Class: r.Arrival.Class.Class, Team: r.Team.Name, Outcome: "error", Code: err.Error()}
	}
	return c.Send(ctx, r)
}

// Ticket gets a ticket from a node.
func (c *Caller) Ticket(ctx context.Context, node string, t *Team) (string, error) {
	req, err := http.NewRequestWithContext(ctx, http.MethodPost, "http://"+node+"/v1/tickets", nil)
	if err != nil {
		return "", fmt.Errorf("build ticket request: %w", err)
	}
	req.Header.Set("Authorization", "Bearer "+t.Token)
	resp, err := c.http.Do(req)
	if err != nil {
		return "", fmt.Errorf("get ticket: %w", err)
	}
	defer resp.Body.Close()
	var doc struct {
		Ticket string `json:"ticket"`
	}
	if err := json.NewDecoder(resp.Body).Decode(&doc); err != nil {
		return "", fmt.Errorf("decode ticket: %w", err)
	}
	return doc.Ticket, nil
}

// build makes the HTTP request.
func (r Request) build(ctx context.Context, node string) (*http.Request, error) {
	cl := r.Arrival.Class
	url, body := "http://"+node+"/services/"+cl.Service+"/calls", []byte(record.Prompt(r.Mark, 1, cl.PromptWords))
	if cl.Model != "" {
		url = "http://" + node + "/v1/chat/completions"
		text, err := json.Marshal(map[string]any{
			"model": cl.Model, "stream": true,
			"messages": []map[string]string{
				{"role": "system", "content": "class " + cl.Class + " of " + r.Team.Name + strings.Repeat(" context", cl.PromptWords)},
				{"role": "user", "content": record.Prompt(r.Mark, r.Tokens, 8)},
			},
		})
		if err != nil {
			return nil, fmt.Errorf("encode request: %w", err)
		}
		body = text
	}
	req, err := http.NewRequestWithContext(ctx, http.MethodPost, url, io.NopCloser(bytes.NewReader(body)))
	if err != nil {
		return nil, fmt.Errorf("build request: %w", err)
	}
	req.ContentLength = int64(len(body))
	req.Header.Set("Authorization", "Bearer "+r.Team.Token)
	req.Header.Set("Croftturn-Class", cl.Class)
	if r.Key != "" {
		req.Header.Set("Idempotency-Key", r.Key)
		req.Header.Set("Croftturn-Not-Repeatable", "true")
	}
	return req, nil
}

// readRefusal reads an answer that is not 200.
func readRefusal(resp *http.Response, s *record.Attempt) {
	var doc struct {
		Error struct {
			Code    string `json:"code"`
			Outcome string `json:"outcome"`
		} `json:"error"`
	}
	if err := json.NewDecoder(resp.Body).Decode(&doc); err != nil {
		s.Code = fmt.Sprintf("status %d without a typed body", resp.StatusCode)
		return
	}
	s.Code, s.Outcome = doc.Error.Code, doc.Error.Outcome
	s.RetryAfter, _ = strconv.Atoi(resp.Header.Get("Retry-After-Ms"))
}

// readStream reads a stream and checks each token.
func readStream(body io.Reader, r Request, s *record.Attempt, begun time.Time) {
	lines := bufio.NewScanner(body)
	lines.Buffer(nil, 1<<20)
	for lines.Scan() {
		data, ok := strings.CutPrefix(lines.Text(), "data: ")
		if !ok {
			continue
		}
		if data == "[DONE]" {
			s.Outcome = "completed"
			checkTokens(r, s)
			return
		}
		var chunk struct {
			Choices []struct {
				Delta struct {
					Content string `json:"content"`
				} `json:"delta"`
			} `json:"choices"`
			Error *struct {
				Code    string `json:"code"`
				Outcome string `json:"outcome"`
			} `json:"error"`
		}
		if err := json.Unmarshal([]byte(data), &chunk); err != nil {
			s.Code = "malformed event"
			return
		}
		if chunk.Error != nil {
			s.Code, s.Outcome = chunk.Error.Code, chunk.Error.Outcome
			return
		}
		if len(chunk.Choices) == 0 || chunk.Choices[0].Delta.Content == "" {
			continue
		}
		if s.Tokens == 0 {
			s.FirstMs = msSince(begun)
		}
		if want := record.Word(r.Mark, s.Tokens); chunk.Choices[0].Delta.Content != want && s.Fault == "" {
			s.Fault = fmt.Sprintf("token %d is %q, want %q", s.Tokens, chunk.Choices[0].Delta.Content, want)
		}
		s.Tokens++
	}
	s.Code = "stream cut without [DONE]"
}

// checkTokens checks the length of a whole answer.
func checkTokens(r Request, s *record.Attempt) {
	if s.Tokens != r.Tokens && s.Fault == "" {
		s.Fault = fmt.Sprintf("%d tokens, want %d", s.Tokens, r.Tokens)
	}
}

// readPlain reads and checks the answer of a plain call.
func readPlain(body io.Reader, r Request, s *record.Attempt, begun time.Time) {
	text, err := io.ReadAll(body)
	if err != nil {
		s.Code = "answer cut short"
		return
	}
	s.Outcome, s.Tokens = "completed", 1
	s.FirstMs = msSince(begun)
	if want := record.Answer(r.Mark, 1); string(text) != want {
		s.Fault = fmt.Sprintf("answer is %q, want %q", text, want)
	}
}

// msSince returns how long ago a moment was, in milliseconds.
func msSince(t time.Time) float64 { return float64(time.Since(t).Microseconds()) / 1000 }
