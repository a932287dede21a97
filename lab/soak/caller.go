package soak

import (
	"context"
	"encoding/json"
	"fmt"
	"io"
	"math/rand/v2"
	"net/http"
	"strings"
	"time"
)

const (
	success         = http.StatusOK
	unauthorized    = http.StatusUnauthorized
	unavailable     = http.StatusServiceUnavailable
	tooManyRequests = http.StatusTooManyRequests

	// requestTimeoutMs is the deadline of a request, in milliseconds.
	requestTimeoutMs = 3000

	// firstParts is the number of different first parts of prompts.
	firstParts = 9

	// requestInterval is the mean time between two requests of a caller.
	requestInterval = 25 * time.Millisecond
)

// caller sends requests one after the other over keep-alive connections, to addresses that it
// resolves through the nodes.
type caller struct {
	env         *Environment
	rand        *rand.Rand
	name        string
	client      *http.Client
	entryPoints []string
	resolvedAt  time.Time
	sent        int
}

// newCaller returns a caller whose random choices depend on the seed.
func newCaller(env *Environment, name string, seed uint64) *caller {
	return &caller{env: env, name: name, rand: rand.New(rand.NewPCG(seed, 7)), client: &http.Client{Transport: &http.Transport{MaxIdleConnsPerHost: 4}}}
}

// run sends requests until the context ends.
func (c *caller) run(ctx context.Context) {
	defer c.client.CloseIdleConnections()
	for ctx.Err() == nil {
		c.sendNext(ctx)
		select {
		case <-ctx.Done():
		case <-time.After(requestInterval/2 + time.Duration(c.rand.Int64N(int64(requestInterval)))):
		}
	}
}

// sendNext sends one request and records its result.
func (c *caller) sendNext(ctx context.Context) {
	address := c.entryAddress()
	if address == "" {
		return
	}
	c.sent++
	id := fmt.Sprintf("%s-%d", c.name, c.sent)
	c.env.ledger.recordSender(id, c.env.nodeAt(address), time.Now())
	e := result{route: routes[c.rand.IntN(len(routes))], first: fmt.Sprint("a", c.rand.IntN(firstParts)), sent: time.Now()}
	e.key, e.team = c.env.randomKey(c.rand)
	ctx, cancel := context.WithTimeout(ctx, (requestTimeoutMs+500)*time.Millisecond)
	defer cancel()
	req, err := newRequest(ctx, address, e.route, id, e.key, fmt.Sprintf("%s:2500,b%d:100,%s:400", e.first, c.sent%3, id), "body of "+id)
	if err != nil {
		c.env.ledger.recordExit(err.Error())
		return
	}
	resp, err := c.client.Do(req)
	switch {
	case err != nil:
		c.resolvedAt = time.Time{} // Resolve again before the next request.
	case e.route == routeResumable && resp.StatusCode == success:
		leaveAfter := max(0, c.rand.IntN(6)-2) // Half of the callers leave after some events.
		e.status = resp.StatusCode
		e.body, e.complete = readStream(resp.Body, leaveAfter)
		resp.Body.Close()
		c.env.ledger.recordTry(streamTry{interval: interval{e.sent, time.Now()}, goesOn: e.complete || e.body != ""})
		c.takeUp(ctx, id, &e)
	default:
		body, readErr := io.ReadAll(resp.Body)
		resp.Body.Close()
		e.status, e.body, e.complete = resp.StatusCode, string(body), readErr == nil
		if e.route == routeResumable && e.status != unauthorized {
			c.env.ledger.recordTry(streamTry{interval: interval{e.sent, time.Now()}})
		}
	}
	e.ended = time.Now()
	c.env.ledger.recordResult(id, e)
}

// newRequest returns a request to a node, with its route, id, key and prompt prefix.
func newRequest(ctx context.Context, address, route, id, key, prompt, body string) (*http.Request, error) {
	req, err := http.NewRequestWithContext(ctx, http.MethodPost, "http://"+address+"/"+route+"/x", strings.NewReader(body))
	if err != nil {
		return nil, fmt.Errorf("build request: %w", err)
	}
	req.GetBody = nil // Prevents retries by the transport.
	req.Host = host
	for name, value := range map[string]string{
		"Attempt-Id": id, "Deadline-Ms": fmt.Sprint(requestTimeoutMs), "Authorization": "Bearer " + key, "Model": "m", "Token-Counts": "2900,40", "Prompt-Prefix": prompt,
	} {
		req.Header.Set(name, value)
	}
	return req, nil
}

// entryAddress returns the address of a random entry point, resolving again every two seconds;
// it is empty if none is known.
func (c *caller) entryAddress() string {
	if time.Since(c.resolvedAt) > 2*time.Second || len(c.entryPoints) == 0 {
		for range 3 {
			if list := c.resolve(c.env.randomDirectory(c.rand)); len(list) > 0 {
				c.entryPoints, c.resolvedAt = list, time.Now()
				break
			}
		}
	}
	if len(c.entryPoints) == 0 {
		return ""
	}
	return c.env.relayAddress(c.entryPoints[c.rand.IntN(len(c.entryPoints))])
}

// resolve asks one node for the entry points of the host; it returns none on failure.
func (c *caller) resolve(address string) []string {
	client := http.Client{Timeout: time.Second}
	resp, err := client.Get("http://" + address + "/-/resolve?name=" + host + "&zone=h1")
	if err != nil {
		return nil
	}
	defer resp.Body.Close()
	var body struct {
		Addresses []string `json:"addresses"`
	}
	if err := json.NewDecoder(resp.Body).Decode(&body); err != nil {
		return nil
	}
	return body.Addresses
}
