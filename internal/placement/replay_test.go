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
	replayTick   = 5 * time.Millisecond
	replayRate   = 56.9 * 5 // tokens read in a tick
	replayGossip = 100 * time.Millisecond
	slowStep     = 7  // slowStep is how many ticks a step takes in which an engine reads a piece of a prompt.
	eventTicks   = 55 // a stream's event comes after so many ticks where its engine reads meanwhile
)

type (
	// replayed is one request on its way.
	replayed struct {
		call      *placement.Call
		kind      *requestKind
		order     int // order is that in which engines read prompts, the highest first.
		sent      time.Time
		unread    float64
		first     time.Time
		ends      time.Time
		heldTicks int     // held counts ticks in a row in which its engine read prompts, or since the last event
		step      float64 // step is how far it is with the steps of its next event
		late      bool
	}

	// replayEngine is a model of one engine.
	replayEngine struct {
		waiting, running []*replayed
		cached           map[uint64]bool
	}

	// requestKind is a kind of request: how many a second, its prompt, its target.
	requestKind struct {
		name           string
		perSecond      float64
		roots, session int // numbers of shared first and second parts
		rootTokens     int
		sessionTokens  int
		ownTokens      int
		target, length time.Duration
		maxGap         time.Duration // maxGap is the longest pause between events that the caller bears; 0 if any

		// eventSteps is how many steps of the engine an event takes, each a tick, or
		// slowStep of them where it reads prompts meanwhile. With 0 an event comes each
		// eventTicks, and a pause is a time of nothing but reading.
		eventSteps int
	}

	// traffic is what is played: the requests, and who serves them.
	traffic struct {
		engines, nodes int
		seconds        int
		burst          float64 // burst is how many times as many there are of the first kind.
		kinds          []requestKind
	}

	// outcome counts what became of the requests of a kind.
	outcome struct{ asked, onTime int }
)

var (
	fewEngines = []requestKind{
		{"long", 25, 4, 117, 2520, 3780, 2890, 1200 * time.Millisecond, 300 * time.Millisecond, 0, 0},
		{"brief", 15.5, 8, 109, 341, 227, 1800, 500 * time.Millisecond, 150 * time.Millisecond, 0, 0},
		{"answer", 11.8, 8, 55, 103, 69, 543, 300 * time.Millisecond, 1600 * time.Millisecond, 250 * time.Millisecond, 0},
	}

	// briefBesideLong has short answers of an event or two beside answers of twenty, and more
	// to read than fits between the latter where both gather on the same engines.
	briefBesideLong = []requestKind{
		{"long", 70, 4, 260, 2520, 3780, 2890, 1500 * time.Millisecond, 150 * time.Millisecond, 0, 0},
		{"brief", 50, 32, 240, 341, 227, 1800, 500 * time.Millisecond, 100 * time.Millisecond, 600 * time.Millisecond, 12},
		{"answer", 20, 32, 100, 103, 69, 543, 300 * time.Millisecond, 1600 * time.Millisecond, 400 * time.Millisecond, 12},
	}

	// manyEngines has so many short prompts of streams that they are a fifth of what is read.
	manyEngines = []requestKind{
		{"long", 150, 4, 780, 2520, 3780, 2890, 1500 * time.Millisecond, 150 * time.Millisecond, 0, 0},
		{"brief", 93, 32, 720, 341, 227, 1800, 500 * time.Millisecond, 100 * time.Millisecond, 600 * time.Millisecond, 12},
		{"answer", 57, 32, 300, 103, 69, 543, 300 * time.Millisecond, 1600 * time.Millisecond, 400 * time.Millisecond, 12},
	}
)

// events returns how many events an answer has while its engine reads nothing.
func (k *requestKind) events() int {
	return int(k.length / (replayTick * time.Duration(max(1, k.eventSteps))))
}

