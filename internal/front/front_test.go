package front_test

import (
	"bufio"
	"bytes"
	"context"
	"encoding/json"
	"fmt"
	"io"
	"log/slog"
	"net"
	"net/http"
	"net/http/httptest"
	"strings"
	"sync"
	"testing"
	"time"

	"github.com/croftturn/croftturn/internal/claim"
	"github.com/croftturn/croftturn/internal/config"
	"github.com/croftturn/croftturn/internal/engine"
	"github.com/croftturn/croftturn/internal/front"
	"github.com/croftturn/croftturn/internal/journal"
	"github.com/croftturn/croftturn/internal/kv"
	"github.com/croftturn/croftturn/internal/sched"
	"github.com/croftturn/croftturn/internal/settings"
	"github.com/croftturn/croftturn/internal/telemetry"
	"github.com/croftturn/croftturn/internal/wire"
)

const (
	token   = "team-token"
	maxBody = 4096

	// writeTimeout is short, so that a test can outlast it.
	writeTimeout = 300 * time.Millisecond
)

type (
	// views holds one configuration.
	views struct{ view *config.View }

	// alone is a membership of one node.
	alone struct{}

	// inTurn gives the engines of a pool in turn, the excluded one last.
	inTurn struct {
		mu       sync.Mutex
		views    views
		next     int
		results  []sched.Result
		refusals []*sched.Refusal
		after    *sched.Refusal // after is what comes after the first grant.
	}

	// table is a table in memory that can be out.
	table struct {
		mu   sync.Mutex
		rows map[string]kv.Row
		down bool
	}
)

// View returns the configuration.
func (v views) View() *config.View { return v.view }

// Self returns the only member.
func (alone) Self() wire.Member { return wire.Member{Name: "n1", Incarnation: 1} }

// Live returns the only member.
func (a alone) Live() []wire.Member { return []wire.Member{a.Self()} }

// Member knows the only member.
func (a alone) Member(name string) (wire.Member, bool) { return a.Self(), name == "n1" }

// Call reaches nobody.
func (alone) Call(context.Context, string, string, any, any) error { return io.ErrClosedPipe }

// Acquire gives the next engine, or the next refusal where one is planned.
func (s *inTurn) Acquire(_ context.Context, req sched.Request) (sched.Grant, error) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if len(s.refusals) > 0 {
		r := s.refusals[0]
		s.refusals = s.refusals[1:]
		return sched.Grant{}, r
	}
	if s.after != nil && s.next > 0 {
		return sched.Grant{}, s.after
	}
	engines := s.views.view.Engines(req.Pool)
	for {
		e := engines[s.next%len(engines)]
		s.next++
		if e.Name != req.Exclude || len(engines) == 1 {
			return sched.Grant{Engine: e, Why: "its turn"}, nil
		}
	}
}

// Release keeps the result.
func (s *inTurn) Release(_ sched.Request, _ sched.Grant, res sched.Result) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.results = append(s.results, res)
}

// Get reads a row.
func (t *table) Get(_ context.Context, key string) (kv.Row, error) {
	t.mu.Lock()
	defer t.mu.Unlock()
	if t.down {
		return kv.Row{}, kv.ErrUnavailable
	}
	return t.rows[key], nil
}

// Transact checks and writes rows.
func (t *table) Transact(_ context.Context, txn kv.Txn) error {
	t.mu.Lock()
	defer t.mu.Unlock()
	if t.down {
		return kv.ErrUnavailable
	}
	for _, c := range txn.Checks {
		if row := t.rows[c.Key]; row.Version != c.Version {
			row.Key = c.Key
			return &kv.ConflictError{Rows: []kv.Row{row}}
		}
	}
	for _, p := range txn.Puts {
		t.rows[p.Key] = kv.Row{Key: p.Key, Value: p.Value, Version: t.rows[p.Key].Version + 1}
	}
	return nil
}

// rig is a front with engines that handlers stand for.
type rig struct {
	sched *inTurn
	table *table
	url   string
}

