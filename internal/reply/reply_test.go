package reply_test

import (
	"bufio"
	"errors"
	"io"
	"net"
	"net/http"
	"net/http/httptest"
	"os"
	"testing"
	"time"

	"github.com/croftturn/croftturn/internal/dispatch"
	"github.com/croftturn/croftturn/internal/reply"
)

// limit is the write timeout of these tests.
const limit = 200 * time.Millisecond

// get requests a server whose answer is written by a function, and fails the test if not even a
// head arrives.
func get(t *testing.T, answer func(w *reply.Writer)) *http.Response {
	t.Helper()
	resp, err := ask(t, answer)
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { resp.Body.Close() })
	return resp
}

// ask is get that returns the error.
func ask(t *testing.T, answer func(w *reply.Writer)) (*http.Response, error) {
	t.Helper()
	server := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) {
		a := reply.New(w, limit)
		answer(a)
		a.Finish()
	}))
	t.Cleanup(server.Close)
	return http.Get(server.URL)
}

// head returns the head of an answer with a length, -1 for none.
func head(length int64, h http.Header) *dispatch.Response {
	return &dispatch.Response{Status: http.StatusOK, Header: h, Length: length}
}

// write writes a piece and fails the test if that fails.
func write(t *testing.T, w *reply.Writer, piece string) {
	t.Helper()
	if err := w.Write([]byte(piece)); err != nil {
		t.Error(err)
	}
}

// TestWholeAnswer checks that an answer with a length reaches the caller as the engine sent it: its
// end-to-end headers, no guessed type, its length and its body.
func TestWholeAnswer(t *testing.T) {
	resp := get(t, func(w *reply.Writer) {
		w.Begin(head(5, http.Header{"X-Engine": {"a", "b"}, "Connection": {"X-Hop"}, "X-Hop": {"1"}, "Keep-Alive": {"timeout=9"}}))
		write(t, w, "whole")
	})
	body, err := io.ReadAll(resp.Body)
	if err != nil || string(body) != "whole" || resp.ContentLength != 5 {
		t.Errorf("body %q, length %d, %v", body, resp.ContentLength, err)
	}
	if got := resp.Header["X-Engine"]; len(got) != 2 || got[0] != "a" || got[1] != "b" {
		t.Errorf("the engine's header arrives as %q", got)
	}
	for _, name := range []string{"X-Hop", "Keep-Alive", "Content-Type"} {
		if got, ok := resp.Header[name]; ok {
			t.Errorf("%s: %q, which the engine did not send to the caller", name, got)
		}
	}
}

// TestStreamIsFlushedPerWrite checks that a piece of an answer without a length reaches the
// caller before the next one is written.
func TestStreamIsFlushedPerWrite(t *testing.T) {
	next := make(chan struct{})
	resp := get(t, func(w *reply.Writer) {
		w.Begin(head(-1, http.Header{}))
		for _, piece := range []string{"one\n", "two\n"} {
			write(t, w, piece)
			<-next
		}
	})
	lines := bufio.NewReader(resp.Body)
	for _, want := range []string{"one\n", "two\n"} {
		if got, err := lines.ReadString('\n'); got != want || err != nil {
			t.Errorf("got %q, %v, want %q", got, err, want)
		}
		next <- struct{}{}
	}
	if _, err := lines.ReadByte(); !errors.Is(err, io.EOF) {
		t.Errorf("after the last piece: %v", err)
	}
}

// TestAbortedAnswerLooksIncomplete checks that the caller can tell that an answer is incomplete,
// with a length and without, although all that was written is well formed.
func TestAbortedAnswerLooksIncomplete(t *testing.T) {
	for name, length := range map[string]int64{"with a length": 9, "without": -1} {
		t.Run(name, func(t *testing.T) {
			resp, err := ask(t, func(w *reply.Writer) {
				w.Begin(head(length, http.Header{}))
				write(t, w, "part")
				w.Abort()
			})
			if err != nil {
				return // The connection closed before a head arrived.
			}
			defer resp.Body.Close()
			if body, err := io.ReadAll(resp.Body); err == nil {
				t.Errorf("%q looks complete", body)
			}
		})
	}
}

// TestWriteTimesOut checks that a write to a caller that does not read ends at the
// write timeout.
func TestWriteTimesOut(t *testing.T) {
	failed := make(chan error, 1)
	server := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) {
		a := reply.New(w, limit)
		a.Begin(head(-1, http.Header{}))
		for {
			if err := a.Write(make([]byte, 1<<16)); err != nil {
				failed <- err
				return
			}
		}
	}))
	defer server.Close()
	conn, err := net.Dial("tcp", server.Listener.Addr().String())
	if err != nil {
		t.Fatal(err)
	}
	defer conn.Close()
	if _, err := io.WriteString(conn, "GET / HTTP/1.1\r\nHost: h\r\n\r\n"); err != nil {
		t.Fatal(err)
	}
	select {
	case err := <-failed:
		if !errors.Is(err, os.ErrDeadlineExceeded) {
			t.Errorf("the write ended with %v, want its timeout", err)
		}
	case <-time.After(30 * time.Second):
		t.Error("the write does not end")
	}
}

// TestBlockedWriteIsExtendedAndInterrupted guards against a caller that reads slowly and gets a write
// timeout nevertheless, and against a blocked write that cannot be ended, or goes on after its end.
func TestBlockedWriteIsExtendedAndInterrupted(t *testing.T) {
	const extended = 5 * limit
	failed := make(chan time.Duration, 1)
	server := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) {
		a := reply.New(w, limit)
		a.Begin(head(-1, http.Header{}))
		begun := time.Now()
		go func() {
			for time.Since(begun) < extended {
				a.Extend()
				time.Sleep(limit / 10)
			}
			a.Interrupt()
			a.Extend()
		}()
		for a.Write(make([]byte, 1<<20)) == nil {
		}
		if a.Write([]byte("more")) == nil {
			t.Error("a write succeeds after an interrupted one")
		}
		failed <- time.Since(begun)
		a.Abort()
		a.Finish()
	}))
	defer server.Close()
	conn, err := net.Dial("tcp", server.Listener.Addr().String())
	if err != nil {
		t.Fatal(err)
	}
	defer conn.Close()
	if _, err := io.WriteString(conn, "GET / HTTP/1.1\r\nHost: h\r\n\r\n"); err != nil {
		t.Fatal(err)
	}
	select {
	case took := <-failed:
		if took < extended {
			t.Errorf("the write ended after %v, though extended for %v", took, extended)
		}
	case <-time.After(30 * time.Second):
		t.Error("the write does not end")
	}
}

// TestStreamWithALengthIsPassedOnAsItArrives guards against events that lie in a buffer since their stream names its length.
func TestStreamWithALengthIsPassedOnAsItArrives(t *testing.T) {
	const event = "id: 1\ndata: x\n\n"
	next := make(chan struct{})
	defer close(next)
	answered := make(chan string, 1)
	go func() {
		resp, err := ask(t, func(w *reply.Writer) {
			w.Begin(head(2*int64(len(event)), http.Header{"Content-Type": {"text/event-stream"}}))
			write(t, w, event)
			<-next
			w.Abort()
		})
		if err != nil {
			return
		}
		defer resp.Body.Close()
		got := make([]byte, len(event))
		if _, err := io.ReadFull(resp.Body, got); err == nil {
			answered <- string(got)
		}
	}()
	select {
	case got := <-answered:
		if got != event {
			t.Errorf("got %q, want the first event", got)
		}
	case <-time.After(10 * limit):
		t.Error("the first event does not arrive before the next one")
	}
}
