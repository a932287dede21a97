package soak

import (
	"context"
	"encoding/json"
	"fmt"
	"io"
	"math/rand/v2"
	"net/http"
	"slices"
	"strconv"
	"strings"
	"sync"
	"testing"
	"time"

	"github.com/croftturn/croftturn/internal/pause"
)

const (
	// rollNodes are stopped rollStep apart, so that several stop at any time.
	rollNodes = 9
	rollStep  = 700 * time.Millisecond

	// rollCallers is how many callers of each kind there are. Each sends a request at most rollTries times.
	rollCallers = 12
	rollTries   = 5

	// rollLongShare is the inverse of the share of requests that run for a second or more.
	rollLongShare = 20
)

// rollDeadlines are the deadlines of requests, the last one the timeout of their routes.
var rollDeadlines = []time.Duration{3 * time.Second, 6 * time.Second, 15 * time.Second}

type (
	// roll stops and starts all nodes one after the other while callers send requests.
	roll struct {
		env   *Environment
		mu    sync.Mutex
		ready map[string]time.Time // ready holds when each node was seen ready last.
		met   map[bool]*rollCost   // met holds what callers met, by whether they stay with their node.
	}

	// rollCost is what callers met.
	rollCost struct {
		asked, served   int
		refused, needed int             // refused counts refusals of stopping nodes, needed those while no other node was ready.
		again, longest  int             // again counts refusals of a request by a node that had refused it, longest is the most of one request.
		waits           []time.Duration // waits holds the times from the first refusal of a request to its answer.
	}

	// rollCaller sends requests one after the other. One that stays keeps its node until that refuses it, and uses what
	// the directory said for three times as long as it should.
	rollCaller struct {
		*roll
		stays      bool
		name       string
		rand       *rand.Rand
		client     *http.Client
		addresses  []string
		validUntil time.Time
		address    string          // address is that of the node in use.
		left       map[string]bool // left holds the addresses that refused or failed the caller since it asked the directory.
	}
)

// lookUp asks nodes for addresses, up to three.
func (c *rollCaller) lookUp(ctx context.Context) {
	for range 3 {
		client := http.Client{Timeout: time.Second, Transport: &http.Transport{DisableKeepAlives: true}}
		resp, err := client.Get("http://" + c.env.randomDirectory(c.rand) + "/-/resolve?name=" + host + "&zone=" + hallOf(c.rand.IntN(halls)))
		if err != nil {
			continue
		}
		var body struct {
			Addresses []string `json:"addresses"`
			TTL       float64  `json:"ttl_s"`
		}
		err = json.NewDecoder(resp.Body).Decode(&body)
		resp.Body.Close()
		if err != nil || len(body.Addresses) == 0 {
			continue
		}
		ttl := time.Duration(body.TTL * float64(time.Second))
		if c.stays {
			ttl *= 3
		}
		c.addresses, c.validUntil, c.left = body.Addresses, time.Now().Add(ttl), map[string]bool{}
		return
	}
	pause.For(ctx, 20*time.Millisecond)
}

// choose chooses the node for the next try.
func (c *rollCaller) choose(ctx context.Context) {
	if !time.Now().Before(c.validUntil) && (!c.stays || c.address == "") {
		if c.lookUp(ctx); !slices.Contains(c.addresses, c.address) {
			c.leave()
		}
	}
	if c.address != "" || len(c.addresses) == 0 {
		return
	}
	usable := slices.DeleteFunc(slices.Clone(c.addresses), func(a string) bool { return c.left[a] })
	if len(usable) == 0 {
		usable = c.addresses
	}
	c.address = usable[c.rand.IntN(len(usable))]
}

// leave makes the caller choose another node next.
func (c *rollCaller) leave() {
	c.client.CloseIdleConnections()
	c.address = ""
}

