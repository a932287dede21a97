package front

import (
	"bufio"
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"log/slog"
	"net"
	"net/http"
	"net/http/httptest"
	"strings"
	"testing"
	"time"

	"github.com/croftturn/croftturn/internal/dispatch"
	"github.com/croftturn/croftturn/internal/routing"
)

// fakeDispatcher refuses requests, or serves them with a test's function.
type fakeDispatcher struct {
	refusal *dispatch.Refusal
	serve   func(a dispatch.AnswerWriter)
	got     *dispatch.Request
	refused int
	served  int
}

func (*fakeDispatcher) AwaitStart(context.Context, time.Time, *dispatch.Request) {}

func (d *fakeDispatcher) Check(_ time.Time, r *dispatch.Request) (*routing.Route, *routing.Team, *dispatch.Refusal) {
	d.got = r
	return &routing.Route{}, nil, d.refusal
}

func (d *fakeDispatcher) Serve(_ context.Context, _ time.Time, _ *dispatch.Request, _ *routing.Route, _ *routing.Team, a dispatch.AnswerWriter) {
	d.served++
	if d.serve != nil {
		d.serve(a)
	}
}

func (d *fakeDispatcher) Refused(time.Time, *dispatch.Request, *dispatch.Refusal) { d.refused++ }

// complete posts a body to the completions endpoint.
func complete(t *testing.T, d *fakeDispatcher, body string, header map[string]string) (resp *http.Response, text string, err error) {
	t.Helper()
	limits := Limits{MaxBody: 4 << 10, WriteTimeout: time.Second, ReadTimeout: time.Second}
	server := httptest.NewServer(NewCompletions(d, limits, slog.New(slog.NewTextHandler(io.Discard, nil))))
	t.Cleanup(server.Close)
	req, err := http.NewRequest(http.MethodPost, server.URL+"/v1/chat/completions", strings.NewReader(body))
	if err != nil {
		t.Fatal(err)
	}
	for name, value := range header {
		req.Header.Set(name, value)
	}
	resp, err = http.DefaultClient.Do(req)
	if err != nil {
		t.Fatal(err)
	}
	defer resp.Body.Close()
	got, err := io.ReadAll(resp.Body)
	return resp, string(got), err
}

// conversation returns the body of a completion with a long first message.
func conversation(last string) string {
	return fmt.Sprintf(`{"model":"m","max_tokens":70,"stream":true,"messages":[{"role":"system","content":%q},{"role":"user","content":%q}]}`, strings.Repeat("x", 800), last)
}

// TestCompletionBecomesARequest checks the request passed to the dispatcher: leading
// messages are shared parts with the same ID in another conversation, and the response
// is relayed unchanged.
func TestCompletionBecomesARequest(t *testing.T) {
	d := &fakeDispatcher{serve: func(a dispatch.AnswerWriter) {
		a.Begin(&dispatch.Response{Status: 200, Header: http.Header{"Content-Type": {"text/event-stream"}, "Connection": {"close"}}, Length: -1})
		if err := a.Write([]byte("data: 1\n\n")); err != nil {
			t.Error(err)
		}
	}}
	header := map[string]string{"Authorization": "Bearer k", HeaderPatience: "1500"}
	resp, text, err := complete(t, d, conversation("one"), header)
	if resp.StatusCode != 200 || text != "data: 1\n\n" || err != nil || resp.Header.Get(HeaderRequestID) != d.got.ID || d.got.ID == "" {
		t.Errorf("got %d %q %v, id %q", resp.StatusCode, text, err, d.got.ID)
	}
	first := d.got
	if first.Key != "k" || first.Model != "m" || first.OutputTokens != 70 || first.Patience != 1500*time.Millisecond || string(first.Body) != conversation("one") {
		t.Errorf("got %+v", first)
	}
	if len(first.Prompt.Shared) != 1 || first.Prompt.Shared[0].Tokens < 200 || first.Prompt.Tokens <= first.Prompt.Shared[0].Tokens {
		t.Errorf("prompt %+v", first.Prompt)
	}
	if _, _, err := complete(t, d, conversation("two"), header); err != nil || d.got.Prompt.Session() != first.Prompt.Session() || d.got.ID == first.ID {
		t.Errorf("another conversation: %+v after %+v, %v", d.got.Prompt, first.Prompt, err)
	}
}

