package quarantine

import (
	"cmp"
	"log/slog"
	"maps"
	"math/rand/v2"
	"slices"
	"sync"
	"sync/atomic"
	"time"
)

const (
	// maxPartsPerRequest bounds the parts of one request that are tracked, the leading ones first.
	maxPartsPerRequest = 32

	// maxPartsPerCrash bounds the parts that are blamed for one crash. Engines run fewer than 32 requests at a time.
	maxPartsPerCrash = 32 * maxPartsPerRequest

	// partCrashTTL is how long crashes are remembered for parts that are not held. Parts may come rarely.
	partCrashTTL = time.Hour

	// pruneInterval is how often what is no longer needed is looked for.
	pruneInterval = 10 * time.Second

	// maxPartCrashes bounds the crashes that are remembered. A crash with 30 parts takes about 2 KB of heap.
	maxPartCrashes = 1024

	// maxBlames bounds the parts of all crashes together, at about 20 MB of heap.
	maxBlames = 1 << 15

	// maxRecentParts bounds the parts of recent answers in one generation, at about 0.6 MB.
	maxRecentParts = 4096

	// recentGeneration is how long answers go into one generation of two. It exceeds the time in which nodes
	// learn of a crash from each other.
	recentGeneration = 5 * time.Second
)

type (
	// Part is a shared part of the prompts of a pool's requests.
	Part struct {
		Pool string
		ID   uint64 // ID is the hash of the name that callers give the part.
	}

	// answerKey is a part and the software version of the engines that answered requests with it. An empty
	// version stands for all versions.
	answerKey struct {
		Part
		version string
	}

	// partAnswer is the latest complete answer to a request with a part.
	partAnswer struct {
		at      time.Time
		changed time.Time // changed is when this node learned something that peers may not know.
	}

	// partCrash is the crash of an engine and the parts of the requests that it ran. A part is removed once a request
	// with it is answered later.
	partCrash struct {
		pool    string
		engine  EngineRun
		at      time.Time
		parts   map[uint64]time.Time // parts holds when a request with each part was sent here after another engine had crashed under it; zero if none was.
		changed time.Time
	}

	// PartsOption configures a Parts.
	PartsOption func(*Parts)

	// EngineRun is an incarnation of an engine.
	EngineRun struct {
		ID          string
		Version     string // Version is that of its software.
		Incarnation int64  // Incarnation is 0 if it is not known; crashes of an engine are then told apart by their times.
	}

	// Parts records under which parts of prompts engines crashed, and decides which parts are held: requests with
	// them are not sent to engines. It is safe for concurrent use.
	Parts struct {
		maySendTrial func(now time.Time, name string) bool // maySendTrial reports whether it is this node's turn to send a trial.
		stagger      time.Duration                         // stagger is how much later than others this node sends a trial that any node may send.
		log          *slog.Logger

		held      atomic.Int64 // held is the number of held parts.
		suspected atomic.Int64 // suspected is the number of parts that are held or may be.

		mu       sync.Mutex
		crashes  []*partCrash          // crashes are sorted by time.
		blames   int                   // blames is the number of parts of all crashes together.
		index    map[Part][]*partCrash // index holds the crashes that each part is blamed for, sorted by time.
		repeated map[Part]bool         // repeated holds the parts with enough crashes to be suspects.
		answers  map[answerKey]*partAnswer
		recent   [2]map[answerKey]time.Time // recent holds the latest answers to all parts, the younger generation first.
		rotateAt time.Time
		prunedAt time.Time
		trials   map[Part]*partTrial
		suspects map[Part]*suspect // suspects is the result of the latest judgement.
		judged   bool              // judged is set if suspects is up to date.
		seenHere map[Part]bool     // seenHere holds the parts of which this node itself saw a crash or an answer; only such nodes update the stored rows.
		unsaved  map[Part]bool     // unsaved holds the parts whose rows may be out of date.
		wake     chan struct{}     // wake wakes the Persister when there are unsaved parts.
	}
)

// WithStagger sets how much later than others a node sends a trial that any node may send; by default it is random.
func WithStagger(d time.Duration) PartsOption { return func(q *Parts) { q.stagger = d } }

// NewParts returns an empty Parts. Of all nodes, the one for which maySendTrial returns true is the first to send the
// trial of a part.
func NewParts(maySendTrial func(now time.Time, name string) bool, log *slog.Logger, options ...PartsOption) *Parts {
	q := &Parts{
		maySendTrial: maySendTrial, stagger: rand.N(maxStagger), log: log, index: map[Part][]*partCrash{}, repeated: map[Part]bool{}, answers: map[answerKey]*partAnswer{}, recent: [2]map[answerKey]time.Time{{}, {}},
		trials: map[Part]*partTrial{}, suspects: map[Part]*suspect{}, judged: true, seenHere: map[Part]bool{}, unsaved: map[Part]bool{}, wake: make(chan struct{}, 1),
	}
	for _, option := range options {
		option(q)
	}
	return q
}

