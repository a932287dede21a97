package engine

import (
	"bufio"
	"context"
	"errors"
	"fmt"
	"net/http"
	"strings"
	"testing"
	"time"

	"github.com/croftturn/croftturn/internal/clock"
	"github.com/croftturn/croftturn/internal/testendless"
)

// TestEndlessBytesOfAnEngineAreNotRead guards against a head, line, comment or refusal without end.
func TestEndlessBytesOfAnEngineAreNotRead(t *testing.T) {
	const bytesBound, timeBound = 8 << 20, 5 * time.Second // The kernel buffers some megabytes of what is not read.
	const heldBound = 4 * maxEventBytes                    // A line that grows is there twice.
	client, watcher := NewClient(time.Second), NewWatcher()
	defer client.Close()
	readers := map[string]func(ctx context.Context, address string) error{
		"stream": func(ctx context.Context, address string) error {
			s, err := client.Start(ctx, address, http.Header{}, []byte("{}"))
			if err != nil {
				return err
			}
			defer s.Close()
			_, err = s.Next()
			return err
		},
		"service": func(ctx context.Context, address string) error {
			resp, err := client.Do(ctx, http.MethodGet, "http://"+address+"/", http.Header{}, nil)
			if err == nil {
				resp.Body.Close()
				return fmt.Errorf("its body is the caller's")
			}
			return err
		},
		"order": func(ctx context.Context, address string) error {
			if err := client.Order(ctx, address, 1, "drain", time.Now().Add(time.Second)); err != nil {
				return err
			}
			return fmt.Errorf("accepted by its status")
		},
		"whether it refuses": func(ctx context.Context, address string) error {
			client.Refuses(ctx, address)
			client.Accepts(ctx, address)
			return fmt.Errorf("its answer is not read")
		},
		"load": func(ctx context.Context, address string) error {
			_, err := watcher.fetch(ctx, address)
			return err
		},
	}
	for _, b := range append(testendless.Heads(), testendless.Bodies("")...) {
		for name, read := range readers {
			t.Run(b.Name+" to "+name, func(t *testing.T) {
				address, wrote := b.Serve(t)
				ctx, cancel := context.WithTimeout(context.Background(), 2*testendless.RaceFactor*timeBound)
				defer cancel()
				begin := time.Now()
				held := testendless.Held(func() {
					if err := read(ctx, address); err == nil {
						t.Error("endless bytes are accepted")
					}
				})
				if took := time.Since(begin); took > testendless.RaceFactor*timeBound || held > heldBound {
					t.Errorf("ended after %v, %d bytes were held, want at most %d", took, held, heldBound)
				}
				if n, most := wrote(), bytesBound*(1+b.Framing); n > most {
					t.Errorf("%d bytes were taken, want at most %d", n, most)
				}
			})
		}
	}
}

// TestStreamThatAddsNothingEnds guards against an engine that holds a call without end, since it goes on sending what is no answer.
func TestStreamThatAddsNothingEnds(t *testing.T) {
	const stall = time.Minute
	event := func(delta string) string { return `data: {"choices":[{"delta":` + delta + `}]}` + "\n\n" }
	for name, tc := range map[string]struct {
		text string
		ends bool
	}{
		"no text":     {event(`{"role":"assistant","content":"","tool_calls":[],"refusal":null}`), true},
		"no delta":    {event("null"), true},
		"usage":       {`data: {"choices":[],"usage":{"prompt_tokens":1}}` + "\n\n", true},
		"comments":    {": still here\n\n", true},
		"text":        {event(`{"content":"a"}`), false},
		"reasoning":   {event(`{"content":"","reasoning_content":"a"}`), false},
		"a tool call": {event(`{"tool_calls":[{"index":0}]}`), false},
		"the end":     {"data: [DONE]\n\n", false},
	} {
		for late, ends := range map[time.Duration]bool{idleStalls*stall - stall: false, idleStalls * stall: tc.ends} {
			lines := bufio.NewReader(strings.NewReader(tc.text + tc.text + "data: [DONE]\n\n"))
			s := &Stream{lines: lines, watch: newStallTimer(stall, func() {}), addedAt: clock.Now().Add(-late)}
			e, err := s.Next()
			for err == nil && !e.Done {
				e, err = s.Next()
			}
			if got := errors.Is(err, ErrMalformed); got != ends || err != nil && !got {
				t.Errorf("%s: %v after the last addition, the stream ended with %v", name, late, err)
			}
			s.watch.timer.Stop()
		}
	}
}
