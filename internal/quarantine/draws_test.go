package quarantine_test

import (
	"fmt"
	"log/slog"
	"math"
	"math/rand/v2"
	"os"
	"slices"
	"strconv"
	"testing"
	"time"

	"github.com/croftturn/croftturn/internal/quarantine"
)

// The draws below compare ways to find the parts that crash engines: random mixes of requests, parts, crashes and
// restarts in simulated time.

const (
	drawStep     = 10 * time.Millisecond
	drawTime     = 45 * time.Second
	drawDelay    = 150 * time.Millisecond // drawDelay is the time until a crash or an answer is known everywhere.
	drawContact  = 3 * time.Second
	drawCrashes  = 5 // drawCrashes is how many crashes of a part are allowed, and maxDrawLate how many sends long after them.
	maxDrawLate  = 3
	minDrawAsked = 20
)

type (
	// judge decides which requests are sent.
	judge interface {
		admit(now time.Time, ids []uint64) (send, trial bool)
		endTrial(now time.Time, ids []uint64)
		crash(now time.Time, engine string, ids []uint64)
		answer(now time.Time, ids []uint64)
	}

	// drawFlow is a series of similar requests.
	drawFlow struct {
		ids    []uint64 // ids are the shared parts; 0 stands for one of its own.
		guilty uint64   // guilty is the part that crashes engines, 0 for none.
		rate   float64  // rate is in requests per second.
		since  time.Duration
	}

	// drawRun is a request at an engine.
	drawRun struct {
		ids    []uint64
		guilty uint64
		begins time.Duration
		ends   time.Duration
		trial  bool
	}

	// drawResult is how a draw ended.
	drawResult struct {
		late        bool // late is set if a part reached engines too often after its fifth crash.
		lost        bool // lost is set if requests with the same first part were served too rarely then.
		falseHolds  int  // falseHolds counts sound requests that were withheld.
		asked       int
		guiltySent  int
		guiltyCount int
	}

	// draw is a mix of requests and crashes.
	draw struct {
		flows     []drawFlow
		engines   int
		downTime  time.Duration
		runTime   time.Duration
		ownRate   float64 // ownRate is how many engines a second crash for other reasons.
		groupRate float64 // groupRate is how often a second a group of engines crashes at once.
	}

	// partsJudge is the product's.
	partsJudge struct{ *quarantine.Parts }

	// countJudge holds each part with three crashes since its last answer.
	countJudge struct{ n map[uint64]int }

	// likelihoodJudge holds a part if its crashes are far less likely at the rate at which all requests meet crashes.
	likelihoodJudge struct {
		n             map[uint64]int
		hits, answers float64
	}
)

func newPartsJudge() judge {
	return partsJudge{quarantine.NewParts(func(time.Time, string) bool { return true }, slog.New(slog.DiscardHandler))}
}

func (j partsJudge) admit(now time.Time, ids []uint64) (send, trial bool) {
	d := j.Admit(now, time.Time{}, "p", ids)
	return d.Held == nil, d.Trial
}
func (j partsJudge) endTrial(now time.Time, ids []uint64) { j.EndTrial(now, "p", ids, false) }
func (j partsJudge) crash(now time.Time, engine string, ids []uint64) {
	j.RecordCrash(now, time.Time{}, now, "p", run(engine), ids)
}
func (j partsJudge) answer(now time.Time, ids []uint64) { j.RecordAnswer(now, "p", "1", ids) }

func (j *countJudge) admit(_ time.Time, ids []uint64) (send, trial bool) {
	return !slices.ContainsFunc(ids, func(id uint64) bool { return j.n[id] >= 3 }), false
}
func (j *countJudge) endTrial(time.Time, []uint64) {}
func (j *countJudge) crash(_ time.Time, _ string, ids []uint64) {
	for _, id := range ids {
		j.n[id]++
	}
}
func (j *countJudge) answer(_ time.Time, ids []uint64) {
	for _, id := range ids {
		delete(j.n, id)
	}
}

