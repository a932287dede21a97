// Package lease elects a leader: at most one node at a time may act for all, until its lease expires. The lease is one row in
// the platform's store. Nodes don't negotiate; the holder is the node that writes the row on condition that it has not
// changed.
//
// A holder counts its lease from the time at which it sent the write that renewed it. A successor must have seen the row
// unchanged for the TTL and a margin, by its own clock, and then writes it on condition that it is still unchanged. The new
// term therefore begins after the previous one has ended, whatever answers were lost and however long writes were in
// transit. Clocks of two nodes are never compared.
package lease

import (
	"math/rand/v2"
	"slices"
	"time"

	"github.com/croftturn/croftturn/internal/history"
)

const (
	// maxRecentHolders is how many former holders the row records: more than can follow each other within ReturnDelay,
	// since each takeover without a release takes as long as a lease.
	maxRecentHolders = 8

	// maxPendingWrites is how many writes of unknown outcome are recorded; each is made after the row was read again.
	maxPendingWrites = 8

	// maxInitialWriteID bounds the random id of the first write. It is random because a write of an earlier process of the
	// same node may still be applied.
	maxInitialWriteID = 1 << 40

	// tokensPerEra is more than the terms of an era: one a second for half a year. Tokens of eras up to 2^28 stay
	// below 2^53.
	tokensPerEra = 1 << 24
)

type (
	// Timing holds the durations that all nodes must agree on.
	Timing struct {
		TTL         time.Duration // TTL is how long a holder may act after it sent its last renewal.
		Margin      time.Duration // Margin is how long a takeover waits beyond TTL, for calls of the former holder that are still in transit.
		ReturnDelay time.Duration // ReturnDelay is the least time between two terms of one node with a term of another node between them.
	}

	// Record is the content of the row.
	Record struct {
		Holder   string   `json:"holder"`
		Address  string   `json:"address"` // Address is the holder's peer address.
		Token    int64    `json:"token"`   // Token increases with each term and is unique to it.
		WriteID  int64    `json:"write"`   // WriteID is unique to this write, also among those of the same term.
		Released bool     `json:"released,omitempty"`
		Era      int64    `json:"era,omitempty"`    // Era is that of the store when the row was written; a row of an earlier era is a copy.
		Recent   []string `json:"recent,omitempty"` // Recent lists the former holders, the newest last.
	}

	// Term is a period in which this node may act.
	Term struct {
		Token int64
		Until time.Time // Until is when the holder stops acting; its calls must have ended by then.
	}

	// Lease is one node's view of the lease. It is not safe for concurrent use.
	Lease struct {
		self    string
		address string
		timing  Timing

		known      bool // known is set while record is the content of the row at a position.
		record     Record
		at         history.Position // at is the position of the row; version 0 means that there is none.
		firstStart bool             // firstStart is set until the row is first read if the whole system starts for the first time.
		freeEra    int64            // freeEra is the era in which nobody has held the lease while there is no row; -1 for none.
		rowSeenAt  time.Time        // rowSeenAt is when the row was first seen in its present state.
		termSeenAt time.Time        // termSeenAt is when the present term was first seen.

		token       int64     // token is the token of this node's present term; 0 for none.
		lastToken   int64     // lastToken is the token of this process's last term; 0 for none, or once it was released.
		renewedAt   time.Time // renewedAt is when the write that last renewed the present term was sent.
		until       time.Time // until is when the present term ends.
		lastWriteID int64     // lastWriteID is the id of the newest write.
		pending     []pending // pending are the writes not yet known to be applied, the newest last.
	}

	// Option configures a Lease.
	Option func(*Lease)

	// pending is a write whose outcome may be unknown.
	pending struct {
		record Record
		sent   time.Time
	}
)

// New returns the view of a node that has not read the row yet; address is its peer address.
func New(self, address string, timing Timing, options ...Option) *Lease {
	l := &Lease{self: self, address: address, timing: timing, freeEra: -1, lastWriteID: rand.Int64N(maxInitialWriteID)}
	for _, option := range options {
		option(l)
	}
	return l
}

// WithFirstStart says that the whole system starts for the first time: if there is no row, no node has held the lease.
func WithFirstStart() Option { return func(l *Lease) { l.firstStart = true } }

// Holds returns the term in which this node may act at a time.
func (l *Lease) Holds(now time.Time) (Term, bool) {
	return Term{Token: l.token, Until: l.until}, l.token > 0 && now.Before(l.until)
}

// RenewedAt returns when the last renewal that is known to be applied was sent.
func (l *Lease) RenewedAt() time.Time { return l.renewedAt }

// CanResume reports whether this node may renew its last term after it expired: the row is as this node left it. If the
// renewal is applied, nobody held the lease in the meantime.
func (l *Lease) CanResume() bool {
	return l.known && l.lastToken > 0 && l.record.Token == l.lastToken && l.record.Holder == l.self && !l.record.Released
}

// Record returns the content of the row when it was last seen.
func (l *Lease) Record() Record { return l.record }