// newRig starts a front before some engines; service engines go by the same
// handlers.
func newRig(t *testing.T, engines ...http.HandlerFunc) *rig {
	t.Helper()
	c := &config.Config{
		Classes: []config.Class{{Name: "explain", Tier: 3}, {Name: "offer", Tier: 2, NotRepeatable: true}},
		Teams:   []config.Team{{Name: "alfa", TokenSha256: config.HashToken(token), DefaultClass: "explain"}},
		Pools:   []config.Pool{{Name: "llm", Kind: config.PoolKindModel, Models: []string{"m"}, Scheduler: config.PoolSchedulerDirect}, {Name: "bids", Kind: config.PoolKindService, Scheduler: config.PoolSchedulerDirect}},
	}
	for i, h := range engines {
		srv := httptest.NewServer(h)
		t.Cleanup(srv.Close)
		address := strings.TrimPrefix(srv.URL, "http://")
		c.Engines = append(c.Engines, config.Engine{Name: fmt.Sprint("e", i), Pool: "llm", Address: address, Slots: 4},
			config.Engine{Name: fmt.Sprint("s", i), Pool: "bids", Address: address, Slots: 4})
	}
	view, err := config.NewView(c)
	if err != nil {
		t.Fatal(err)
	}
	tele, err := telemetry.New(context.Background(), &settings.Settings{Instance: "n1", LogLevel: "error"}, io.Discard)
	if err != nil {
		t.Fatal(err)
	}
	tele.Log = slog.New(slog.DiscardHandler)
	t.Cleanup(func() { tele.Close() })
	r := &rig{sched: &inTurn{views: views{view}}, table: &table{rows: map[string]kv.Row{}}}
	client := engine.NewClient(2 * time.Second)
	t.Cleanup(client.Close)
	keeper := claim.NewKeeper(r.table, "n1", 1, time.Millisecond)
	t.Cleanup(keeper.Close)
	f := front.New(views{view}, alone{}, alone{}, client, journal.New(), tele,
		front.WithScheduler(config.PoolSchedulerDirect, r.sched),
		front.WithClaims(keeper, claim.NewIssuer(time.Now(), "n1", 1, time.Minute), claim.NewRegistry(time.Minute)),
		front.WithLimits(front.Limits{MaxBody: maxBody, WriteTimeout: writeTimeout, EntryKeep: time.Second}))
	srv := httptest.NewServer(f)
	t.Cleanup(srv.Close)
	r.url = srv.URL
	return r
}

// send posts a body with headers given in pairs and returns status, headers and
// the answer's text, which is cut where the connection was.
func (r *rig) send(t *testing.T, path, body string, headers ...string) (*http.Response, string) {
	t.Helper()
	req, err := http.NewRequest(http.MethodPost, r.url+path, strings.NewReader(body))
	if err != nil {
		t.Fatal(err)
	}
	req.Header.Set("Authorization", "Bearer "+token)
	for i := 0; i+1 < len(headers); i += 2 {
		req.Header.Set(headers[i], headers[i+1])
	}
	resp, err := http.DefaultClient.Do(req)
	if err != nil {
		t.Fatal(err)
	}
	defer resp.Body.Close()
	var text bytes.Buffer
	io.Copy(&text, resp.Body) // A cut answer is what some tests look for.
	return resp, text.String()
}

// code takes the code out of an error answer.
func code(t *testing.T, text string) string {
	t.Helper()
	var doc struct {
		Error struct{ Code string }
	}
	if err := json.Unmarshal([]byte(text), &doc); err != nil {
		t.Fatalf("answer %q: %v", text, err)
	}
	return doc.Error.Code
}

// event returns one event of a stream with a text.
func event(text string) string {
	return fmt.Sprintf("data: {\"choices\":[{\"index\":0,\"delta\":{\"content\":%q}}]}\n\n", text)
}

// answers returns a handler that streams words and ends as it should.
func answers(words ...string) http.HandlerFunc {
	return func(w http.ResponseWriter, _ *http.Request) {
		for _, word := range words {
			fmt.Fprint(w, event(word))
		}
		fmt.Fprint(w, "data: {\"choices\":[{\"delta\":{},\"finish_reason\":\"stop\"}]}\n\ndata: [DONE]\n\n")
	}
}

