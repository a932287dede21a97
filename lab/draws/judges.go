package draws

import (
	"log/slog"
	"math"
	"slices"
	"time"

	"github.com/croftturn/croftturn/internal/quarantine"
)

const (
	// pool is the pool of all engines.
	pool = "p"

	// countLimit is the number of crashes since the last answer at which Count holds a part, and improbable the likelihood of
	// its crashes below which Likelihood does.
	countLimit = 3
	improbable = 1e-4
)

type (
	// central is the part of judges that hear of all nodes' requests.
	central struct{}

	// Parts is the product's judge.
	Parts struct {
		central
		parts *quarantine.Parts
	}

	// Count holds each part with some crashes since its last answer.
	Count struct {
		central
		crashes map[uint64]int
	}

	// Likelihood holds a part if its crashes are improbable at the rate at which all requests meet crashes.
	Likelihood struct {
		Count
		hits, answers float64
	}
)

// Nodes implements Judge.
func (central) Nodes() int { return 1 }

// NewsDelay implements Judge.
func (central) NewsDelay() time.Duration { return newsDelay }

// Tick implements Judge.
func (central) Tick(time.Time) {}

// Survives implements Judge.
func (central) Survives(time.Time, int, []uint64) {}

// NewParts returns the product's judge.
func NewParts() *Parts {
	return &Parts{parts: quarantine.NewParts(func(time.Time, string) bool { return true }, slog.New(slog.DiscardHandler))}
}

// Admit implements Judge.
func (j *Parts) Admit(now time.Time, _ int, ids []uint64) (send, trial bool) {
	d := j.parts.Admit(now, time.Time{}, pool, ids)
	return d.Held == nil, d.Trial
}

// Survives implements Judge.
func (j *Parts) Survives(now time.Time, _ int, ids []uint64) { j.parts.TrialSurvives(now, pool, ids) }

// EndTrial implements Judge.
func (j *Parts) EndTrial(now time.Time, _ int, ids []uint64) { j.parts.EndTrial(now, pool, ids, false) }

// Crash implements Judge.
func (j *Parts) Crash(now time.Time, _ int, engine string, ids []uint64) {
	j.parts.RecordCrash(now, time.Time{}, now, pool, quarantine.EngineRun{ID: engine}, ids)
}

// Answer implements Judge.
func (j *Parts) Answer(now time.Time, _ int, ids []uint64) { j.parts.RecordAnswer(now, pool, "", ids) }

// NewCount returns a judge that counts.
func NewCount() *Count { return &Count{crashes: map[uint64]int{}} }

// Admit implements Judge.
func (j *Count) Admit(_ time.Time, _ int, ids []uint64) (send, trial bool) {
	return !slices.ContainsFunc(ids, func(id uint64) bool { return j.crashes[id] >= countLimit }), false
}

// EndTrial implements Judge.
func (j *Count) EndTrial(time.Time, int, []uint64) {}

// Crash implements Judge.
func (j *Count) Crash(_ time.Time, _ int, _ string, ids []uint64) {
	for _, id := range ids {
		j.crashes[id]++
	}
}

// Answer implements Judge.
func (j *Count) Answer(_ time.Time, _ int, ids []uint64) {
	for _, id := range ids {
		delete(j.crashes, id)
	}
}

// NewLikelihood returns a judge that compares likelihoods.
func NewLikelihood() *Likelihood { return &Likelihood{Count: *NewCount()} }

// Admit implements Judge.
func (j *Likelihood) Admit(_ time.Time, _ int, ids []uint64) (send, trial bool) {
	rate := (j.hits + 1) / (j.hits + j.answers + 20) // Before anything is known one request in 20 is taken to meet a crash.
	return !slices.ContainsFunc(ids, func(id uint64) bool {
		return j.crashes[id] >= 2 && math.Pow(rate, float64(j.crashes[id])) < improbable
	}), false
}

// Crash implements Judge.
func (j *Likelihood) Crash(now time.Time, _ int, engine string, ids []uint64) {
	j.hits++
	j.Count.Crash(now, 0, engine, ids)
}

// Answer implements Judge.
func (j *Likelihood) Answer(now time.Time, _ int, ids []uint64) {
	j.answers++
	j.Count.Answer(now, 0, ids)
}