// TestReplayedTraffic plays seeded arrivals through the placement of several nodes
// and holds bounds on what is on time and what is read twice: at the usual load,
// with three times the long prompts, and with many engines, of which streams need as many
// as their own prompts keep busy.
func TestReplayedTraffic(t *testing.T) {
	tests := []struct {
		name   string
		played traffic
		onTime map[string]float64 // the least share that is on time
		reread int                // the most thousands of shared tokens read where another engine had them
	}{
		{"usual", traffic{9, 6, 20, 1, fewEngines}, map[string]float64{"long": 0.99, "brief": 0.99, "answer": 0.99}, 60},
		{"three times the long prompts", traffic{9, 6, 20, 3, fewEngines}, map[string]float64{"long": 0.95, "brief": 0.95, "answer": 0.93}, 400},
		{"short answers beside long ones", traffic{15, 15, 12, 1, briefBesideLong}, map[string]float64{"long": 0.95, "brief": 0.95, "answer": 0.95}, 2000},
		{"many engines", traffic{60, 15, 8, 1, manyEngines}, map[string]float64{"long": 0.95, "brief": 0.95, "answer": 0.95}, 2000},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			for seed := range uint64(3) {
				got, reread := test.played.replay(seed)
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
func (t *traffic) replay(seed uint64) (map[string]outcome, int) {
	rnd := rand.New(rand.NewPCG(seed, 5))
	engines := map[string]*replayEngine{}
	var nodes []*placement.Placement
	for range t.nodes {
		p := placement.New("hall")
		for i := range t.engines {
			id := fmt.Sprintf("e%d", i)
			p.Set(placement.Engine{ID: id, Pool: "p", Hall: "hall", Slots: 64})
			engines[id] = &replayEngine{cached: map[uint64]bool{}}
		}
		nodes = append(nodes, p)
	}
	out := map[string]outcome{}
	reread := 0
	for now := start; now.Before(start.Add(time.Duration(t.seconds) * time.Second)); now = now.Add(replayTick) {
		for k := range t.kinds {
			kind := &t.kinds[k]
			rate := kind.perSecond
			if k == 0 {
				rate *= t.burst
			}
			if rnd.Float64() < rate*replayTick.Seconds() {
				reread += arrive(now, rnd, nodes[rnd.IntN(len(nodes))], engines, kind, k)
			}
		}
		for _, e := range engines {
			e.step(now, out)
		}
		if now.Sub(start)%replayGossip == 0 {
			gossip(now, nodes)
		}
	}
	return out, reread
}

// arrive places one request of a kind and returns the shared tokens that are read again.
// Engines read those of a higher order first.
func arrive(now time.Time, rnd *rand.Rand, p *placement.Placement, engines map[string]*replayEngine, kind *requestKind, order int) (reread int) {
	session := rnd.IntN(kind.session)
	parts := []placement.Part{
		placement.NewPart(fmt.Sprint(kind.name, "root", session%kind.roots), kind.rootTokens),
		placement.NewPart(fmt.Sprint(kind.name, session), kind.sessionTokens),
	}
	r := placement.Request{Pool: "p", MaxGap: kind.maxGap, TokensPerEvent: max(6, kind.eventSteps), Events: kind.events(), Prompt: placement.Prompt{
		Shared: parts, Tokens: kind.rootTokens + kind.sessionTokens + kind.ownTokens,
	}}
	c, _ := p.Choose(now, r)
	e := engines[c.Engine.ID]
	x := &replayed{call: p.Start(now, c, r), kind: kind, order: order, sent: now, unread: float64(kind.ownTokens)}
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
	sort.SliceStable(e.waiting, func(i, j int) bool { return e.waiting[i].order > e.waiting[j].order })
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
		x.ends = now.Add(x.kind.length)
		x.call.Began(now)
		e.running = append(e.running, x)
	}
	var left []*replayed
	for _, x := range e.running {
		x.advance(now, reading)
		if now.Before(x.ends) {
			left = append(left, x)
			continue
		}
		x.call.End(now, placement.Answered)
		o := out[x.kind.name]
		o.asked++
		if !x.late && x.first.Sub(x.sent) <= x.kind.target {
			o.onTime++
		}
		out[x.kind.name] = o
	}
	e.running = left
}

// advance lets a running stream go on for a tick, in which its engine reads prompts or not.
func (x *replayed) advance(now time.Time, reading bool) {
	x.heldTicks++
	event := x.heldTicks%eventTicks == 0
	if x.kind.eventSteps > 0 {
		x.step += 1.0 / slowStep
		if !reading {
			x.step += 1 - 1.0/slowStep
		}
		event = x.step >= float64(x.kind.eventSteps)
	} else if !reading {
		x.heldTicks = 0
		event = true
	}
	x.late = x.late || x.kind.maxGap > 0 && x.heldTicks > int(x.kind.maxGap/replayTick)
	if event && now.Before(x.ends) {
		x.call.Received(now)
	}
	if event && x.kind.eventSteps > 0 {
		x.step, x.heldTicks = 0, 0
	}
}

// gossip lets every node gossip every other of its work.
func gossip(now time.Time, nodes []*placement.Placement) {
	for i, from := range nodes {
		loads, uses := from.Loads(), from.TakeUses()
		for j, to := range nodes {
			if i != j {
				to.UpdatePeer(now, fmt.Sprint(i), 0, loads, uses)
			}
		}
	}
}