func (j *likelihoodJudge) admit(_ time.Time, ids []uint64) (send, trial bool) {
	rate := (j.hits + 1) / (j.hits + j.answers + 20)
	return !slices.ContainsFunc(ids, func(id uint64) bool { return j.n[id] >= 2 && math.Pow(rate, float64(j.n[id])) < 1e-4 }), false
}
func (j *likelihoodJudge) endTrial(time.Time, []uint64) {}
func (j *likelihoodJudge) crash(_ time.Time, _ string, ids []uint64) {
	j.hits++
	for _, id := range ids {
		j.n[id]++
	}
}
func (j *likelihoodJudge) answer(_ time.Time, ids []uint64) {
	j.answers++
	for _, id := range ids {
		delete(j.n, id)
	}
}

// newDraw draws a mix. Parts 1 to 3 are first parts, 10 to 17 others, and 100 and 101 crash engines.
func newDraw(r *rand.Rand) draw {
	rate := func() float64 { return 0.2 * math.Pow(100, r.Float64()) }
	d := draw{engines: 6 + r.IntN(12), downTime: time.Duration(2+r.IntN(4)) * time.Second, runTime: time.Duration(50+r.IntN(1000)) * time.Millisecond}
	for range 2 + r.IntN(6) {
		d.flows = append(d.flows, drawFlow{ids: []uint64{1 + r.Uint64N(3), []uint64{0, 10 + r.Uint64N(8)}[r.IntN(2)]}, rate: rate()})
	}
	for i := range r.IntN(3) {
		bad, since := uint64(100+i), time.Duration(3+r.IntN(5))*time.Second
		ids := []uint64{1 + r.Uint64N(3), bad}
		if r.IntN(3) > 0 {
			ids = append(ids, 10+r.Uint64N(8))
		}
		if r.IntN(4) == 0 {
			ids = append(ids, 0)
		}
		if r.IntN(6) == 0 {
			ids = ids[1:]
		}
		f := drawFlow{ids: ids, guilty: bad, rate: min(rate(), 8), since: since}
		d.flows = append(d.flows, f)
		if r.IntN(2) == 0 { // The caller sends sound requests with the same first part, rarely or often.
			d.flows = append(d.flows, drawFlow{ids: []uint64{ids[0], 0}, rate: rate()})
		}
	}
	if r.IntN(3) == 0 {
		d.ownRate = 0.5 * r.Float64()
	}
	if r.IntN(3) == 0 {
		d.groupRate = 0.1 * r.Float64()
	}
	for i := range d.flows {
		if f := &d.flows[i]; f.guilty == 0 && f.ids[0] >= 100 {
			f.ids[0] = 1
		}
	}
	return d
}