// cuts returns a handler that streams words and cuts the connection.
func cuts(words ...string) http.HandlerFunc {
	return func(w http.ResponseWriter, _ *http.Request) {
		for _, word := range words {
			fmt.Fprint(w, event(word))
		}
		http.NewResponseController(w).Flush()
		panic(http.ErrAbortHandler)
	}
}

// text joins the contents of a stream's events.
func text(stream string) string {
	var b strings.Builder
	for _, line := range strings.Split(stream, "\n") {
		var chunk struct {
			Choices []struct{ Delta struct{ Content string } }
		}
		if json.Unmarshal([]byte(strings.TrimPrefix(line, "data: ")), &chunk) == nil && len(chunk.Choices) > 0 {
			b.WriteString(chunk.Choices[0].Delta.Content)
		}
	}
	return b.String()
}

const hello = `{"model":"m","stream":true,"messages":[{"role":"user","content":"hi"}]}`

func TestBadInput(t *testing.T) {
	r := newRig(t, answers("a"))
	for name, tc := range map[string]struct {
		path, body string
		headers    []string
		status     int
		code       string
	}{
		"no token":        {"/v1/chat/completions", hello, []string{"Authorization", "Bearer x"}, 401, "bad_token"},
		"not JSON":        {"/v1/chat/completions", `{"model":`, nil, 400, "bad_body"},
		"wrong types":     {"/v1/chat/completions", `{"model":1,"messages":"x"}`, nil, 400, "bad_body"},
		"no messages":     {"/v1/chat/completions", `{"model":"m"}`, nil, 400, "bad_body"},
		"unknown model":   {"/v1/chat/completions", `{"model":"x","messages":[{}]}`, nil, 404, "model_not_found"},
		"unknown class":   {"/v1/chat/completions", hello, []string{front.HeaderClass, "x"}, 400, "unknown_class"},
		"oversized":       {"/v1/chat/completions", strings.Repeat("x", maxBody+1), nil, 413, "body_too_large"},
		"long key":        {"/v1/chat/completions", hello, []string{front.HeaderKey, strings.Repeat("k", 300)}, 400, "bad_key"},
		"unknown pool":    {"/services/x/y", "", nil, 404, "pool_not_found"},
		"false ticket":    {"/v1/chat/completions", hello, []string{front.HeaderKey, "tkt1.x"}, 400, "bad_ticket"},
		"forged ticket":   {"/v1/chat/completions", hello, []string{front.HeaderKey, "tkt1.n1.1.1.99999999.AAAA"}, 400, "bad_ticket"},
		"foreign process": {"/v1/chat/completions", hello, []string{front.HeaderKey, "tkt1.n9.1.1.99999999.AAAA"}, 502, "outcome_unknown"},
	} {
		t.Run(name, func(t *testing.T) {
			resp, body := r.send(t, tc.path, tc.body, tc.headers...)
			if resp.StatusCode != tc.status || code(t, body) != tc.code {
				t.Errorf("got %d %s, want %d %s", resp.StatusCode, body, tc.status, tc.code)
			}
		})
	}
	if len(r.sched.results) != 0 {
		t.Errorf("%d bad requests got a place on an engine", len(r.sched.results))
	}
}

func TestTruncatedBodyIsRefused(t *testing.T) {
	r := newRig(t, answers("a"))
	req, _ := http.NewRequest(http.MethodPost, r.url+"/v1/chat/completions", strings.NewReader(hello))
	req.Header.Set("Authorization", "Bearer "+token)
	req.ContentLength = int64(len(hello)) + 10
	if resp, err := http.DefaultClient.Do(req); err == nil {
		resp.Body.Close()
		if resp.StatusCode == http.StatusOK {
			t.Error("a truncated body was served")
		}
	}
	if len(r.sched.results) != 0 {
		t.Error("a truncated body got a place on an engine")
	}
}