// Observe records the row as it was read after a time; version 0 means that there is no row. It also reveals a write of this
// node whose answer was lost. A row of an earlier era than a known one is ignored.
//
// When the store comes back from a copy, the row may be of an earlier term. Terms that the store lost end within
// the TTL and the margin after the return, and only a holder whose term has not ended may continue it. A write
// whose condition was read before the return begins and extends no term, even if the copy fulfilled it.
func (l *Lease) Observe(now time.Time, r Record, at history.Position) {
	if at.Era < l.at.Era {
		return
	}
	if l.firstStart {
		l.firstStart, l.freeEra = false, at.Era
	}
	if at.Era > l.at.Era && !now.Before(l.until) {
		l.token, l.lastToken = 0, 0
	}
	if !l.known || at != l.at {
		l.rowSeenAt = now
	}
	if !l.known || r.Token != l.record.Token {
		l.termSeenAt = now
	}
	l.known, l.record, l.at = true, r, at
	switch i := slices.IndexFunc(l.pending, func(p pending) bool { return p.record.WriteID == r.WriteID }); {
	case i >= 0 && r.Holder == l.self && !r.Released && r.Era == at.Era:
		l.confirmWrite(l.pending[i])
		l.pending = l.pending[i+1:]
	case r.Token != l.lastToken || r.Holder != l.self || r.Released:
		l.token = 0
	case l.lastToken > 0:
		l.token = l.lastToken // The conflict was with a write of this node itself.
	}
}

// AcquirableAt returns when this node may acquire the lease; ok is false if the row is not known.
func (l *Lease) AcquirableAt() (at time.Time, ok bool) {
	if !l.known {
		return time.Time{}, false
	}
	at = l.rowSeenAt
	if !l.free() {
		at = at.Add(l.timing.TTL + l.timing.Margin)
	}
	if l.record.Holder != l.self && slices.Contains(l.record.Recent, l.self) {
		at = later(at, l.termSeenAt.Add(l.timing.ReturnDelay+l.timing.Margin))
	}
	return at, true
}

// free reports whether the row shows that no node holds the lease. A copy doesn't: the store may have lost a term.
func (l *Lease) free() bool {
	if l.at.Version == 0 {
		return l.at.Era == 0 || l.at.Era == l.freeEra
	}
	return l.record.Released && l.record.Era == l.at.Era
}

// nextToken returns the token of the next term. Those of an era are above all of earlier ones, also of terms that
// the store lost.
func (l *Lease) nextToken() int64 { return max(l.record.Token, l.at.Era*tokensPerEra) + 1 }

// Acquire returns the write that begins a term of this node, to be sent at a time not before AcquirableAt.
func (l *Lease) Acquire(now time.Time) (r Record, expect history.Position) {
	recent := append(slices.Clone(l.record.Recent), l.record.Holder)
	recent = slices.DeleteFunc(recent, func(name string) bool { return name == l.self || name == "" })
	recent = recent[max(0, len(recent)-maxRecentHolders):]
	return l.newWrite(now, Record{Holder: l.self, Address: l.address, Token: l.nextToken(), Recent: recent})
}

// Renew returns the write that extends this node's term, to be sent at a time.
func (l *Lease) Renew(now time.Time) (r Record, expect history.Position) {
	return l.newWrite(now, l.record)
}

// Release ends this node's term at once and returns the write that announces it.
func (l *Lease) Release(now time.Time) (r Record, expect history.Position) {
	l.token, l.lastToken = 0, 0
	r = l.record
	r.Released = true
	return l.newWrite(now, r)
}

// newWrite records a pending write and returns it.
func (l *Lease) newWrite(now time.Time, r Record) (Record, history.Position) {
	l.lastWriteID++
	r.WriteID, r.Era = l.lastWriteID, l.at.Era
	l.pending = append(l.pending, pending{record: r, sent: now})
	l.pending = l.pending[max(0, len(l.pending)-maxPendingWrites):]
	return r, l.at
}

// WriteSucceeded records that the newest write was applied, and the new position of the row.
func (l *Lease) WriteSucceeded(now time.Time, at history.Position) {
	l.Observe(now, l.pending[len(l.pending)-1].record, at)
}

// Era returns the era of the row.
func (l *Lease) Era() int64 { return l.at.Era }

// WriteConflicted records that the newest write was rejected because the row had changed. Until the row is read again this
// node neither acts nor writes, as another one may hold the lease.
func (l *Lease) WriteConflicted() { l.known, l.token = false, 0 }

// WriteUncertain records that the outcome of the newest write is not known: the row is read before the next one. The term
// continues until its end.
func (l *Lease) WriteUncertain() { l.known = false }

// Known reports whether the row is known, so that a write may be tried.
func (l *Lease) Known() bool { return l.known }

// confirmWrite begins or extends this node's term after a write was applied. The term counts from when the write was sent.
func (l *Lease) confirmWrite(p pending) {
	l.token, l.lastToken = p.record.Token, p.record.Token
	l.renewedAt, l.until = p.sent, p.sent.Add(l.timing.TTL)
}

// later returns the later of two times.
func later(a, b time.Time) time.Time {
	if b.After(a) {
		return b
	}
	return a
}