// play plays a draw against a judge.
func (d draw) play(r *rand.Rand, j judge) drawResult {
	type event struct {
		at time.Duration
		do func(now time.Time)
	}
	var (
		res       drawResult
		events    []event
		own       = uint64(1 << 32)
		runs      = make([][]drawRun, d.engines)
		downUntil = make([]time.Duration, d.engines)
		crashes   = map[uint64][]time.Duration{}
		sent      = map[uint64][]time.Duration{}
		firsts    = map[uint64]uint64{} // firsts holds the first parts of requests that crash engines, by the part to blame.
		served    = map[uint64][]struct {
			at time.Duration
			ok bool
		}{}
	)
	begin := time.Unix(1000, 0)
	crash := func(t time.Duration, e int) {
		if downUntil[e] > t {
			return
		}
		downUntil[e] = t + d.downTime
		name := fmt.Sprint("e", e)
		for _, run := range runs[e] {
			events = append(events, event{t + drawDelay, func(now time.Time) {
				j.crash(now, name, run.ids)
				if run.trial {
					j.endTrial(now, run.ids)
				}
			}})
		}
		runs[e] = nil
	}
	send := func(t time.Duration, f drawFlow) {
		ids := slices.Clone(f.ids)
		for i, id := range ids {
			if id == 0 {
				own++
				ids[i] = own
			}
		}
		now := begin.Add(t)
		up := slices.ContainsFunc(downUntil, func(until time.Duration) bool { return until <= t })
		if !up {
			return
		}
		ok, trial := j.admit(now, ids)
		if f.guilty == 0 {
			res.asked++
			if !ok {
				res.falseHolds++
			}
			served[ids[0]] = append(served[ids[0]], struct {
				at time.Duration
				ok bool
			}{t, ok})
		}
		if !ok {
			return
		}
		e := r.IntN(d.engines)
		for downUntil[e] > t {
			e = r.IntN(d.engines)
		}
		run := drawRun{ids: ids, begins: t + time.Duration(r.ExpFloat64()*float64(80*time.Millisecond)), trial: trial}
		run.ends = run.begins + time.Duration((0.5+r.Float64())*float64(d.runTime))
		if f.guilty != 0 {
			run.guilty, run.ends = f.guilty, run.begins+time.Duration(20+r.IntN(100))*time.Millisecond
			sent[f.guilty] = append(sent[f.guilty], t)
			firsts[f.guilty] = ids[0]
			res.guiltySent++
		}
		runs[e] = append(runs[e], run)
	}
	for t := time.Duration(0); t < drawTime; t += drawStep {
		now := begin.Add(t)
		for len(events) > 0 && events[0].at <= t {
			e := events[0]
			events = events[1:]
			e.do(now)
		}
		for e := range runs {
			for i := 0; i < len(runs[e]); i++ {
				run := runs[e][i]
				switch {
				case run.ends > t:
				case run.guilty != 0:
					crashes[run.guilty] = append(crashes[run.guilty], t)
					crash(t, e)
				default:
					runs[e] = slices.Delete(runs[e], i, i+1)
					i--
					events = append(events, event{t + drawDelay/2, func(now time.Time) {
						j.answer(now, run.ids)
						if run.trial {
							j.endTrial(now, run.ids)
						}
					}})
				}
			}
		}
		if r.Float64() < d.ownRate*drawStep.Seconds() {
			crash(t, r.IntN(d.engines))
		}
		if r.Float64() < d.groupRate*drawStep.Seconds() {
			for _, e := range r.Perm(d.engines)[:1+r.IntN(d.engines)] {
				crash(t, e)
			}
		}
		for _, f := range d.flows {
			if t >= f.since && r.Float64() < f.rate*drawStep.Seconds() {
				send(t, f)
			}
		}
		slices.SortStableFunc(events, func(a, b event) int { return int(a.at - b.at) })
	}
	for part, list := range crashes {
		res.guiltyCount++
		last := list[min(len(list), drawCrashes)-1]
		late, asked, ok := 0, 0, 0
		for _, at := range sent[part] {
			if len(list) >= drawCrashes && at > last+drawContact {
				late++
			}
		}
		for _, s := range served[firsts[part]] {
			if s.at > last+2*drawContact {
				asked++
				if s.ok {
					ok++
				}
			}
		}
		res.late = res.late || late > maxDrawLate
		res.lost = res.lost || asked >= minDrawAsked && 2*ok < asked
	}
	return res
}

// TestDrawnMixes checks how often the parts that crash engines are found too late and sound ones are withheld, and that
// simpler ways err more often. DRAWS is the number of draws.
func TestDrawnMixes(t *testing.T) {
	draws := 150
	if n, err := strconv.Atoi(os.Getenv("DRAWS")); err == nil {
		draws = n
	}
	type sum struct{ late, lost, falseHolds, asked, guilty, sent int }
	sums := map[string]*sum{}
	for name, makeJudge := range map[string]func() judge{
		"parts": newPartsJudge, "count": func() judge { return &countJudge{map[uint64]int{}} }, "likelihood": func() judge { return &likelihoodJudge{n: map[uint64]int{}} },
	} {
		s := &sum{}
		sums[name] = s
		for seed := range draws {
			r := rand.New(rand.NewPCG(uint64(seed), 1))
			res := newDraw(r).play(r, makeJudge())
			s.falseHolds += res.falseHolds
			s.asked += res.asked
			s.guilty += res.guiltyCount
			s.sent += res.guiltySent
			if res.late {
				s.late++
			}
			if res.lost {
				s.lost++
			}
			if name == "parts" && (res.late || res.lost) {
				t.Logf("seed %d: late %v, lost %v", seed, res.late, res.lost)
			}
		}
		t.Logf("%s: %d draws, %d with a part found late, %d with sound requests lost; %d of %d sound requests withheld; %d parts, %d sent", name, draws, s.late, s.lost, s.falseHolds, s.asked, s.guilty, s.sent)
	}
	if p := sums["parts"]; p.late*100 > draws || p.lost*100 > draws || p.falseHolds*1000 > 5*p.asked {
		t.Errorf("parts: %+v of %d draws", *p, draws)
	}
	if p, c := sums["parts"], sums["count"]; p.falseHolds >= c.falseHolds {
		t.Errorf("withheld: %d sound requests, and %d by counts alone", p.falseHolds, c.falseHolds)
	}
}
