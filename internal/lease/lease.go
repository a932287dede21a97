// Package lease decides which node may act for all: at most one at a time, for as long as its lease has time left.
// The lease is one row in the platform's store. Nothing is agreed between nodes; who writes the row under the
// condition that it has not changed is the holder.
//
// A holder counts its lease from when it sent the write that renewed it. Whoever takes over has seen the row unchanged for
// the lease's life and a margin, by its own clock, and then changes it under the condition that it still is unchanged.
// So the new term begins after the former one has ended, whatever became of answers and however long writes were
// on their way. Clocks of two nodes are never compared.
package lease

import (
	"math/rand/v2"
	"slices"
	"time"
)

const (
	// recentMost is how many former holders are remembered in the row: more than can follow each other within Apart,
	// since each take-over without a release takes as long as a lease.
	maxRecentHolders = 8

	// pendingMost is how many writes of unknown outcome are remembered; each is made after the row was read again.
	maxPendingWrites = 8

	// firstWrites bounds the number of the first write, which is drawn by chance: a write of an earlier process of the
	// same node may still be done.
	maxInitialWriteID = 1 << 40
)

type (
	// Terms are what all nodes agree on.
	Timing struct {
		TTL         time.Duration // Life is how long a holder may act after it sent its last renewal.
		Margin      time.Duration // Margin is what a take-over waits beyond Life, for calls of the former holder that are on their way.
		ReturnDelay time.Duration // Apart is the least time between two terms of one node with another's between them.
	}

	// Record is the content of the row.
	Record struct {
		Holder   string   `json:"holder"`
		Address  string   `json:"address"` // Address is where peers call the holder.
		Token    int64    `json:"token"`   // Token rises by one with each term; no two terms have the same.
		WriteID  int64    `json:"write"`   // Write tells this write from all others, also of the same term.
		Released bool     `json:"released,omitempty"`
		Recent   []string `json:"recent,omitempty"` // Recent are the holders before, the newest last.
	}

	// Term is what a holder acts with.
	Term struct {
		Token int64
		Until time.Time // Until is when the holder stops acting; what it sends must have ended by then.
	}

	// Lease is one node's view of the lease. It is not safe for concurrent use.
	Lease struct {
		self    string
		address string
		timing  Timing

		known      bool // known says that record is what the row held at version.
		record     Record
		version    int64
		rowSeenAt  time.Time // seenAt is when the row was first seen as it is.
		termSeenAt time.Time // holderAt is when the present term was first seen.

		token       int64     // token is of this node's present term; 0 for none.
		lastToken   int64     // last is the token of this process's last term; 0 for none, or once it was released.
		renewedAt   time.Time // renewed is when the write was sent by which the present term is as long as it is.
		until       time.Time // until is the end of it.
		lastWriteID int64     // writes is the number of the newest write.
		pending     []pending // pending are writes that were not seen to be done yet, the newest last.
	}

	// pending is a write whose outcome may be unknown.
	pending struct {
		record Record
		sent   time.Time
	}
)

// New returns the view of a node that has not read the row yet; peers call it at an address.
func New(self, address string, timing Timing) *Lease {
	return &Lease{self: self, address: address, timing: timing, lastWriteID: rand.Int64N(maxInitialWriteID)}
}

// Holds returns the term in which this node may act at a moment.
func (l *Lease) Holds(now time.Time) (Term, bool) {
	return Term{Token: l.token, Until: l.until}, l.token > 0 && now.Before(l.until)
}

// Renewed returns when the last renewal that is known to be done was sent.
func (l *Lease) RenewedAt() time.Time { return l.renewedAt }

// Resumes reports whether this node may make its last term, which ran out, longer: the row is as it left it. A renewal that
// is done then proves that nobody held the lease meanwhile.
func (l *Lease) CanResume() bool {
	return l.known && l.lastToken > 0 && l.record.Token == l.lastToken && l.record.Holder == l.self && !l.record.Released
}