// RecordCrash records that an engine crashed at a time while it ran a request of a pool. resent is when the request was sent to it if
// another engine had crashed under it before, else zero. ids are the shared parts of its prompt.
func (q *Parts) RecordCrash(now, resent, at time.Time, pool string, engine EngineRun, ids []uint64) {
	ids = limitParts(ids)
	q.mu.Lock()
	defer q.mu.Unlock()
	q.addCrash(now, &partCrash{pool: pool, engine: engine, at: at}, ids, func(int) time.Time { return resent })
	for _, id := range ids {
		q.seenHere[Part{pool, id}] = true
	}
	q.judge(now)
}

// RecordAnswer records that an engine answered a request completely and did not crash. An engine never answers a request
// with a part that crashes engines, so the part is not to blame for crashes until then, at least at that version.
func (q *Parts) RecordAnswer(now time.Time, pool, version string, ids []uint64) {
	q.mu.Lock()
	defer q.mu.Unlock()
	if now.After(q.rotateAt) {
		q.recent, q.rotateAt = [2]map[answerKey]time.Time{{}, q.recent[0]}, now.Add(recentGeneration)
	}
	for _, id := range limitParts(ids) {
		key := answerKey{Part{pool, id}, version}
		if _, known := q.recent[0][key]; known || len(q.recent[0]) < maxRecentParts {
			q.recent[0][key] = now
		}
		if len(q.index[key.Part]) == 0 {
			continue
		}
		if t := q.trials[key.Part]; t != nil && t.here {
			key.version = "" // What held the part may no longer be true for any version.
		}
		q.seenHere[key.Part] = true
		q.addAnswer(now, now, key)
	}
	q.judge(now)
}

// limitParts returns the first distinct parts of a request.
func limitParts(ids []uint64) []uint64 {
	out := make([]uint64, 0, min(len(ids), maxPartsPerRequest))
	for _, id := range ids {
		if len(out) == maxPartsPerRequest {
			break
		}
		if !slices.Contains(out, id) {
			out = append(out, id)
		}
	}
	return out
}

// addCrash adds parts to the record of a crash, but for those that were answered later. The caller holds the lock.
// resent returns when the request with each of them was sent after an earlier crash.
func (q *Parts) addCrash(now time.Time, c *partCrash, ids []uint64, resent func(i int) time.Time) {
	known := q.findCrash(c)
	if known == nil {
		q.expire(now)
		c.parts, c.changed, known = map[uint64]time.Time{}, now, c
		at, _ := slices.BinarySearchFunc(q.crashes, c, comparePartCrashes)
		q.crashes = slices.Insert(q.crashes, at, c)
		q.judged = false
	}
	for i, id := range ids {
		p := Part{c.pool, id}
		if before, ok := known.parts[id]; ok {
			if resent(i).After(before) {
				known.parts[id], q.judged = resent(i), false
			}
			continue
		}
		if len(known.parts) >= maxPartsPerCrash || q.answeredSince(now, known, p) {
			continue
		}
		known.parts[id], known.changed, q.judged = resent(i), now, false
		q.blames++
		list := q.index[p]
		at, _ := slices.BinarySearchFunc(list, known, comparePartCrashes)
		q.setIndex(p, slices.Insert(list, at, known))
	}
}

// comparePartCrashes orders crashes by time and, if they came at once, by engine.
func comparePartCrashes(a, b *partCrash) int {
	return cmp.Or(a.at.Compare(b.at), cmp.Compare(a.engine.ID, b.engine.ID))
}

// findCrash returns the record of a crash that another request or node reported too, or nil.
func (q *Parts) findCrash(c *partCrash) *partCrash {
	for _, o := range slices.Backward(q.crashes) {
		if c.at.Sub(o.at) > sameCrashWindow {
			return nil
		}
		sameRun := o.engine.Incarnation == c.engine.Incarnation || o.engine.Incarnation == 0 || c.engine.Incarnation == 0
		if o.engine.ID == c.engine.ID && sameRun && o.pool == c.pool && c.at.Sub(o.at).Abs() <= sameCrashWindow {
			return o
		}
	}
	return nil
}

