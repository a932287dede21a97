package placement_test

import (
	"fmt"
	"math/rand/v2"
	"sort"
	"testing"
	"time"

	"github.com/croftturn/croftturn/internal/placement"
)

// The replayed engines: they read prompts between the tokens of streams, in
// pieces, the more urgent first, as the users describe theirs.
const (
	replayEngines = 9
	replayNodes   = 6
	replayTick    = 5 * time.Millisecond
	replayRate    = 56.9 * 5 // tokens read in a tick
	replayFor     = 20 * time.Second
	replayGossip  = 100 * time.Millisecond
	gapTicks      = 50 // a stream is late after so many ticks of nothing but reading
	eventTicks    = 55 // a stream's event comes after so many ticks where its engine reads meanwhile
)

type (
	// replayed is one request on its way.
	replayed struct {
		call   *placement.Call
		kind   int
		sent   time.Time
		unread float64
		first  time.Time
		ends   time.Time
		held   int // held counts ticks in a row in which its engine read prompts
		late   bool
	}

	// replayEngine is a model of one engine.
	replayEngine struct {
		waiting, running []*replayed
		cached           map[uint64]bool
	}

	// kindOf is a kind of request: how many a second, its prompt, its target.
	kindOf struct {
		name           string
		perSecond      float64
		roots, session int // numbers of shared first and second parts
		rootTokens     int
		sessionTokens  int
		ownTokens      int
		target, length time.Duration
		maxGap         time.Duration // maxGap is the longest pause between events that the caller bears; 0 if any
	}

	// outcome counts what became of the requests of a kind.
	outcome struct{ asked, onTime int }
)

var kinds = []kindOf{
	{"long", 25, 4, 117, 2520, 3780, 2890, 1200 * time.Millisecond, 300 * time.Millisecond, 0},
	{"brief", 15.5, 8, 109, 341, 227, 1800, 500 * time.Millisecond, 150 * time.Millisecond, 0},
	{"answer", 11.8, 8, 55, 103, 69, 543, 300 * time.Millisecond, 1600 * time.Millisecond, 250 * time.Millisecond},
}

// TestReplayedTraffic plays seeded arrivals through the placement of several nodes
// and holds bounds on what is on time and what is read twice: at the usual load,
// and with twice the long prompts.
func TestReplayedTraffic(t *testing.T) {
	tests := []struct {
		name   string
		burst  float64
		onTime map[string]float64 // the least share that is on time
		reread int                // the most thousands of shared tokens read where another engine had them
	}{
		{"usual", 1, map[string]float64{"long": 0.99, "brief": 0.99, "answer": 0.99}, 60},
		{"three times the long prompts", 3, map[string]float64{"long": 0.95, "brief": 0.95, "answer": 0.93}, 400},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			for seed := range uint64(3) {
				got, reread := replay(seed, test.burst)
				for name, least := range test.onTime {
					if share := float64(got[name].onTime) / float64(got[name].asked); share < least {
						t.Errorf("seed %d: %s on time %.3f, want %.2f", seed, name, share, least)
					}
				}
				if reread/1000 > test.reread {
					t.Errorf("seed %d: %d thousand tokens read twice, want at most %d", seed, reread/1000, test.reread)
				}
				t.Logf("seed %d: %v, %d thousand tokens read twice", seed, got, reread/1000)
			}
		})
	}
}

// replay plays one seed.
func replay(seed uint64, burst float64) (map[string]outcome, int) {
	rnd := rand.New(rand.NewPCG(seed, 5))
	engines := map[string]*replayEngine{}
	var nodes []*placement.Placement
	for range replayNodes {
		p := placement.New("hall")
		for i := range replayEngines {
			id := fmt.Sprintf("e%d", i)
			p.Set(placement.Engine{ID: id, Pool: "p", Hall: "hall", Slots: 64})
			engines[id] = &replayEngine{cached: map[uint64]bool{}}
		}
		nodes = append(nodes, p)
	}
	out := map[string]outcome{}
	reread := 0
	for now := start; now.Before(start.Add(replayFor)); now = now.Add(replayTick) {
		for k, kind := range kinds {
			rate := kind.perSecond
			if k == 0 {
				rate *= burst
			}
			if rnd.Float64() < rate*replayTick.Seconds() {
				reread += arrive(now, rnd, nodes[rnd.IntN(len(nodes))], engines, k)
			}
		}
		for _, e := range engines {
			e.step(now, out)
		}
		if now.Sub(start)%replayGossip == 0 {
			tell(now, nodes)
		}
	}
	return out, reread
}

// arrive places one request and returns the shared tokens that are read again.
func arrive(now time.Time, rnd *rand.Rand, p *placement.Placement, engines map[string]*replayEngine, k int) (reread int) {
	kind := kinds[k]
	session := rnd.IntN(kind.session)
	parts := []placement.Part{
		placement.NewPart(fmt.Sprint(kind.name, "root", session%kind.roots), kind.rootTokens),
		placement.NewPart(fmt.Sprint(kind.name, session), kind.sessionTokens),
	}
	r := placement.Request{Pool: "p", MaxGap: kind.maxGap, TokensPerEvent: 6, Prompt: placement.Prompt{
		Shared: parts, Tokens: kind.rootTokens + kind.sessionTokens + kind.ownTokens,
	}}
	c, _ := p.Choose(now, r)
	e := engines[c.Engine.ID]
	x := &replayed{call: p.Start(now, c, r), kind: k, sent: now, unread: float64(kind.ownTokens)}
	for _, part := range parts {
		if e.cached[part.ID] {
			continue
		}
		x.unread += float64(part.Tokens)
		for _, other := range engines {
			if other.cached[part.ID] {
				reread += part.Tokens
				break
			}
		}
		e.cached[part.ID] = true
	}
	e.waiting = append(e.waiting, x)
	sort.SliceStable(e.waiting, func(i, j int) bool { return e.waiting[i].kind > e.waiting[j].kind })
	return reread
}

// step lets an engine work for a tick: it reads prompts, and its streams wait
// meanwhile; a stream that waits for too long is late.
func (e *replayEngine) step(now time.Time, out map[string]outcome) {
	budget := replayRate
	reading := len(e.waiting) > 0
	for len(e.waiting) > 0 && budget > 0 {
		x := e.waiting[0]
		used := min(budget, x.unread)
		x.unread -= used
		budget -= used
		if x.unread > 0 {
			break
		}
		e.waiting = e.waiting[1:]
		x.first = now
		x.ends = now.Add(kinds[x.kind].length)
		x.call.Began(now)
		e.running = append(e.running, x)
	}
	var left []*replayed
	for _, x := range e.running {
		x.held++
		if !reading {
			x.held = 0
		}
		x.late = x.late || kinds[x.kind].maxGap > 0 && x.held > gapTicks
		if now.Before(x.ends) {
			if x.held%eventTicks == 0 {
				x.call.Heard(now)
			}
			left = append(left, x)
			continue
		}
		x.call.End(now, placement.Answered)
		kind := kinds[x.kind]
		o := out[kind.name]
		o.asked++
		if !x.late && x.first.Sub(x.sent) <= kind.target {
			o.onTime++
		}
		out[kind.name] = o
	}
	e.running = left
}

// tell lets every node tell every other of its work.
func tell(now time.Time, nodes []*placement.Placement) {
	for i, from := range nodes {
		loads, uses := from.Loads(), from.TakeUses()
		for j, to := range nodes {
			if i != j {
				to.Peer(now, fmt.Sprint(i), loads, uses)
			}
		}
	}
}
