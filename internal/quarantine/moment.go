package quarantine

import "time"

const (
	// crashMoment is how close crashes lie that may have one cause other than their requests, such as a machine without power.
	crashMoment = 60 * time.Millisecond

	// shortRun is how soon after an engine gets a request its crash is put down to the request though others crash at the same
	// moment. It covers the time in which nodes notice crashes.
	shortRun = 250 * time.Millisecond
)

// momentCounter counts the pieces of evidence in crashes that are added in the order of their times. Crashes within one moment
// are one piece, since one disruption may have caused them all, unless their runs tell them apart.
type momentCounter struct {
	n           int
	first, last time.Time // first and last are the times of the first and the last crash of the latest piece.
}

// add adds a crash, and reports whether it is a piece of evidence of its own. resent is when its request was sent there after another
// engine had crashed under it; zero if that is not known. own is set if its run tells it apart from any other crash.
func (m *momentCounter) add(at, resent time.Time, own bool) bool {
	begins := m.n == 0 || own || at.Sub(m.first) > crashMoment || resent.After(m.last)
	if begins {
		m.n, m.first = m.n+1, at
	}
	m.last = at
	return begins
}