func TestWholeAnswerInBothShapes(t *testing.T) {
	r := newRig(t, answers("one ", "two"))
	resp, body := r.send(t, "/v1/chat/completions", hello)
	if text(body) != "one two" || !strings.HasSuffix(body, "data: [DONE]\n\n") || resp.Trailer.Get(front.HeaderOutcome) != front.OutcomeCompleted {
		t.Errorf("stream = %q, trailer %v", body, resp.Trailer)
	}
	_, body = r.send(t, "/v1/chat/completions", strings.Replace(hello, `"stream":true,`, "", 1))
	var doc struct {
		Choices []struct{ Message struct{ Content string } }
		Usage   struct {
			CompletionTokens int `json:"completion_tokens"`
		}
	}
	if err := json.Unmarshal([]byte(body), &doc); err != nil || doc.Choices[0].Message.Content != "one two" || doc.Usage.CompletionTokens != 2 {
		t.Errorf("answer = %s, %v", body, err)
	}
}

// TestBrokenStreamGoesOnElsewhere holds that a repeatable answer which broke
// off is continued by another engine from the caller's text so far.
func TestBrokenStreamGoesOnElsewhere(t *testing.T) {
	var second string
	r := newRig(t, cuts("one ", "two "), func(w http.ResponseWriter, req *http.Request) {
		body, _ := io.ReadAll(req.Body)
		second = string(body)
		answers("three")(w, req)
	})
	_, body := r.send(t, "/v1/chat/completions", hello)
	if text(body) != "one two three" || !strings.Contains(body, "[DONE]") {
		t.Errorf("stream = %q", body)
	}
	if !strings.Contains(second, `"continue_final_message":true`) || !strings.Contains(second, "one two ") {
		t.Errorf("the second engine was asked %s", second)
	}
}

// TestNotRepeatableIsNotSentAgain holds that a request which must run at most
// once ends as unknown where its engine broke off, visibly and without [DONE].
func TestNotRepeatableIsNotSentAgain(t *testing.T) {
	r := newRig(t, cuts("one "), answers("never"))
	_, body := r.send(t, "/v1/chat/completions", hello, front.HeaderClass, "offer", front.HeaderKey, "k1")
	if strings.Contains(body, "[DONE]") || !strings.Contains(body, `"outcome":"unknown"`) {
		t.Errorf("stream = %q", body)
	}
	if len(r.sched.results) != 1 {
		t.Errorf("it was sent %d times", len(r.sched.results))
	}
	_, body = r.send(t, "/v1/chat/completions", hello, front.HeaderClass, "offer", front.HeaderKey, "k1")
	if code(t, body) != "outcome_unknown" || len(r.sched.results) != 1 {
		t.Errorf("sent again: %s", body)
	}
}

// TestRejectedKeyIsNotRunAndMayBeTriedAgain holds that a key whose request the
// engine rejected gets the engine's status each time it is sent.
func TestRejectedKeyIsNotRunAndMayBeTriedAgain(t *testing.T) {
	r := newRig(t, func(w http.ResponseWriter, _ *http.Request) { http.Error(w, "too long", http.StatusBadRequest) })
	for range 2 {
		resp, body := r.send(t, "/v1/chat/completions", hello, front.HeaderClass, "offer", front.HeaderKey, "k1")
		if resp.StatusCode != http.StatusBadRequest || code(t, body) != "engine_rejected" || resp.Header.Get(front.HeaderOutcome) != front.OutcomeNotRun {
			t.Errorf("answer = %d %s", resp.StatusCode, body)
		}
	}
}

// TestRefusalAfterABrokenTryIsUnknown holds that a request which began on an
// engine that broke off, and got no other place, is not said not to have run. It
// was: 12 such refusals in one run with an engine that crashed.
func TestRefusalAfterABrokenTryIsUnknown(t *testing.T) {
	r := newRig(t, cuts())
	r.sched.after = &sched.Refusal{Reason: "max_wait", RetryAfter: time.Second}
	resp, body := r.send(t, "/v1/chat/completions", hello)
	if resp.Header.Get(front.HeaderOutcome) != front.OutcomeUnknown || code(t, body) != "max_wait" || resp.Header.Get("Retry-After") != "1" {
		t.Errorf("answer = %d %s %v", resp.StatusCode, body, resp.Header)
	}
}

