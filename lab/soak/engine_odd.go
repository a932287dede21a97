package soak

import (
	"context"
	"fmt"
	"hash/fnv"
	"io"
	"math/rand/v2"
	"net/http"
	"strconv"
	"strings"
	"sync"
	"time"

	"github.com/croftturn/croftturn/internal/pause"
)

const (
	faultOdd = "engines answer oddly"

	// usualBodyBytes and longBodyBytes are the longest bodies that requests may have; uploadBytes is the length of those that
	// an odd engine answers before it has read them: more than the kernel's buffers hold.
	usualBodyBytes = 1 << 20
	longBodyBytes  = 8 << 20
	uploadBytes    = 6 << 20

	// uploaders is how many callers send long requests at once.
	uploaders = 4
)

// oddHeads are the heads of answers that are none.
var oddHeads = []string{
	"000 Odd", "099 Odd", "600 Odd", "200 OK\r\nX Trace: a", "200 OK\r\nX-Trace : a", "200 OK\r\nX-Trace: a\r\n Content-Length: 2", "200 OK\r\nContent-Length : 2",
}

// answerOddly sends an answer that is none, or a part of one, before the body of the request has been read.
func (e *engine) answerOddly(w http.ResponseWriter, r *http.Request, id string) {
	e.ledger.recordRun(id, run{engine: e.id, hall: e.hall, team: r.Header.Get("Tenant"), at: time.Now()})
	e.ledger.recordTime(e.ledger.broken, id, time.Now())
	conn, _, err := w.(http.Hijacker).Hijack()
	if err != nil {
		return
	}
	defer conn.Close()
	h := fnv.New32a()
	h.Write([]byte(id + "/odd"))
	head, reset := oddHeads[h.Sum32()%uint32(len(oddHeads))], h.Sum32()&(1<<16) != 0
	if reset {
		head = "200 OK"
	}
	fmt.Fprintf(conn, "HTTP/1.1 %s\r\nAttempt-Id: %s\r\nResponse-Seal: s\r\n\r\n%s", head, id, e.partOf(r, id))
	time.Sleep(time.Duration(h.Sum32()%6) * time.Millisecond)
	if reset {
		_ = conn.(*cutConn).Conn.(interface{ SetLinger(sec int) error }).SetLinger(0) // The node may have closed it.
	}
}

// partOf returns a part of the answer to a request: the first event of a stream.
func (e *engine) partOf(r *http.Request, id string) string {
	route := strings.Split(r.URL.Path, "/")[1]
	if !isStream(route) {
		whole := expectedBody(route, id)
		return whole[:len(whole)/2]
	}
	after, _ := strconv.Atoi(r.Header.Get("Last-Event-Id")) // 0 if it is no number.
	return "v: " + e.version + "\n" + event(streamID(r), after+1)
}

// oddAnswers makes about half of the engines answer oddly, while callers send long requests too.
func oddAnswers(ctx context.Context, env *Environment, r *rand.Rand, d time.Duration) error {
	ctx, cancel := context.WithTimeout(ctx, d)
	defer cancel()
	var wg sync.WaitGroup
	for i := range uploaders {
		c := newCaller(env, fmt.Sprintf("upload-%d-%d", time.Now().UnixMicro(), i), r.Uint64())
		wg.Go(func() {
			defer c.client.CloseIdleConnections()
			for ctx.Err() == nil {
				c.upload(ctx)
				pause.For(ctx, requestInterval)
			}
		})
	}
	err := setModes(ctx, env, r, d, func() int { return modeOdd })
	wg.Wait()
	return err
}

// upload sends one long request and records its result.
func (c *caller) upload(ctx context.Context) {
	address := c.entryAddress()
	if address == "" {
		return
	}
	c.sent++
	id := fmt.Sprintf("%s-%d", c.name, c.sent)
	c.env.ledger.recordSender(id, c.env.nodeAt(address), time.Now())
	e := result{route: routes[c.rand.IntN(len(routes))], sent: time.Now()}
	e.key, e.team = c.env.randomKey(c.rand)
	ctx, cancel := context.WithTimeout(context.WithoutCancel(ctx), (requestTimeoutMs+500)*time.Millisecond)
	defer cancel()
	req, err := newRequest(ctx, address, e.route, id, e.key, id+":400", strings.Repeat("u", uploadBytes))
	if err != nil {
		c.env.ledger.recordExit(err.Error())
		return
	}
	if resp, err := c.client.Do(req); err == nil {
		body, readErr := io.ReadAll(resp.Body)
		resp.Body.Close()
		e.status, e.body, e.complete = resp.StatusCode, string(body), readErr == nil
	}
	e.ended = time.Now()
	c.env.ledger.recordResult(id, e)
}
