package placement

import (
	"math"
	"time"

	"github.com/cespare/xxhash/v2"
)

const (
	// peerLoadTTL is how long what a peer told of its load counts: two of the
	// rarest messages, so that a lost datagram does not make an engine look idle.
	peerLoadTTL = 1200 * time.Millisecond

	// reportTTL is how long an engine's own report counts; later its load has
	// changed by more than the report tells.
	reportTTL = 300 * time.Millisecond

	// failureHalfLife is the time in which an engine's share of failures halves
	// its weight; about the time that engines stay in trouble.
	failureHalfLife = 2 * time.Second

	// firstTokenOverhead is what a request takes besides waiting for prompts to be read: the
	// way there and back and a step or two.
	firstTokenOverhead = 30 * time.Millisecond

	// paceSmoothing is the weight of the newest request in the moving average; about
	// the last five count.
	paceSmoothing = 0.2

	// slownessHalfLife is the time in which the slowness of an engine without new
	// requests counts half.
	slownessHalfLife = 3 * time.Second
)

type (
	// Engine is an engine or backend server as service discovery shows it.
	Engine struct {
		ID           string
		Pool         string
		Address      string
		Hall         string
		Slots        int
		Draining     bool  // Draining engines get no new requests.
		Spot         bool  // Spot engines may be taken away by the platform.
		Incarnation  int64 // Born tells one incarnation of the engine from the next; it is the start by the engine's own clock; 0 where it does not say.
		SinceVersion int64 // Since is the version of the entry by which this incarnation was known first.

		ColdUntil time.Time // ColdUntil is until when the engine is cold; zero if it is not.
	}

	// Load is the work at an engine, of one node or of all.
	Load struct {
		_             struct{} `cbor:",toarray"`
		PrefillTokens int      // Unread is how many prompt tokens are still to be read.
		InFlight      int      // InFlight is how many requests are sent and not yet ended.
		Streams       int      // Streams is how many of these are streams that long prompts would make late.
	}

	// engine is an engine with what this node learned of it.
	engine struct {
		Engine

		hash      uint64 // hash is of the engine's id.
		poolIndex int    // order is the engine's place in its pool's list.

		own            Load
		calls          map[*Call]bool      // calls are this node's requests there; nil before the first.
		peers          map[string]peerLoad // peers is nil before one told of work there.
		peerTotal      Load                // others is the sum of what the peers told.
		peerTotalUntil time.Time           // othersUntil is until when it holds.
		reported       report
		failures       failures
		pace           pace
		prefill        prefillSpeed

		// lastData is when bytes last came from the engine, or when the first of this
		// node's requests there was sent.
		lastData time.Time

		cold         coldPacing
		nextColdSend time.Time // coldNext is when this node may next send a request to the engine while it is cold.
	}

	// peerLoad is what one peer told of its requests at an engine.
	peerLoad struct {
		Load
		at time.Time
	}

	// pace is how long requests waited for their first token, against what was expected.
	pace struct {
		ratio float64 // ratio is a moving average; 0 before the first request.
		at    time.Time
	}

	// report is what the engine told of itself with an answer.
	report struct {
		running, waiting int
		at               time.Time
	}

	// failures is the share of requests that failed lately, newer ones weighing more.
	failures struct {
		failed, ended float64
		at            time.Time
	}
)

// add adds another load.
func (l Load) add(o Load) Load {
	return Load{PrefillTokens: l.PrefillTokens + o.PrefillTokens, InFlight: l.InFlight + o.InFlight, Streams: l.Streams + o.Streams}
}

// newEngine returns an engine of which nothing is known yet.
func newEngine(e Engine) *engine {
	return &engine{Engine: e, hash: xxhash.Sum64String(e.ID)}
}

// load returns the work at the engine, of this node and of its peers.
func (e *engine) load(now time.Time) Load {
	if now.After(e.peerTotalUntil) {
		e.sumPeers(now)
	}
	return e.own.add(e.peerTotal)
}

// sumPeers adds up what the peers told, and forgets what is too old.
func (e *engine) sumPeers(now time.Time) {
	e.peerTotal = Load{}
	e.peerTotalUntil = now.Add(peerLoadTTL)
	for name, p := range e.peers {
		until := p.at.Add(peerLoadTTL)
		if now.After(until) {
			delete(e.peers, name)
			continue
		}
		e.peerTotal = e.peerTotal.add(p.Load)
		if until.Before(e.peerTotalUntil) {
			e.peerTotalUntil = until
		}
	}
}

// setPeer takes what a peer told of its work at the engine, which is none where it told
// of none.
func (e *engine) setPeer(now time.Time, peer string, l Load) {
	if l == (Load{}) {
		delete(e.peers, peer)
	} else {
		if e.peers == nil {
			e.peers = map[string]peerLoad{}
		}
		e.peers[peer] = peerLoad{Load: l, at: now}
	}
	e.peerTotalUntil = time.Time{}
}

// waiting returns how many requests the engine said were waiting, if it said so lately.
func (e *engine) waiting(now time.Time) int {
	if now.Sub(e.reported.at) > reportTTL {
		return 0
	}
	return e.reported.waiting
}

// note counts the end of a request.
func (f *failures) note(now time.Time, failed bool) {
	f.decay(now)
	f.ended++
	if failed {
		f.failed++
	}
}

// decay lets older ends weigh less.
func (f *failures) decay(now time.Time) {
	if f.at.IsZero() {
		f.at = now
	}
	for f.ended > 0 && now.Sub(f.at) >= failureHalfLife {
		f.failed /= 2
		f.ended /= 2
		f.at = f.at.Add(failureHalfLife)
		if f.ended < 0.1 {
			*f = failures{at: now}
		}
	}
	if f.ended == 0 {
		f.at = now
	}
}

// share returns the share of requests that failed lately; the prior stands for
// requests that succeeded, so that one failure alone does not condemn an engine.
func (f *failures) share(now time.Time) float64 {
	const prior = 2
	f.decay(now)
	return f.failed / (f.ended + prior)
}

// note takes the time to the first token of one request, and what was expected.
func (p *pace) note(now time.Time, took, expected time.Duration) {
	ratio := float64(took) / float64(expected+firstTokenOverhead)
	if p.ratio == 0 {
		p.ratio = ratio
	}
	p.ratio += paceSmoothing * (ratio - p.ratio)
	p.at = now
}

// slowness returns how much slower than usual the engine is, 1 being usual. It is
// forgotten with time, so that an engine which got no requests is tried again.
func (p *pace) slowness(now time.Time, usual float64) float64 {
	age := now.Sub(p.at).Seconds() / slownessHalfLife.Seconds()
	return 1 + max(0, p.ratio/usual-1)*math.Exp2(-age)
}
