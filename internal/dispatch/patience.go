package dispatch

import "time"

const (
	// firstByteTargets is how long a repeatable request waits for the first byte of an engine before anything is done about
	// it, as a multiple of its target.
	firstByteTargets = 2

	// looksPerTarget is how often an engine that has sent nothing is looked at again within the target of the request, and
	// minLookInterval the shortest time between two looks.
	looksPerTarget  = 2
	minLookInterval = 25 * time.Millisecond

	// maxAskTime is the longest time that an engine is given to answer when it is asked whether it responds.
	maxAskTime = 400 * time.Millisecond

	// shortRunPart is the inverse of the share of the usual time of a run that must be left for another to begin.
	shortRunPart = 4
)

const (
	waitOn    slowAction = iota // waitOn looks again later.
	giveUp                      // giveUp looks no more: no other run would end in time.
	runElse                     // runElse uses another engine, since this one does not respond.
	runBeside                   // runBeside uses another engine beside this one, as far as there is time of engines to spare.
)

type (
	// slowAction is what is done about an attempt whose engine has sent nothing yet.
	slowAction int

	// slowRun is what is known of such an attempt.
	slowRun struct {
		ran, left time.Duration // ran is the time since it was sent, left the time until its deadline.
		target    time.Duration
		usual     time.Duration // usual is how long most requests of the route run; 0 if unknown.
		responds  bool          // responds is set if the engine has sent something to this node lately, or answers when asked.
		apart     bool          // apart is set if no two engines may run the request at once.
	}
)

// next returns what is done about an attempt, and for waitOn until when nothing else is. That an engine is silent on one
// request says little: long requests are as silent as lost ones. One that responds to nothing else is given the time of two
// targets only; from one that responds a request is not taken, but while a run of the usual time still fits, another may
// begin beside it, which costs little then.
func (s slowRun) next() (a slowAction, after time.Duration) {
	look := max(s.target/looksPerTarget, minLookInterval)
	usual := s.usual
	if usual <= 0 {
		usual = s.target
	}
	switch least := firstByteTargets * s.target; {
	case s.ran < least:
		return waitOn, least - s.ran
	case !s.responds:
		return runElse, 0
	case s.left < usual/shortRunPart:
		return giveUp, 0
	case s.apart:
		return waitOn, look
	case s.left > usual:
		return waitOn, min(s.left-usual, look)
	}
	return runBeside, 0
}