// send sends one request until it has an answer or is given up, and adds what it met.
func (c *rollCaller) send(ctx context.Context, name string) {
	route, deadline := routes[c.rand.IntN(len(routes))], rollDeadlines[c.rand.IntN(len(rollDeadlines))]
	work := 10*time.Millisecond + time.Duration(c.rand.Int64N(int64(longestShort)))
	if c.rand.IntN(rollLongShare) == 0 {
		work += time.Second
	}
	end, refusals := time.Now().Add(deadline), map[string]int{}
	var cost rollCost
	var first time.Time
	for try := 0; try < rollTries && time.Now().Before(end); try++ {
		if c.choose(ctx); c.address == "" {
			continue
		}
		id := fmt.Sprint(name, "-", try)
		req, err := newRequest(ctx, c.address, fmt.Sprintf("%s/%d", route, work.Milliseconds()), id, "key-1", id+":100", "body of "+id)
		if err != nil {
			break
		}
		req.Header.Set("Deadline-Ms", strconv.Itoa(int(time.Until(end).Milliseconds())))
		resp, err := c.client.Do(req)
		if err != nil {
			c.left[c.address] = true
			c.leave()
			continue
		}
		body, err := io.ReadAll(resp.Body)
		resp.Body.Close()
		now := time.Now()
		if err == nil && resp.StatusCode == success {
			if cost.served = 1; !first.IsZero() {
				cost.waits = append(cost.waits, now.Sub(first))
			}
			break
		}
		if err != nil || resp.StatusCode != unavailable {
			break // It may have run.
		}
		if strings.Contains(string(body), "node_stopping") {
			cost.refused++
			if cost.refused == 1 {
				first = now
			}
			if refusals[c.address]++; refusals[c.address] > 1 {
				cost.again++
			}
			if !c.otherReady(now, c.address) {
				cost.needed++
			}
		}
		c.left[c.address] = true
		c.leave()
		seconds, _ := strconv.ParseFloat(resp.Header.Get("Retry-After"), 64) // Without one it comes back at once.
		pause.For(ctx, min(time.Duration(seconds*float64(time.Second)), time.Until(end)/3))
	}
	if ctx.Err() != nil {
		return
	}
	c.mu.Lock()
	defer c.mu.Unlock()
	m := c.met[c.stays]
	m.asked++
	m.served += cost.served
	m.refused += cost.refused
	m.needed += cost.needed
	m.again += cost.again
	m.longest = max(m.longest, cost.refused)
	m.waits = append(m.waits, cost.waits...)
}

// watch records when a node is ready, until the context ends.
func (r *roll) watch(ctx context.Context, n *node) {
	client := http.Client{Timeout: time.Second}
	for ctx.Err() == nil {
		if resp, err := client.Get("http://" + n.readyAddress + "/-/ready"); err == nil {
			resp.Body.Close()
			if resp.StatusCode == success {
				r.mu.Lock()
				r.ready[n.callerAddress] = time.Now()
				r.mu.Unlock()
			}
		}
		pause.For(ctx, probeInterval)
	}
}

// otherReady reports whether another node than that with an address is ready.
func (r *roll) otherReady(now time.Time, address string) bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	for a, at := range r.ready {
		if a != address && now.Sub(at) < longestProbe {
			return true
		}
	}
	return false
}

// TestCallersAreSeldomRefusedInARoll guards against callers that are sent from one stopping node to the next while other nodes
// are ready: each may meet one refusal a stop, or two if it keeps addresses for longer than it should.
func TestCallersAreSeldomRefusedInARoll(t *testing.T) {
	seed := uint64(fromEnv("SOAK_ROLL", 2))
	env, err := start(Options{Seed: seed, Nodes: rollNodes, Engines: 16, Dir: t.TempDir(), Program: "croftturn", Timeout: rollDeadlines[len(rollDeadlines)-1]})
	if env != nil {
		t.Cleanup(env.close)
	}
	if err != nil {
		t.Fatal(err)
	}
	r := &roll{env: env, ready: map[string]time.Time{}, met: map[bool]*rollCost{false: {}, true: {}}}
	ctx, cancel := context.WithCancel(t.Context())
	var callers, stops sync.WaitGroup
	for _, n := range env.nodes {
		env.expectExit(n)
		callers.Go(func() { r.watch(ctx, n) })
	}
	for i := range 2 * rollCallers {
		callers.Go(func() {
			c := rollCaller{roll: r, stays: i%2 == 1, name: fmt.Sprint("roll-", i), rand: rand.New(rand.NewPCG(seed, uint64(i))), client: &http.Client{Transport: &http.Transport{}}, left: map[string]bool{}}
			defer c.client.CloseIdleConnections()
			for number := 0; ctx.Err() == nil; number++ {
				c.send(ctx, fmt.Sprint(c.name, "-", number))
				pause.For(ctx, requestInterval/2+time.Duration(c.rand.Int64N(int64(requestInterval))))
			}
		})
	}
	time.Sleep(2 * standstill)
	for _, n := range env.nodes {
		stops.Go(func() {
			if err := n.Stop(stopGrace); err != nil {
				t.Log(err) // Other tests check that it ends in time.
				n.Kill()
			}
			if err := env.launch(n); err != nil {
				t.Error(err)
			}
		})
		time.Sleep(rollStep)
	}
	stops.Wait()
	time.Sleep(standstill)
	cancel()
	callers.Wait()
	for stays, m := range r.met {
		slices.Sort(m.waits)
		t.Logf("callers that stay %v: %d of %d requests served, %d refusals, %d while no other node was ready, %d by a node that had refused the request, %d of one request at most, times until the answer %v", stays, m.served, m.asked, m.refused, m.needed, m.again, m.longest, m.waits)
		most := rollCallers * rollNodes
		if stays {
			most *= 2
		}
		if avoidable := m.refused - m.needed; avoidable > most {
			t.Errorf("%d callers (staying: %v) were refused %d times at %d stops while another node was ready, %d allowed", rollCallers, stays, avoidable, rollNodes, most)
		}
	}
}
