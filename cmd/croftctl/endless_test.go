package main

import (
	"bytes"
	"context"
	"net/http"
	"net/http/httptest"
	"strconv"
	"strings"
	"testing"
	"time"

	"github.com/croftturn/croftturn/internal/testendless"
)

// TestEndlessAnswerIsAnError guards against an answer that is kept without end, or printed as whole though it was cut off.
func TestEndlessAnswerIsAnError(t *testing.T) {
	const heldHead, heldBody = 2 << 20, 3 * maxAnswerBytes // A buffer that grows is there twice, and larger than its content.
	check := func(b testendless.Bytes, heldBound, wroteBound int) {
		t.Run(b.Name, func(t *testing.T) {
			address, wrote := b.Serve(t)
			c := newClient(options{address: address, json: true})
			began := time.Now()
			held := testendless.Held(func() {
				if err := c.send(context.Background(), "/admin/v1/statements", "1", nil); err == nil {
					t.Error("an endless answer is printed")
				}
			})
			c.http.CloseIdleConnections()
			if n := wrote(); held > heldBound || n > wroteBound*(1+b.Framing) || time.Since(began) > 2*requestTimeout {
				t.Errorf("ended after %v, %d bytes were held, %d went out", time.Since(began), held, n)
			}
		})
	}
	for _, b := range testendless.Heads() {
		check(b, heldHead, testendless.KernelBytes)
	}
	for _, b := range testendless.Bodies("") {
		check(b, heldBody, maxAnswerBytes+testendless.KernelBytes)
	}
}

// TestLongestAnswerIsPrinted guards against a bound that refuses an answer which keeps it.
func TestLongestAnswerIsPrinted(t *testing.T) {
	for n, whole := range map[int]bool{maxAnswerBytes: true, maxAnswerBytes + 1: false} {
		server := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) {
			w.Header().Set("Content-Length", strconv.Itoa(n))
			_, _ = w.Write(bytes.Repeat([]byte(" "), n)) // An error shows in the answer.
		}))
		var out countingWriter
		c := newClient(options{address: strings.TrimPrefix(server.URL, "http://"), json: true})
		c.out = &out
		if err := c.send(context.Background(), "/", "1", nil); (err == nil) != whole || whole && int(out) != n || !whole && out != 0 {
			t.Errorf("an answer of %d bytes: %d were printed, %v", n, int(out), err)
		}
		server.Close()
	}
}

// countingWriter counts what is written.
type countingWriter int

// Write counts.
func (w *countingWriter) Write(p []byte) (int, error) {
	*w += countingWriter(len(p))
	return len(p), nil
}
