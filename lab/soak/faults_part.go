package soak

import (
	"context"
	"fmt"
	"math/rand/v2"
	"net/http"
	"strings"
	"time"

	"github.com/croftturn/croftturn/internal/pause"
)

const (
	// crashingPart is the prefix of the parts of prompts that crash every engine that begins to answer.
	crashingPart = "bad-"

	// crashingKey is the key of the caller of such requests, which others use too.
	crashingKey = "key-0"
)

// crashingPartSeries sends requests with one part that crashes engines, of which no two are alike. Sound requests have their first part
// and key, too.
func crashingPartSeries(ctx context.Context, env *Environment, r *rand.Rand, d time.Duration) error {
	part, first, route := fmt.Sprint(crashingPart, r.Uint64()), fmt.Sprint("a", r.IntN(firstParts)), routes[r.IntN(len(routes))]
	every := 100*time.Millisecond + time.Duration(r.Int64N(int64(time.Second)))
	c := newCaller(env, part, r.Uint64())
	defer c.client.CloseIdleConnections()
	s := partSeries{part: part, first: first, key: crashingKey, interval: interval{from: time.Now()}}
	for s.to = s.from.Add(d); time.Now().Before(s.to); {
		c.resolvedAt = time.Time{} // Forces a new resolution, so that another node may get it.
		if address := c.entryAddress(); address != "" {
			id := fmt.Sprint("part-", r.Uint64())
			prompt := fmt.Sprintf("%s:2500,%s:100,b%d:100,%s:400", first, part, r.IntN(3), id)
			go c.send(ctx, address, route, id, "body of "+id, prompt)
		}
		pause.For(ctx, every)
	}
	env.ledger.recordPartSeries(s)
	return nil
}

// partOf returns the part of a request that crashes engines, or "" if it has none.
func partOf(r *http.Request) string {
	parts := strings.Split(r.Header.Get("Prompt-Prefix"), ",")
	for _, part := range parts[:len(parts)-1] {
		if id, _, _ := strings.Cut(part, ":"); strings.HasPrefix(id, crashingPart) {
			return id
		}
	}
	return ""
}

// crashOnPart begins an answer that looks complete if it has no frame, and crashes the engine.
func (e *engine) crashOnPart(w http.ResponseWriter, r *http.Request, id, part string) {
	e.ledger.recordPartArrival(part, time.Now())
	f := frameOf(id)
	stream := isStream(strings.Split(r.URL.Path, "/")[1])
	if stream && (f == frameNone || f == frameOldHTTP) {
		w.Header().Set("Response-Seal", "seal-"+id)
		w.Header().Set("Content-Type", "text/event-stream")
		f.set(w, r, 0)
		fmt.Fprint(w, "v: "+e.version+"\n"+event(streamID(r), 1))
		w.(http.Flusher).Flush()
	}
	done := make(chan struct{})
	go func() {
		defer close(done)
		e.crash(e, func(at time.Time) { e.ledger.recordPartCrash(part, at) })
	}()
	if stream {
		pause.For(r.Context(), eventInterval)
		f.cut()
		return
	}
	<-r.Context().Done()
	panic(http.ErrAbortHandler)
}