func TestMalformedEventBreaksOff(t *testing.T) {
	bad := func(w http.ResponseWriter, _ *http.Request) { fmt.Fprint(w, event("one "), "data: {\"cho\n\n") }
	r := newRig(t, bad)
	_, body := r.send(t, "/v1/chat/completions", hello)
	if strings.Contains(body, "[DONE]") || !strings.Contains(body, "outcome_unknown") {
		t.Errorf("stream = %q", body)
	}
}

// TestSameKeyGetsFirstOutcome holds that a key which was seen before runs no
// second time and gets the recorded answer.
func TestSameKeyGetsFirstOutcome(t *testing.T) {
	var runs int
	r := newRig(t, func(w http.ResponseWriter, req *http.Request) {
		runs++
		fmt.Fprint(w, "accepted")
	})
	for range 2 {
		resp, body := r.send(t, "/services/bids/offers", "x", front.HeaderClass, "offer", front.HeaderKey, "k1")
		if body != "accepted" || resp.Header.Get(front.HeaderOutcome) != front.OutcomeCompleted {
			t.Errorf("answer = %q %v", body, resp.Header)
		}
	}
	if runs != 1 {
		t.Errorf("it ran %d times", runs)
	}
}

// TestRefusalIsMadeCertain holds that not_run is said of a key only after no
// attempt that began before can claim it any more, and that a new try may run.
func TestRefusalIsMadeCertain(t *testing.T) {
	r := newRig(t, func(w http.ResponseWriter, _ *http.Request) { fmt.Fprint(w, "accepted") })
	stale := claim.NewKeeper(r.table, "n2", 1, time.Millisecond)
	defer stale.Close()
	attempt, err := stale.Begin(context.Background(), "alfa/k1", "stale")
	if err != nil {
		t.Fatal(err)
	}
	r.sched.refusals = []*sched.Refusal{{Reason: "queue_full", RetryAfter: time.Second}}
	resp, body := r.send(t, "/services/bids/offers", "x", front.HeaderClass, "offer", front.HeaderKey, "k1")
	if resp.Header.Get(front.HeaderOutcome) != front.OutcomeNotRun || resp.Header.Get("Retry-After") != "1" {
		t.Fatalf("answer = %s %v", body, resp.Header)
	}
	if err := attempt.Claim(context.Background(), time.Now()); err == nil {
		t.Error("an attempt from before the refusal claimed the key after it")
	}
	if _, body := r.send(t, "/services/bids/offers", "x", front.HeaderClass, "offer", front.HeaderKey, "k1"); body != "accepted" {
		t.Errorf("a new try got %s", body)
	}
}

// TestOutageRefusesKeysButServesTickets holds that in an outage of the platform
// a key of the caller's own is not run, and a ticket is.
func TestOutageRefusesKeysButServesTickets(t *testing.T) {
	runs := 0
	r := newRig(t, func(w http.ResponseWriter, _ *http.Request) {
		runs++
		fmt.Fprint(w, "accepted")
	})
	r.table.down = true
	resp, body := r.send(t, "/services/bids/offers", "x", front.HeaderClass, "offer", front.HeaderKey, "k1")
	if code(t, body) != "claim_unsettled" || resp.Header.Get(front.HeaderOutcome) != front.OutcomeUnknown || runs != 0 {
		t.Errorf("key in an outage: %s, ran %d times", body, runs)
	}
	_, body = r.send(t, "/v1/tickets", "")
	var doc struct{ Ticket string }
	if err := json.Unmarshal([]byte(body), &doc); err != nil {
		t.Fatal(err)
	}
	for range 2 {
		if _, body := r.send(t, "/services/bids/offers", "x", front.HeaderClass, "offer", front.HeaderKey, doc.Ticket); body != "accepted" {
			t.Errorf("ticket in an outage: %s", body)
		}
	}
	if runs != 1 {
		t.Errorf("the ticket ran %d times", runs)
	}
}

