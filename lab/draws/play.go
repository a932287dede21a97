package draws

import (
	"fmt"
	"math/rand/v2"
	"slices"
	"time"
)

const (
	// step is the resolution of simulated time, and length how long a draw is played.
	step   = 10 * time.Millisecond
	length = 45 * time.Second

	// newsDelay is how long after it happened a crash is known to a judge that hears of all; answers are known in half of it.
	newsDelay = 150 * time.Millisecond

	// survivalTime is for how long a trial is answered until the judge is told.
	survivalTime = 2 * time.Second

	// allowedCrashes is how many engines a part may crash; contactTime later no more than maxLate requests with it may be sent, and
	// after twice that time half of the sound requests with the same first part must be, if there are minAsked.
	allowedCrashes = 5
	contactTime    = 3 * time.Second
	maxLate        = 3
	minAsked       = 20
)

type (
	// Result is how a draw ended.
	Result struct {
		Late     bool // Late is set if a part was sent too often after its crashes.
		Lost     bool // Lost is set if requests with the same first part were withheld too often then.
		Withheld int  // Withheld counts the sound requests that were withheld, of Asked.
		Asked    int
	}

	// run is a request at an engine.
	run struct {
		parts  []uint64
		guilty uint64
		shows  time.Duration // shows is when it has been answered for survivalTime.
		ends   time.Duration // ends is when it is answered, or crashes the engine.
		trial  bool
		node   int
	}

	// news is something that the judge learns.
	news struct {
		at   time.Duration
		tell func(now time.Time)
	}

	// sound is a sound request.
	sound struct {
		at   time.Duration
		sent bool
	}

	// play is the state of a draw.
	play struct {
		Draw
		rand      *rand.Rand
		judge     Judge
		news      []news
		own       uint64 // own counts the parts that requests have alone.
		runs      [][]run
		downUntil []time.Duration

		crashes map[uint64][]time.Duration // crashes holds when each guilty part crashed engines.
		sent    map[uint64][]time.Duration // sent holds when requests with it were sent.
		firsts  map[uint64]uint64          // firsts holds the first part of these requests.
		sounds  map[uint64][]sound         // sounds holds the sound requests by their first part.
		result  Result
	}
)

// start is the time at which all draws begin.
var start = time.Unix(1000, 0)

// Play plays a draw.
func (d Draw) Play(r *rand.Rand, j Judge) Result {
	p := &play{
		Draw: d, rand: r, judge: j, own: 1 << 32, runs: make([][]run, d.Engines), downUntil: make([]time.Duration, d.Engines),
		crashes: map[uint64][]time.Duration{}, sent: map[uint64][]time.Duration{}, firsts: map[uint64]uint64{}, sounds: map[uint64][]sound{},
	}
	for t := time.Duration(0); t < length; t += step {
		p.tellNews(t)
		p.judge.Tick(start.Add(t))
		p.endRuns(t)
		p.crashOthers(t)
		for _, f := range d.Flows {
			if t >= f.Since && p.happens(f.Rate) {
				p.send(t, f)
			}
		}
	}
	p.assess()
	return p.result
}

// happens reports whether something with a rate per second happens within a step.
func (p *play) happens(rate float64) bool { return p.rand.Float64() < rate*step.Seconds() }

// later makes the judge learn something after a delay.
func (p *play) later(t time.Duration, tell func(now time.Time)) {
	p.news = append(p.news, news{t, tell})
	slices.SortStableFunc(p.news, func(a, b news) int { return int(a.at - b.at) })
}

// tellNews tells the judge what it learns now.
func (p *play) tellNews(t time.Duration) {
	for len(p.news) > 0 && p.news[0].at <= t {
		n := p.news[0]
		p.news = p.news[1:]
		n.tell(start.Add(t))
	}
}