// TestCompletionIsRefused checks the format of refusals: status, outcome and
// Retry-After.
func TestCompletionIsRefused(t *testing.T) {
	for _, test := range []struct {
		refusal dispatch.Refusal
		status  int
		outcome string
		after   string
	}{
		{dispatch.Refusal{Reason: dispatch.Busy, RetryAfter: 400 * time.Millisecond}, 503, OutcomeNotRun, "400"},
		{dispatch.Refusal{Reason: dispatch.UnknownKey}, 401, OutcomeNotRun, ""},
		{dispatch.Refusal{Reason: dispatch.EngineFailed}, 502, OutcomeUnknown, ""},
		{dispatch.Refusal{Reason: dispatch.TimedOut}, 504, OutcomeUnknown, ""},
	} {
		resp, text, err := complete(t, &fakeDispatcher{refusal: &test.refusal}, conversation("x"), nil)
		var doc struct {
			Error struct {
				Code    string `json:"code"`
				Outcome string `json:"outcome"`
			} `json:"error"`
		}
		if err = errors.Join(err, json.Unmarshal([]byte(text), &doc)); err != nil {
			t.Fatal(err)
		}
		if resp.StatusCode != test.status || doc.Error.Outcome != test.outcome || resp.Header.Get(HeaderOutcome) != test.outcome ||
			resp.Header.Get(HeaderRetryAfterMs) != test.after || doc.Error.Code != string(test.refusal.Reason) {
			t.Errorf("%s: got %d %s %v", test.refusal.Reason, resp.StatusCode, text, resp.Header)
		}
	}
}

// TestBadCompletions checks that malformed or oversized requests are not served.
func TestBadCompletions(t *testing.T) {
	for body, want := range map[string]int{
		`{`: 400, `[]`: 400, `{"model":"m","messages":[]}`: 400, `{"messages":[{"role":"user"}]}`: 400, strings.Repeat(" ", 5<<10): 413,
	} {
		d := &fakeDispatcher{}
		if resp, text, err := complete(t, d, body, nil); resp.StatusCode != want || err != nil || d.served != 0 || d.refused != 1 {
			t.Errorf("%.20q: got %d %s %v", body, resp.StatusCode, text, err)
		}
	}
	d := &fakeDispatcher{}
	if resp, _, _ := complete(t, d, conversation("x"), map[string]string{HeaderPatience: "soon"}); resp.StatusCode != 400 || d.served != 0 {
		t.Errorf("a patience that is no number: %d", resp.StatusCode)
	}
}

// TestAbortedCompletion checks that an aborted response is visibly incomplete.
func TestAbortedCompletion(t *testing.T) {
	d := &fakeDispatcher{serve: func(a dispatch.AnswerWriter) {
		a.Begin(&dispatch.Response{Status: 200, Header: http.Header{}, Length: -1})
		if err := a.Write([]byte("data: 1\n\n")); err != nil {
			t.Error(err)
		}
		a.Abort()
	}}
	if _, text, err := complete(t, d, conversation("x"), nil); err == nil {
		t.Errorf("got %q as a whole answer", text)
	}
}

// TestTheKeyIsCheckedBeforeTheBodyIsRead checks that a caller with an unknown key is
// refused before its body is read, even if the body never arrives.
func TestTheKeyIsCheckedBeforeTheBodyIsRead(t *testing.T) {
	d := &fakeDispatcher{refusal: &dispatch.Refusal{Reason: dispatch.UnknownKey}}
	server := httptest.NewServer(NewCompletions(d, Limits{MaxBody: 4 << 10, WriteTimeout: time.Second, ReadTimeout: time.Minute}, slog.New(slog.DiscardHandler)))
	defer server.Close()
	conn, err := net.Dial("tcp", server.Listener.Addr().String())
	if err != nil {
		t.Fatal(err)
	}
	defer conn.Close()
	if _, err := io.WriteString(conn, "POST /v1/chat/completions HTTP/1.1\r\nHost: h\r\nAuthorization: Bearer k\r\nContent-Length: 2000\r\n\r\n{"); err != nil {
		t.Fatal(err)
	}
	if err := conn.SetReadDeadline(time.Now().Add(5 * time.Second)); err != nil {
		t.Fatal(err)
	}
	resp, err := http.ReadResponse(bufio.NewReader(conn), nil)
	if err != nil {
		t.Fatalf("no answer while the body does not come: %v", err)
	}
	defer resp.Body.Close()
	if resp.StatusCode != http.StatusUnauthorized || d.got.Key != "k" || d.refused != 1 {
		t.Errorf("status %d, key %q, %d refused", resp.StatusCode, d.got.Key, d.refused)
	}
}
