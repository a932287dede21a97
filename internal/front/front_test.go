package front_test

import (
	"bufio"
	"context"
	"encoding/json"
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"sync/atomic"
	"testing"
	"time"

	"github.com/croftturn/croftturn/internal/front"
	"github.com/croftturn/croftturn/internal/sched"
)

func TestBadInput(t *testing.T) {
	r := newTestServer(t, streams("a"))
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
	r := newTestServer(t, streams("a"))
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

func TestStreamingAndJSONResponses(t *testing.T) {
	r := newTestServer(t, streams("one ", "two"))
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

// TestInterruptedStreamResumesOnAnotherEngine checks that another engine continues an
// interrupted repeatable response from the text received so far.
func TestInterruptedStreamResumesOnAnotherEngine(t *testing.T) {
	var second string
	r := newTestServer(t, streamsThenAborts("one ", "two "), func(w http.ResponseWriter, req *http.Request) {
		body, _ := io.ReadAll(req.Body)
		second = string(body)
		streams("three")(w, req)
	})
	_, body := r.send(t, "/v1/chat/completions", hello)
	if text(body) != "one two three" || !strings.Contains(body, "[DONE]") {
		t.Errorf("stream = %q", body)
	}
	if !strings.Contains(second, `"continue_final_message":true`) || !strings.Contains(second, "one two ") {
		t.Errorf("the second engine was asked %s", second)
	}
}

// TestNotRepeatableIsNotSentAgain checks that an at-most-once request whose engine
// failed mid-response ends as unknown, visibly and without [DONE].
func TestNotRepeatableIsNotSentAgain(t *testing.T) {
	r := newTestServer(t, streamsThenAborts("one "), streams("never"))
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

// TestRefusalAfterABrokenTryIsUnknown checks that a request which started on an
// engine that failed, and got no other slot, is not reported as not_run. That
// happened to 12 requests in one run with a crashed engine.
func TestRefusalAfterABrokenTryIsUnknown(t *testing.T) {
	r := newTestServer(t, streamsThenAborts())
	r.sched.after = &sched.Refusal{Reason: "max_wait", RetryAfter: time.Second}
	resp, body := r.send(t, "/v1/chat/completions", hello)
	if resp.Header.Get(front.HeaderOutcome) != front.OutcomeUnknown || code(t, body) != "max_wait" || resp.Header.Get("Retry-After") != "1" {
		t.Errorf("answer = %d %s %v", resp.StatusCode, body, resp.Header)
	}
}

func TestMalformedEventAbortsStream(t *testing.T) {
	bad := func(w http.ResponseWriter, _ *http.Request) { fmt.Fprint(w, event("one "), "data: {\"cho\n\n") }
	r := newTestServer(t, bad)
	_, body := r.send(t, "/v1/chat/completions", hello)
	if strings.Contains(body, "[DONE]") || !strings.Contains(body, "outcome_unknown") {
		t.Errorf("stream = %q", body)
	}
}

// TestCallerGoneCancelsTheEngine checks that the engine's request is cancelled when
// the caller disconnects mid-stream.
func TestCallerGoneCancelsTheEngine(t *testing.T) {
	cancelled := make(chan struct{})
	r := newTestServer(t, func(w http.ResponseWriter, req *http.Request) {
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

// TestConnectionIsReusable checks that the write deadline of one
// response does not cut off the next response on the same connection.
func TestConnectionIsReusable(t *testing.T) {
	r := newTestServer(t, streams("one"))
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

// TestRequestIsNotSentOnceItsCallerHasLeft checks that only calls with a key go on when their callers leave.
func TestRequestIsNotSentOnceItsCallerHasLeft(t *testing.T) {
	for _, test := range []struct {
		path, key string
		sent      int
	}{{"/v1/chat/completions", "", 0}, {"/services/bids/x", "", 0}, {"/services/bids/x", "k", 1}} {
		var sent atomic.Int64
		r := newTestServer(t, func(w http.ResponseWriter, _ *http.Request) { sent.Add(1) })
		for i := range 20 {
			conn, err := net.Dial("tcp", strings.TrimPrefix(r.url, "http://"))
			if err != nil {
				t.Fatal(err)
			}
			r.sched.waiting = func() { conn.Close() }
			sent.Store(0)
			key := ""
			if test.key != "" {
				key = fmt.Sprintf("%s: offer\r\n%s: %s%d\r\n", front.HeaderClass, front.HeaderKey, test.key, i)
			}
			before := len(r.sched.ended())
			fmt.Fprintf(conn, "POST %s HTTP/1.1\r\nHost: h\r\nAuthorization: Bearer %s\r\n%sContent-Length: %d\r\n\r\n%s", test.path, token, key, len(hello), hello)
			for begin := time.Now(); len(r.sched.ended()) == before && time.Since(begin) < 2*time.Second; {
				time.Sleep(time.Millisecond)
			}
			if n := int(sent.Load()); n != test.sent {
				t.Errorf("%s with key %q: sent %d times", test.path, test.key, n)
			}
		}
	}
}