// endRuns ends the runs whose time has come: by an answer, or by the crash of the engine.
func (p *play) endRuns(t time.Duration) {
	for e := range p.runs {
		var left []run
		for _, r := range p.runs[e] {
			switch {
			case p.downUntil[e] > t: // A run before has crashed the engine.
			case r.ends > t:
				if r.trial && r.shows <= t && r.shows > t-step {
					p.judge.Survives(start.Add(t), r.node, r.parts)
				}
				left = append(left, r)
			case r.guilty != 0:
				p.crashes[r.guilty] = append(p.crashes[r.guilty], t)
				p.crash(t, e)
			default:
				p.later(t+p.judge.NewsDelay()/2, func(now time.Time) {
					p.judge.Answer(now, r.node, r.parts)
					p.endTrial(now, r)
				})
			}
		}
		if p.downUntil[e] <= t {
			p.runs[e] = left
		}
	}
}

// endTrial ends the trial that a run may be.
func (p *play) endTrial(now time.Time, r run) {
	if r.trial {
		p.judge.EndTrial(now, r.node, r.parts)
	}
}

// crash crashes an engine with all that it runs.
func (p *play) crash(t time.Duration, e int) {
	if p.downUntil[e] > t {
		return
	}
	p.downUntil[e] = t + p.DownTime
	for _, r := range p.runs[e] {
		p.later(t+time.Duration((0.5+p.rand.Float64())*float64(p.judge.NewsDelay())), func(now time.Time) {
			p.judge.Crash(now, r.node, fmt.Sprint("e", e), r.parts)
			p.endTrial(now, r)
		})
	}
	p.runs[e] = nil
}

// crashOthers crashes engines for other reasons than their requests.
func (p *play) crashOthers(t time.Duration) {
	if p.happens(p.OwnRate) {
		p.crash(t, p.rand.IntN(p.Engines))
	}
	if p.happens(p.GroupRate) {
		for _, e := range p.rand.Perm(p.Engines)[:1+p.rand.IntN(p.Engines)] {
			p.crash(t, e)
		}
	}
}

// send sends a request of a flow to an engine that is up, if there is one and the judge admits it.
func (p *play) send(t time.Duration, f Flow) {
	var up []int
	for e, until := range p.downUntil {
		if until <= t {
			up = append(up, e)
		}
	}
	if len(up) == 0 {
		return
	}
	parts := slices.Clone(f.Parts)
	for i, id := range parts {
		if id == ownPart {
			p.own++
			parts[i] = p.own
		}
	}
	node := p.rand.IntN(p.judge.Nodes())
	ok, trial := p.judge.Admit(start.Add(t), node, parts)
	if f.Guilty == 0 {
		p.result.Asked++
		if !ok {
			p.result.Withheld++
		}
		p.sounds[parts[0]] = append(p.sounds[parts[0]], sound{t, ok})
	}
	if !ok {
		return
	}
	begins := t + time.Duration(p.rand.ExpFloat64()*float64(p.WaitTime))
	r := run{parts: parts, guilty: f.Guilty, trial: trial, node: node, shows: begins + survivalTime, ends: begins + time.Duration((0.5+p.rand.Float64())*float64(p.RunTime))}
	if f.Guilty != 0 {
		r.ends = begins + time.Duration(20+p.rand.IntN(100))*time.Millisecond
		p.sent[f.Guilty] = append(p.sent[f.Guilty], t)
		p.firsts[f.Guilty] = parts[0]
	}
	e := up[p.rand.IntN(len(up))]
	p.runs[e] = append(p.runs[e], r)
}

// assess judges the judge.
func (p *play) assess() {
	for part, crashes := range p.crashes {
		last := crashes[min(len(crashes), allowedCrashes)-1]
		late, asked, sent := 0, 0, 0
		for _, at := range p.sent[part] {
			if len(crashes) >= allowedCrashes && at > last+contactTime {
				late++
			}
		}
		for _, s := range p.sounds[p.firsts[part]] {
			if s.at > last+2*contactTime {
				asked++
				if s.sent {
					sent++
				}
			}
		}
		p.result.Late = p.result.Late || late > maxLate
		p.result.Lost = p.result.Lost || asked >= minAsked && 2*sent < asked
	}
}
