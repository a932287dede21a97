package placement

import (
	"math"
	"time"

	"github.com/cespare/xxhash/v2"

	"github.com/croftturn/croftturn/internal/history"
)

const (
	// peerLoadTTL is how long a peer's load report counts: two of the longest gossip intervals,
	// so that a lost datagram does not make an engine look idle.
	peerLoadTTL = 1200 * time.Millisecond

	// reportTTL is how long an engine's own report counts; after that its load has changed too
	// much.
	reportTTL = 300 * time.Millisecond

	// failureHalfLife is the half-life of an engine's failure share; about as long as engines
	// stay in trouble.
	failureHalfLife = 2 * time.Second

	// firstTokenOverhead is the time to first token apart from prompt processing: the network
	// round trip and a step or two.
	firstTokenOverhead = 30 * time.Millisecond

	// paceSmoothing is the weight of the newest request in the moving average; about the last
	// five count.
	paceSmoothing = 0.2

	// maxPaceRatio is the largest ratio that counts in interactive pools. In a replay one stream that
	// waited for a slot kept all others from its engine for seconds without this limit.
	maxPaceRatio = 4.0

	// slownessHalfLife is the half-life of the slowness of an engine that gets no new requests.
	slownessHalfLife = 3 * time.Second
)

type (
	// Engine is an engine or backend server as published by service discovery.
	Engine struct {
		ID          string
		Pool        string
		Address     string
		Hall        string
		Version     string // Version is that of the engine's software; versions are only compared for equality.
		Slots       int
		Draining    bool             // Draining engines get no new requests, except in interactive pools until LastSend.
		Spot        bool             // Spot engines may be reclaimed by the platform.
		Incarnation int64            // Incarnation distinguishes restarts: the start time by the engine's own clock; 0 if unknown.
		Since       history.Position // Since is the position of the entry that first showed this incarnation.

		ColdUntil time.Time // ColdUntil is when the engine stops being cold; zero if it is not cold.

		// LeavesAt is when a draining engine leaves, and LastSend until when requests may be sent to
		// it; both are zero if unknown or if it announced in an answer that it leaves.
		LeavesAt, LastSend time.Time

		// ServesUntil is until when a draining engine serves at least, by what its entry says and however old that was
		// when it was read; zero if unknown.
		ServesUntil time.Time
	}

	// Load is the load of an engine from one node or from all nodes.
	Load struct {
		_             struct{} `cbor:",toarray"`
		PrefillTokens int      // PrefillTokens is the number of prompt tokens still to be processed.
		InFlight      int      // InFlight is the number of requests sent and not yet completed.
		Streams       int      // Streams is how many of these are streams that long prompts would delay.
	}

	// engine is an engine with this node's state for it.
	engine struct {
		Engine

		hash      uint64 // hash of the engine's ID
		poolIndex int    // index in the pool's list

		own            Load
		calls          map[*Call]bool      // this node's requests there; nil before the first
		peers          map[string]peerLoad // nil until a peer reports load
		peerTotal      Load                // sum of the peers' loads
		peerTotalUntil time.Time           // when peerTotal expires
		reported       report
		failures       failures
		pace           pace
		prefill        prefillSpeed
		link           link
		slowdown       slowdown
		lastGap        time.Duration // newest pause of a stream of this node there
		lastGapAt      time.Time     // when it ended
		recent         recentPrefill // kept in interactive pools only
		owner          setOwner

		// lastData is when data last arrived from the engine, or when the first of this node's
		// current requests was sent.
		lastData time.Time

		downAt time.Time // downAt is when this node last saw that nothing listens at the engine's address

		// brokenAt is when the engine last broke a connection or could not be connected to, for this node or a peer,
		// and answeredAt when it last began an answer to this node.
		brokenAt, answeredAt time.Time

		share    slotShare // slots of this node while the engine is brittle
		lending  lending
		starting int // requests that are about to be sent while the engine is brittle

		cold         coldPacing
		nextColdSend time.Time // nextColdSend is when this node may next send a request to the engine while it is cold.
	}

	// peerLoad is one peer's reported load at an engine.
	peerLoad struct {
		Load
		at time.Time
	}

	// pace compares the time to first token with what was expected.
	pace struct {
		ratio float64 // moving average; 0 before the first request
		at    time.Time
	}

	// report is the load that the engine reported with a response.
	report struct {
		running, waiting int
		at               time.Time
	}

	// failures tracks the recent share of failed requests with exponential decay.
	failures struct {
		failed, ended float64
		at            time.Time
	}
)

// add returns the sum of two loads.
func (l Load) add(o Load) Load {
	return Load{PrefillTokens: l.PrefillTokens + o.PrefillTokens, InFlight: l.InFlight + o.InFlight, Streams: l.Streams + o.Streams}
}

// newEngine returns an engine without any history.
func newEngine(e Engine) *engine {
	return &engine{Engine: e, hash: xxhash.Sum64String(e.ID)}
}

// load returns the engine's load from this node and its peers.
func (e *engine) load(now time.Time) Load {
	if now.After(e.peerTotalUntil) {
		e.sumPeers(now)
	}
	return e.own.add(e.peerTotal)
}

// sumPeers adds up the peers' loads and removes expired ones.
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

// setPeer records a peer's load at the engine; a zero load removes the peer.
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

// waiting returns the queue length that the engine reported, or 0 if the report is too old.
func (e *engine) waiting(now time.Time) int {
	if now.Sub(e.reported.at) > reportTTL {
		return 0
	}
	return e.reported.waiting
}

// silent reports whether the engine has sent nothing for long although it has requests of this node.
func (e *engine) silent(now time.Time) bool {
	return e.own.InFlight > 0 && now.Sub(e.lastData) > silenceTimeout
}

// takesAtOnce reports whether the engine is expected to have a free slot for one more request.
func (e *engine) takesAtOnce(now time.Time) bool {
	return e.waiting(now) == 0 && (e.Slots <= 0 || e.load(now).InFlight < e.Slots)
}

// note counts a completed request.
func (f *failures) note(now time.Time, failed bool) {
	f.decay(now)
	f.ended++
	if failed {
		f.failed++
	}
}

// decay reduces the weight of older results.
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

// share returns the recent share of failed requests. The prior stands for successful requests,
// so that a single failure does not exclude an engine.
func (f *failures) share(now time.Time) float64 {
	const prior = 2
	f.decay(now)
	return f.failed / (f.ended + prior)
}

// note records a request's time to first token as a multiple of the expected time.
func (p *pace) note(now time.Time, ratio float64) {
	if p.ratio == 0 {
		p.ratio = ratio
	}
	p.ratio += paceSmoothing * (ratio - p.ratio)
	p.at = now
}

// slowness returns how much slower than the pool's median the engine is; 1 is normal. It decays
// over time, so that an engine without requests is tried again.
func (p *pace) slowness(now time.Time, usual float64) float64 {
	age := now.Sub(p.at).Seconds() / slownessHalfLife.Seconds()
	return 1 + max(0, p.ratio/usual-1)*math.Exp2(-age)
}