// Record returns what the row held when it was last seen.
func (l *Lease) Record() Record { return l.record }

// Seen takes the row as it was read after a moment; version 0 says that there is none. A write of this node whose
// answer was lost shows here.
func (l *Lease) Observe(now time.Time, r Record, version int64) {
	if !l.known || version != l.version {
		l.rowSeenAt = now
	}
	if !l.known || r.Token != l.record.Token {
		l.termSeenAt = now
	}
	l.known, l.record, l.version = true, r, version
	switch at := slices.IndexFunc(l.pending, func(p pending) bool { return p.record.WriteID == r.WriteID }); {
	case at >= 0 && r.Holder == l.self && !r.Released:
		l.confirmWrite(l.pending[at])
		l.pending = l.pending[at+1:]
	case r.Token != l.lastToken || r.Holder != l.self || r.Released:
		l.token = 0
	case l.lastToken > 0:
		l.token = l.lastToken // A conflict was with a write of this node's own.
	}
}

// MayTakeAt returns when this node may write itself as the holder; ok is false where the row is not known.
func (l *Lease) AcquirableAt() (at time.Time, ok bool) {
	if !l.known {
		return time.Time{}, false
	}
	at = l.rowSeenAt
	if l.version > 0 && !l.record.Released {
		at = at.Add(l.timing.TTL + l.timing.Margin)
	}
	if l.record.Holder != l.self && slices.Contains(l.record.Recent, l.self) {
		at = later(at, l.termSeenAt.Add(l.timing.ReturnDelay+l.timing.Margin))
	}
	return at, true
}

// Take returns the write that begins a term of this node, which is sent at a moment not before MayTakeAt.
func (l *Lease) Acquire(now time.Time) (r Record, expect int64) {
	recent := append(slices.Clone(l.record.Recent), l.record.Holder)
	recent = slices.DeleteFunc(recent, func(name string) bool { return name == l.self || name == "" })
	recent = recent[max(0, len(recent)-maxRecentHolders):]
	return l.newWrite(now, Record{Holder: l.self, Address: l.address, Token: l.record.Token + 1, Recent: recent})
}

// Renew returns the write that makes this node's term longer, which is sent at a moment.
func (l *Lease) Renew(now time.Time) (r Record, expect int64) {
	return l.newWrite(now, l.record)
}

// Release ends this node's term at once and returns the write that tells so.
func (l *Lease) Release(now time.Time) (r Record, expect int64) {
	l.token, l.lastToken = 0, 0
	r = l.record
	r.Released = true
	return l.newWrite(now, r)
}

// send remembers a write.
func (l *Lease) newWrite(now time.Time, r Record) (Record, int64) {
	l.lastWriteID++
	r.WriteID = l.lastWriteID
	l.pending = append(l.pending, pending{record: r, sent: now})
	l.pending = l.pending[max(0, len(l.pending)-maxPendingWrites):]
	return r, l.version
}

// Written says that the newest write was done, and of which version the row is now.
func (l *Lease) WriteSucceeded(now time.Time, version int64) {
	l.Observe(now, l.pending[len(l.pending)-1].record, version)
}

// Conflict says that the newest write was not done, since the row had changed. Until it is read again this node
// neither acts nor writes: another may hold the lease.
func (l *Lease) WriteConflicted() { l.known, l.token = false, 0 }

// Unknown says that the outcome of the newest write is not known: the row is read before the next one. The term
// goes on until its end.
func (l *Lease) WriteUncertain() { l.known = false }

// Known reports whether the row is known, so that a write may be tried.
func (l *Lease) Known() bool { return l.known }

// confirm begins or lengthens this node's term: a write was done. The term counts from when that was sent.
func (l *Lease) confirmWrite(p pending) {
	l.token, l.lastToken = p.record.Token, p.record.Token
	l.renewedAt, l.until = p.sent, p.sent.Add(l.timing.TTL)
}

// later returns the later of two moments.
func later(a, b time.Time) time.Time {
	if b.After(a) {
		return b
	}
	return a
}
