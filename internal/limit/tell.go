package limit

import "time"

// mostTold is how many engines are told of in one message: about 2 KB.
const mostTold = 64

// Told is what a node tells its peers of an engine's limit.
type Told struct {
	_      struct{} `cbor:",toarray"`
	Engine string
	Rate   float64       // Rate is in requests a second; 0 where the limit has ended.
	AgeMs  int64         // AgeMs is how long ago the engine said so.
	Age    time.Duration `cbor:"-"` // Age is how long ago the sender learned it; it is not sent.
}

// Tell returns what peers should know: first what was learned within a time, the newest first, then some of the rest by turns.
func (l *Limits) Tell(now time.Time, span time.Duration) []Told {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.sweep(now)
	recent := func(engine string) bool { return now.Sub(l.engines[engine].changed) <= span }
	var out []Told
	for _, engine := range l.tell.Next(recent, mostTold) {
		s := l.engines[engine]
		out = append(out, Told{Engine: engine, Rate: s.rate, AgeMs: now.Sub(s.at).Milliseconds(), Age: now.Sub(s.changed)})
	}
	return out
}

// Hear takes what a peer tells.
func (l *Limits) Hear(now time.Time, list []Told) {
	if len(list) == 0 {
		return
	}
	l.mu.Lock()
	defer l.mu.Unlock()
	for _, t := range list {
		if t.AgeMs < 0 || t.Rate < 0 {
			continue
		}
		l.take(now, now.Add(-time.Duration(t.AgeMs)*time.Millisecond), t.Engine, kept(t.Rate, t.Rate > 0), "peer")
	}
}
