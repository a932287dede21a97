// Package draws compares ways to find the prompt parts that crash engines: it plays random mixes of requests, parts, crashes
// and restarts in simulated time.
package draws

import (
	"math"
	"math/rand/v2"
	"time"
)

const (
	// maxEngines bounds the engines of a draw, and firstParts and otherParts the shared parts of its sound requests.
	maxEngines = 18
	firstParts = 3
	otherParts = 8

	// ownPart stands for a part that each request has alone, and the IDs of guilty parts begin at guiltyParts.
	ownPart     = 0
	guiltyParts = 100
)

type (
	// Judge decides which requests are sent to engines. A request is at one of the nodes, numbered from 0.
	Judge interface {
		// Nodes returns the number of nodes, and NewsDelay how long after it happened a crash is known to the node of a request.
		Nodes() int
		NewsDelay() time.Duration
		// Tick is called in each step.
		Tick(now time.Time)
		// Admit reports whether a request with some shared parts is sent, and whether as a trial.
		Admit(now time.Time, node int, ids []uint64) (send, trial bool)
		// Survives is called for a trial that has been answered for some time.
		Survives(now time.Time, node int, ids []uint64)
		// EndTrial is called when a trial has ended.
		EndTrial(now time.Time, node int, ids []uint64)
		// Crash is called for each request that an engine ran when it crashed.
		Crash(now time.Time, node int, engine string, ids []uint64)
		// Answer is called for each complete answer.
		Answer(now time.Time, node int, ids []uint64)
	}

	// Flow is a series of similar requests.
	Flow struct {
		Parts  []uint64 // Parts are the shared parts, the first one first.
		Guilty uint64   // Guilty is the part that crashes engines, 0 for none.
		Rate   float64  // Rate is in requests per second.
		Since  time.Duration
	}

	// Draw is a mix of requests and crashes.
	Draw struct {
		Flows     []Flow
		Engines   int
		DownTime  time.Duration // DownTime is how long a crashed engine stays down.
		RunTime   time.Duration // RunTime is the mean time of a run.
		WaitTime  time.Duration // WaitTime is the mean time until an engine begins to answer.
		OwnRate   float64       // OwnRate is how many engines a second crash for other reasons.
		GroupRate float64       // GroupRate is how often a second a group of engines crashes at once.
	}
)

// New draws a mix: flows of sound requests, rare and popular, and none to two flows with a part that crashes engines, each with
// other parts that sound requests may have, too.
func New(r *rand.Rand) Draw {
	rate := func() float64 { return 0.2 * math.Pow(100, r.Float64()) }
	other := func() uint64 { return 10 + r.Uint64N(otherParts) }
	d := Draw{Engines: 6 + r.IntN(maxEngines-6), DownTime: time.Duration(2+r.IntN(4)) * time.Second, RunTime: time.Duration(50+r.IntN(1000)) * time.Millisecond, WaitTime: 80 * time.Millisecond}
	for range 2 + r.IntN(6) {
		d.Flows = append(d.Flows, Flow{Parts: []uint64{1 + r.Uint64N(firstParts), []uint64{ownPart, other()}[r.IntN(2)]}, Rate: rate()})
	}
	for i := range r.IntN(3) {
		guilty, since := uint64(guiltyParts+i), time.Duration(3+r.IntN(5))*time.Second
		parts := []uint64{1 + r.Uint64N(firstParts), guilty}
		if r.IntN(3) > 0 {
			parts = append(parts, other())
		}
		if r.IntN(4) == 0 {
			parts = append(parts, ownPart)
		}
		first := parts[0]
		if r.IntN(6) == 0 {
			parts = parts[1:]
		}
		d.Flows = append(d.Flows, Flow{Parts: parts, Guilty: guilty, Rate: min(rate(), 8), Since: since})
		if r.IntN(2) == 0 { // The caller sends sound requests with the same first part, rarely or often.
			d.Flows = append(d.Flows, Flow{Parts: []uint64{first, ownPart}, Rate: rate()})
		}
	}
	if r.IntN(3) == 0 {
		d.OwnRate = 0.5 * r.Float64()
	}
	if r.IntN(3) == 0 {
		d.GroupRate = 0.1 * r.Float64()
	}
	return d
}

// NewBusy draws a mix like New, with longer runs and waits, and with further parts that crash engines, some of them in many requests.
func NewBusy(r *rand.Rand) Draw {
	d := New(r)
	d.RunTime = time.Duration(100*math.Pow(100, r.Float64())) * time.Millisecond
	d.WaitTime = time.Duration(50*math.Pow(40, r.Float64())) * time.Millisecond
	for i := range r.IntN(2) {
		guilty := uint64(guiltyParts + 10 + i)
		parts := []uint64{1 + r.Uint64N(firstParts), guilty, []uint64{ownPart, 10 + r.Uint64N(otherParts)}[r.IntN(2)]}
		r.Shuffle(len(parts), func(i, j int) { parts[i], parts[j] = parts[j], parts[i] })
		d.Flows = append(d.Flows, Flow{Parts: parts, Guilty: guilty, Rate: 0.2 * math.Pow(200, r.Float64()), Since: time.Duration(3+r.IntN(15)) * time.Second})
	}
	return d
}
