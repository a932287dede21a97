package placement_test

import (
	"fmt"
	"math/rand/v2"
	"sort"
	"testing"
	"time"

	"github.com/croftturn/croftturn/internal/history"
	"github.com/croftturn/croftturn/internal/placement"
)

// Engines in the replay process prompts in chunks between the tokens of streams, the more urgent
// prompts first, as the users describe theirs.
const (
	replayTick   = 5 * time.Millisecond
	replayRate   = 56.9 * 5 // tokens processed in a tick
	replayGossip = 100 * time.Millisecond
	slowStep     = 7  // ticks of a step in which the engine processes a prompt chunk
	eventTicks   = 55 // ticks between a stream's events while its engine processes prompts
)

type (
	// replayed is one request in flight.
	replayed struct {
		call      *placement.Call
		kind      *requestKind
		order     int // prefill priority, the highest first
		sent      time.Time
		unread    float64
		first     time.Time
		ends      time.Time
		heldTicks int     // consecutive ticks in which its engine processed prompts, or ticks since the last event
		step      float64 // progress towards its next event, in steps
		late      bool
	}

	// replayEngine simulates one engine.
	replayEngine struct {
		waiting, running []*replayed
		cached           map[uint64]bool
	}

	// requestKind is a kind of request: its rate, prompt and latency target.
	requestKind struct {
		name           string
		perSecond      float64
		roots, session int // number of distinct shared first and second parts
		rootTokens     int
		sessionTokens  int
		ownTokens      int
		target, length time.Duration
		maxGap         time.Duration // longest gap between events that the caller accepts; 0 if any

		// eventSteps is the number of engine steps per event, each a tick, or slowStep ticks
		// while the engine processes prompts. With 0 an event comes every eventTicks, and a gap
		// consists of prompt processing only.
		eventSteps int
	}

	// traffic describes a replay: the requests and the engines that serve them.
	traffic struct {
		engines, nodes int
		seconds        int
		burst          float64 // factor on the rate of the first kind
		kinds          []requestKind
	}

	// outcome counts the requests of a kind and those on time.
	outcome struct{ asked, onTime int }
)

var (
	fewEngines = []requestKind{
		{"long", 25, 4, 117, 2520, 3780, 2890, 1200 * time.Millisecond, 300 * time.Millisecond, 0, 0},
		{"brief", 15.5, 8, 109, 341, 227, 1800, 500 * time.Millisecond, 150 * time.Millisecond, 0, 0},
		{"answer", 11.8, 8, 55, 103, 69, 543, 300 * time.Millisecond, 1600 * time.Millisecond, 250 * time.Millisecond, 0},
	}

	// briefBesideLong has short answers of an event or two beside answers of twenty, and more
	// prompt tokens than fit between the events of the latter if both share the same engines.
	briefBesideLong = []requestKind{
		{"long", 70, 4, 260, 2520, 3780, 2890, 1500 * time.Millisecond, 150 * time.Millisecond, 0, 0},
		{"brief", 50, 32, 240, 341, 227, 1800, 500 * time.Millisecond, 100 * time.Millisecond, 600 * time.Millisecond, 12},
		{"answer", 20, 32, 100, 103, 69, 543, 300 * time.Millisecond, 1600 * time.Millisecond, 400 * time.Millisecond, 12},
	}

	// manyEngines has so many short stream prompts that they are a fifth of all prompt tokens.
	manyEngines = []requestKind{
		{"long", 150, 4, 780, 2520, 3780, 2890, 1500 * time.Millisecond, 150 * time.Millisecond, 0, 0},
		{"brief", 93, 32, 720, 341, 227, 1800, 500 * time.Millisecond, 100 * time.Millisecond, 600 * time.Millisecond, 12},
		{"answer", 57, 32, 300, 103, 69, 543, 300 * time.Millisecond, 1600 * time.Millisecond, 400 * time.Millisecond, 12},
	}
)

// events returns the number of events of an answer if its engine processes no prompts.
func (k *requestKind) events() int {
	return int(k.length / (replayTick * time.Duration(max(1, k.eventSteps))))
}

// TestReplayedTraffic replays seeded arrivals through several nodes and checks bounds on the
// share of requests on time and on tokens processed twice: at the usual load, with three times
// the long prompts, with short answers beside long ones, and with many engines, where streams
// need as many as their own prompts keep busy.
func TestReplayedTraffic(t *testing.T) {
	tests := []struct {
		name   string
		played traffic
		onTime map[string]float64 // minimum share on time
		reread int                // maximum number of shared tokens, in thousands, processed although another engine had them cached
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
					t.Errorf("seed %d: %d thousand tokens processed twice, want at most %d", seed, reread/1000, test.reread)
				}
				t.Logf("seed %d: %v, %d thousand tokens processed twice", seed, got, reread/1000)
			}
		})
	}
}

// replay runs one seed.
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

// arrive places one request of a kind and returns the shared tokens that are processed again.
// Engines process prompts of a higher order first.
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

// step advances an engine by a tick: it processes prompts while its streams wait. A stream that
// waits too long is late.
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

// advance advances a running stream by a tick; reading tells whether its engine processes
// prompts meanwhile.
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

// gossip sends every node's load to every other node.
func gossip(now time.Time, nodes []*placement.Placement) {
	for i, from := range nodes {
		loads, uses, slowed := from.Loads(), from.TakeUses(), from.Slowdowns(now)
		for j, to := range nodes {
			if i != j {
				to.UpdatePeer(now, fmt.Sprint(i), history.Position{}, loads, uses)
				to.UpdateSlowdowns(now, history.Position{}, slowed)
			}
		}
	}
}