// answeredSince reports whether a request with a part was answered after a crash. Peers that blame the part are told.
func (q *Parts) answeredSince(now time.Time, c *partCrash, p Part) bool {
	for _, key := range []answerKey{{p, c.engine.Version}, {p, ""}} {
		if a := q.answers[key]; a != nil && !a.at.Before(c.at) {
			a.changed = now
			return true
		}
		for _, generation := range q.recent {
			if at, ok := generation[key]; ok && !at.Before(c.at) {
				q.answers[key] = &partAnswer{at: at, changed: now}
				return true
			}
		}
	}
	return false
}

// addAnswer records an answer to a request with a part and clears the part of the crashes before. The caller holds the lock.
func (q *Parts) addAnswer(now, at time.Time, key answerKey) {
	a := q.answers[key]
	if a == nil {
		a = &partAnswer{}
		q.answers[key] = a
	}
	if at.After(a.at) {
		a.at = at
	}
	list := q.index[key.Part]
	left := make([]*partCrash, 0, len(list))
	for _, c := range list {
		if c.at.After(a.at) || key.version != "" && c.engine.Version != key.version {
			left = append(left, c)
			continue
		}
		delete(c.parts, key.ID)
		q.blames--
	}
	if len(left) == len(list) {
		return
	}
	a.changed, q.judged = now, false
	q.setIndex(key.Part, left)
}

// setIndex sets the crashes that a part is blamed for.
func (q *Parts) setIndex(p Part, list []*partCrash) {
	if len(list) == 0 {
		delete(q.index, p)
	} else {
		q.index[p] = list
	}
	if len(list) >= heldMoments {
		q.repeated[p] = true
	} else {
		delete(q.repeated, p)
	}
}

// expire removes what is no longer needed, and the oldest crashes if there are too many. Crashes of held parts
// are kept longest. The caller holds the lock.
func (q *Parts) expire(now time.Time) {
	if now.Sub(q.prunedAt) >= pruneInterval || len(q.seenHere) > 2*maxBlames {
		q.prunedAt = now
		q.prune(now)
	}
	excess := len(q.crashes) + 1 - maxPartCrashes
	if len(q.crashes) == 0 || excess <= 0 && q.blames < maxBlames && now.Sub(q.crashes[0].at) <= partCrashTTL {
		return
	}
	q.crashes = slices.DeleteFunc(q.crashes, func(c *partCrash) bool {
		if now.Sub(c.at) <= partCrashTTL && excess <= 0 && q.blames < maxBlames || q.blamesHeld(c) && now.Sub(c.at) <= rowTTL {
			return false
		}
		excess--
		q.blames -= len(c.parts)
		q.judged = false
		for id := range c.parts {
			p := Part{c.pool, id}
			q.setIndex(p, slices.DeleteFunc(q.index[p], func(o *partCrash) bool { return o == c }))
		}
		return true
	})
}

// prune removes what was noted of parts that are not blamed any more. The caller holds the lock.
func (q *Parts) prune(now time.Time) {
	maps.DeleteFunc(q.seenHere, func(p Part, _ bool) bool { return len(q.index[p]) == 0 && q.suspects[p] == nil })
	maps.DeleteFunc(q.answers, func(_ answerKey, a *partAnswer) bool { return now.Sub(a.changed) > partCrashTTL })
	maps.DeleteFunc(q.trials, func(p Part, t *partTrial) bool { return q.suspects[p] == nil && now.Sub(t.at) > partCrashTTL })
}

// has reports whether a part is blamed for the crash.
func (c *partCrash) has(id uint64) bool {
	_, ok := c.parts[id]
	return ok
}

// blamesHeld reports whether a held part is blamed for a crash.
func (q *Parts) blamesHeld(c *partCrash) bool {
	for id := range c.parts {
		if s := q.suspects[Part{c.pool, id}]; s != nil && s.held {
			return true
		}
	}
	return false
}

// Len returns the number of held parts.
func (q *Parts) Len() int64 { return q.held.Load() }

// Suspected returns the number of parts that are held or may be.
func (q *Parts) Suspected() int64 { return q.suspected.Load() }

// Release releases a held part on all nodes, and reports whether it was held.
func (q *Parts) Release(now time.Time, id uint64) bool {
	q.mu.Lock()
	defer q.mu.Unlock()
	released := false
	for p, s := range q.suspects {
		if p.ID != id || !s.held {
			continue
		}
		released = true
		q.log.Warn("prompt part released", "part", p.String(), "pool", p.Pool, "engines", s.engineIDs())
		q.seenHere[p] = true
		q.addAnswer(now, now, answerKey{Part: p})
	}
	q.judge(now)
	return released
}