// TestRefusedTicketIsUsedUp holds that a sending which comes late does not run a
// ticket of which not_run was said.
func TestRefusedTicketIsUsedUp(t *testing.T) {
	runs := 0
	r := newRig(t, func(w http.ResponseWriter, _ *http.Request) {
		runs++
		fmt.Fprint(w, "accepted")
	})
	_, body := r.send(t, "/v1/tickets", "")
	var doc struct{ Ticket string }
	if err := json.Unmarshal([]byte(body), &doc); err != nil {
		t.Fatal(err)
	}
	r.sched.refusals = []*sched.Refusal{{Reason: "queue_full", RetryAfter: time.Second}}
	for i := range 2 {
		resp, body := r.send(t, "/services/bids/offers", "x", front.HeaderClass, "offer", front.HeaderKey, doc.Ticket)
		if resp.Header.Get(front.HeaderOutcome) != front.OutcomeNotRun || code(t, body) != "queue_full" {
			t.Errorf("sending %d: %s", i, body)
		}
	}
	if runs != 0 {
		t.Errorf("it ran %d times", runs)
	}
}

// TestCallerGoneCancelsTheEngine holds that the engine is told when the caller
// has gone in mid-stream.
func TestCallerGoneCancelsTheEngine(t *testing.T) {
	cancelled := make(chan struct{})
	r := newRig(t, func(w http.ResponseWriter, req *http.Request) {
		fmt.Fprint(w, event("one "))
		http.NewResponseController(w).Flush()
		<-req.Context().Done()
		close(cancelled)
	})
	ctx, cancel := context.WithCancel(context.Background())
	req, _ := http.NewRequestWithContext(ctx, http.MethodPost, r.url+"/v1/chat/completions", strings.NewReader(hello))
	req.Header.Set("Authorization", "Bearer "+token)
	resp, err := http.DefaultClient.Do(req)
	if err != nil {
		t.Fatal(err)
	}
	defer resp.Body.Close()
	cancel()
	select {
	case <-cancelled:
	case <-time.After(10 * time.Second):
		t.Error("the engine was not cancelled")
	}
}

// TestHopByHopHeadersAreDropped holds that what concerns one connection, and
// the team's token, does not reach a backend server.
func TestHopByHopHeadersAreDropped(t *testing.T) {
	var got http.Header
	r := newRig(t, func(w http.ResponseWriter, req *http.Request) {
		got = req.Header.Clone()
		w.Header().Set("Keep-Alive", "timeout=5")
		fmt.Fprint(w, "x")
	})
	resp, _ := r.send(t, "/services/bids/x", "b", "Proxy-Authorization", "p", "Connection", "X-Private", "X-Private", "1", "X-Kept", "1")
	for _, name := range []string{"Proxy-Authorization", "X-Private", "Authorization"} {
		if got.Get(name) != "" {
			t.Errorf("%s reached the backend server", name)
		}
	}
	if got.Get("X-Kept") != "1" || resp.Header.Get("Keep-Alive") != "" {
		t.Errorf("request %v, answer %v", got, resp.Header)
	}
}

// TestConnectionIsGoodForAnotherRequest holds that the deadline of the last
// write of one answer does not cut the next answer on the same connection.
func TestConnectionIsGoodForAnotherRequest(t *testing.T) {
	r := newRig(t, answers("one"))
	conn, err := net.Dial("tcp", strings.TrimPrefix(r.url, "http://"))
	if err != nil {
		t.Fatal(err)
	}
	defer conn.Close()
	reader := bufio.NewReader(conn)
	begun := time.Now()
	for _, call := range []struct{ method, path, body string }{{"POST", "/v1/chat/completions", hello}, {"GET", "/v1/models", ""}, {"POST", "/services/bids/x", "b"}} {
		fmt.Fprintf(conn, "%s %s HTTP/1.1\r\nHost: x\r\nAuthorization: Bearer %s\r\nContent-Length: %d\r\n\r\n%s", call.method, call.path, token, len(call.body), call.body)
		resp, err := http.ReadResponse(reader, nil)
		if err != nil {
			t.Fatalf("%s %s after %v: %v", call.method, call.path, time.Since(begun), err)
		}
		if _, err := io.Copy(io.Discard, resp.Body); err != nil {
			t.Errorf("%s %s: %v", call.method, call.path, err)
		}
		resp.Body.Close()
		<-time.After(writeTimeout + 50*time.Millisecond)
	}
}
