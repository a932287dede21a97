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
	success      = http.StatusOK
	unauthorized = http.StatusUnauthorized
	unavailable  = http.StatusServiceUnavailable
	tooMany      = http.StatusTooManyRequests

	// patience is how long a caller waits for a request, in milliseconds.
	patience = 3000

	// callerPause is the usual time between two requests of a caller.
	callerPause = 25 * time.Millisecond
)

// caller sends requests one after the other, over kept connections, to addresses
// that it asks the nodes for.
type caller struct {
	world   *World
	rand    *rand.Rand
	name    string
	client  *http.Client
	entries []string
	asked   time.Time
	count   int
}

// newCaller returns a caller.
func newCaller(w *World, name string, seed uint64) *caller {
	return &caller{world: w, name: name, rand: rand.New(rand.NewPCG(seed, 7)), client: &http.Client{Transport: &http.Transport{MaxIdleConnsPerHost: 4}}}
}

// run sends requests until the context ends.
func (c *caller) run(ctx context.Context) {
	defer c.client.CloseIdleConnections()
	for ctx.Err() == nil {
		c.once(ctx)
		select {
		case <-ctx.Done():
		case <-time.After(callerPause/2 + time.Duration(c.rand.Int64N(int64(callerPause)))):
		}
	}
}

// once sends one request and records how it ended.
func (c *caller) once(ctx context.Context) {
	address := c.entry()
	if address == "" {
		return
	}
	c.count++
	id := fmt.Sprintf("%s-%d", c.name, c.count)
	c.world.ledger.sentTo(id, c.world.nodeAt(address), time.Now())
	e := ending{route: routes[c.rand.IntN(len(routes))], sent: time.Now()}
	e.key, e.team = c.world.anyKey(c.rand)
	ctx, cancel := context.WithTimeout(ctx, (patience+500)*time.Millisecond)
	defer cancel()
	req, err := newRequest(ctx, address, e.route, id, e.key, fmt.Sprintf("a%d:300,%s:400", c.rand.IntN(9), id), "body of "+id)
	if err != nil {
		c.world.ledger.exited(err.Error())
		return
	}
	resp, err := c.client.Do(req)
	if err == nil {
		body, readErr := io.ReadAll(resp.Body)
		resp.Body.Close()
		e.status, e.body, e.whole = resp.StatusCode, string(body), readErr == nil
	} else {
		c.asked = time.Time{} // Another address is asked for.
	}
	e.ended = time.Now()
	c.world.ledger.ended(id, e)
}

// newRequest returns a request of a route to a node, with an id, a key and the parts of its prompt.
func newRequest(ctx context.Context, address, route, id, key, prompt, body string) (*http.Request, error) {
	req, err := http.NewRequestWithContext(ctx, http.MethodPost, "http://"+address+"/"+route+"/x", strings.NewReader(body))
	if err != nil {
		return nil, fmt.Errorf("request not built: %w", err)
	}
	req.GetBody = nil // The transport must not send it again by itself.
	req.Host = host
	for name, value := range map[string]string{
		"Attempt-Id": id, "Deadline-Ms": fmt.Sprint(patience), "Authorization": "Bearer " + key, "Model": "m", "Token-Counts": "700,40", "Prompt-Prefix": prompt,
	} {
		req.Header.Set(name, value)
	}
	return req, nil
}

// entry returns an address to use, asking a node for addresses every two seconds.
func (c *caller) entry() string {
	if time.Since(c.asked) > 2*time.Second || len(c.entries) == 0 {
		for range 3 {
			if list := c.ask(c.world.anyDirectory(c.rand)); len(list) > 0 {
				c.entries, c.asked = list, time.Now()
				break
			}
		}
	}
	if len(c.entries) == 0 {
		return ""
	}
	return c.world.wayTo(c.entries[c.rand.IntN(len(c.entries))])
}

// ask asks one node for addresses.
func (c *caller) ask(address string) []string {
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
