// Package relaybuf buffers answers between engines and callers that read more slowly than the
// engines send, within one bound of memory for the whole node. Callers that stop reading are cut
// off, so that they neither hold up engines nor take the memory of callers that read.
package relaybuf

import (
	"context"
	"fmt"
	"slices"
	"sync"
	"time"

	"github.com/croftturn/croftturn/internal/clock"
)

const (
	// MaxBuffer is the most that the buffer of one answer holds, in bytes; less at totals under 2 MB.
	MaxBuffer = 256 << 10

	// fullTimeout is how long a caller may read nothing while its buffer is full.
	fullTimeout = 5 * time.Second

	// totalTimeout is how long a caller may read nothing while the total is reached.
	totalTimeout = 2 * time.Second

	// memoryShare is the share of the process's memory for buffers and request bodies.
	memoryShare = 0.1

	// defaultLimit is the total if the memory of the process is not limited, in bytes.
	defaultLimit = 8 << 20

	// smallBuffer is what a buffer may hold of the last eighth of the total (1 / smallShare), in
	// bytes. So callers that lag a little keep their buffers however many do not read at all.
	smallBuffer = 8 << 10
	smallShare  = 8

	// sweepInterval is how often callers are checked.
	sweepInterval = 100 * time.Millisecond

	// pauseMemory is for how long a pause in the reading of an engine is remembered, so that what the
	// engine had sent before it failed can be read first.
	pauseMemory = time.Second

	// probeIdle is how long a caller has read nothing before its connection is asked whether it has.
	probeIdle = 500 * time.Millisecond

	// maxSweepGap is the longest time between two checks that counts as time in which callers could
	// read. After a longer one this process was itself stopped or starved.
	maxSweepGap = time.Second
)

const (
	// BufferFull means that a caller read nothing for 5 s while its buffer was full.
	BufferFull Reason = "buffer_full"

	// TotalReached means that a caller read nothing for 2 s while the node's total was reached.
	TotalReached Reason = "total_reached"

	// WriteTimeout means that one write to a caller took longer than the write timeout.
	WriteTimeout Reason = "write_timeout"

	// Deadline means that the request's deadline passed while its engine waited for room.
	Deadline Reason = "deadline"

	// EngineGaveUp means that an engine cut off its answer after it had not been read for some time.
	EngineGaveUp Reason = "engine_gave_up"
)

type (
	// Reason is why a caller was cut off.
	Reason string

	// CutError is the error of an answer whose caller was cut off.
	CutError struct{ Reason Reason }

	// Budget bounds what a node holds for its callers and decides whose reading pauses and who is
	// cut off. It is safe for concurrent use.
	Budget struct {
		mu           sync.Mutex
		limit        int64
		held         int64 // held is the size of all buffers and request bodies, in bytes.
		bodies       int64 // bodies is the part of held that request bodies take.
		paused       int64
		accounts     map[*Account]struct{} // accounts holds those with buffered bytes and those relayed without a buffer.
		reachedSince time.Time             // reachedSince is when the total was reached; zero if it is not.
		sweptAt      time.Time
		notBefore    time.Time // notBefore is the earliest time from which callers' idleness counts.
	}

	// Account is what one answer holds of the budget. It is safe for concurrent use.
	Account struct {
		budget *Budget
		cut    func(Reason) // cut cuts the caller off; it is called without locks held.
		caller Caller

		// These are protected by the budget's mutex.
		held, peak int64
		lastRead   time.Time // lastRead is when the caller last read, or when the first unread byte arrived.
		fullSince  time.Time // fullSince is since when the buffer is full; zero if it is not.
		pausedAt   time.Time // pausedAt is since when the reading is paused; zero if it is not.
		pausedFor  time.Duration
		lastPause  pause // lastPause is the longest of those within pauseMemory.
		lastUnread int64 // lastUnread is what Unread last returned since the caller read.
	}

	// pause is a time in which an engine was not read.
	pause struct{ from, to time.Time }
)

// Error implements error.
func (e *CutError) Error() string {
	return fmt.Sprintf("relaybuf: caller cut off: %s", e.Reason)
}

// Limit returns the total for a process that may use some memory, in bytes; memoryMB is in
// megabytes, 0 for no limit.
func Limit(memoryMB float64) int64 {
	if memoryMB <= 0 {
		return defaultLimit
	}
	return int64(memoryShare * memoryMB * (1 << 20))
}

// NewBudget returns a budget of limit bytes.
func NewBudget(limit int64) *Budget {
	return &Budget{limit: limit, accounts: map[*Account]struct{}{}}
}

// SetLimit changes the total, in bytes.
func (b *Budget) SetLimit(now time.Time, limit int64) {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.limit = limit
	b.add(now, 0)
}

// Open returns the account of a new answer. cut is called from another goroutine to cut the caller
// off. Of the caller only Unread and Extend are used; Unread may be nil.
func (b *Budget) Open(cut func(Reason), c Caller) *Account {
	return &Account{budget: b, cut: cut, caller: c, lastUnread: -1}
}

// AddBody counts the body of a request, which is never refused here. n is negative when it is released.
func (b *Budget) AddBody(now time.Time, n int) {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.bodies += int64(n)
	b.add(now, int64(n))
}

// Held returns the bytes held in buffers and request bodies.
func (b *Budget) Held() int64 {
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.held
}

// Bodies returns the bytes held in request bodies.
func (b *Budget) Bodies() int64 {
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.bodies
}

// Paused returns how many answers are not read from their engines now because their callers lag.
func (b *Budget) Paused() int64 {
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.paused
}

// add changes the total and records when it was reached. The caller holds the lock.
func (b *Budget) add(now time.Time, n int64) {
	b.held += n
	switch {
	case !b.reached(b.held):
		b.reachedSince = time.Time{}
	case b.reachedSince.IsZero():
		b.reachedSince = now
	}
}

// reached reports whether the total is reached if some bytes are held: some answer could not fill
// its buffer.
func (b *Budget) reached(held int64) bool { return b.left(held) < b.bound() }

// bound returns the most that the buffer of one answer may hold. An answer whose buffer holds less and
// whose reading pauses implies that the total is reached, so that its caller can be cut off.
func (b *Budget) bound() int64 { return max(smallBuffer, min(MaxBuffer, b.limit/smallShare)) }

// left returns what all but small buffers may still take if some bytes are held.
func (b *Budget) left(held int64) int64 { return b.limit - b.limit/smallShare - held }

// Reserve reserves n bytes and reports whether the answer may hold them. A buffer may grow up to
// its own bound and up to what is left of the total. So those that hold most pause first, and what
// they leave is for answers whose callers lag less.
func (a *Account) Reserve(now time.Time, n int64) bool {
	b := a.budget
	b.mu.Lock()
	defer b.mu.Unlock()
	if !a.fits(n) {
		if a.held+n > b.bound() && a.fullSince.IsZero() {
			a.fullSince = now
		}
		a.pause(now)
		return false
	}
	a.resume(now)
	if a.held == 0 {
		a.watch(now)
	}
	a.held += n
	a.peak = max(a.peak, a.held)
	b.add(now, n)
	return true
}

// fits reports whether the answer may hold n more bytes. The caller holds the lock.
func (a *Account) fits(n int64) bool {
	after := a.held + n
	if after <= smallBuffer {
		return n <= a.budget.limit-a.budget.held
	}
	return after <= a.budget.bound() && after <= a.budget.left(a.budget.held)
}

// Read records that the caller took some bytes, n of which are no longer held.
func (a *Account) Read(now time.Time, n int64) {
	b := a.budget
	b.mu.Lock()
	defer b.mu.Unlock()
	a.lastRead, a.lastUnread = now, -1
	a.release(now, n)
}

// release releases n bytes. The caller holds the lock.
func (a *Account) release(now time.Time, n int64) {
	if n == 0 {
		return
	}
	a.held -= n
	a.fullSince = time.Time{}
	if a.held == 0 {
		delete(a.budget.accounts, a)
	}
	a.budget.add(now, -n)
}

// Close releases all that the answer holds.
func (a *Account) Close(now time.Time) {
	b := a.budget
	b.mu.Lock()
	defer b.mu.Unlock()
	a.resume(now)
	a.release(now, a.held)
	delete(b.accounts, a)
}

// Lag returns the most bytes that were held and how long the engine was not read.
func (a *Account) Lag(now time.Time) (peak int64, paused time.Duration) {
	b := a.budget
	b.mu.Lock()
	defer b.mu.Unlock()
	if !a.pausedAt.IsZero() {
		return a.peak, a.pausedFor + now.Sub(a.pausedAt)
	}
	return a.peak, a.pausedFor
}

// LastPause returns the length of the longest pause in the reading of the engine that began at a time
// or later and ended at most a second ago. After a longer one it may miss a pause of under a second.
func (a *Account) LastPause(now, since time.Time) time.Duration {
	b := a.budget
	b.mu.Lock()
	defer b.mu.Unlock()
	p := a.lastPause
	if p.from.Before(since) || now.Sub(p.to) > pauseMemory {
		return 0
	}
	return p.length()
}

func (p pause) length() time.Duration { return p.to.Sub(p.from) }

// pause records that the engine is not read. The caller holds the lock.
func (a *Account) pause(now time.Time) {
	if a.pausedAt.IsZero() {
		a.pausedAt = now
		a.budget.paused++
	}
}

// Bypass records that a piece of the answer is written without a buffer, since there is no room at
// all. Until Resume is called the engine is not read, and the caller is cut off like one with buffered
// bytes: its engine waits all the same.
func (a *Account) Bypass(now time.Time) {
	a.budget.mu.Lock()
	defer a.budget.mu.Unlock()
	a.pause(now)
	a.watch(now)
}

// Resume records that the caller took a piece that was written without a buffer.
func (a *Account) Resume(now time.Time) {
	a.budget.mu.Lock()
	defer a.budget.mu.Unlock()
	a.resume(now)
	delete(a.budget.accounts, a)
}

// watch starts to count the time in which the caller reads nothing. The caller holds the lock.
func (a *Account) watch(now time.Time) {
	a.lastRead, a.lastUnread = now, -1
	a.budget.accounts[a] = struct{}{}
}

// resume records that the engine is read again. The caller holds the lock.
func (a *Account) resume(now time.Time) {
	if !a.pausedAt.IsZero() {
		ended := pause{a.pausedAt, now}
		a.pausedFor += ended.length()
		if ended.length() >= a.lastPause.length() || now.Sub(a.lastPause.to) > pauseMemory {
			a.lastPause = ended
		}
		a.pausedAt = time.Time{}
		a.budget.paused--
	}
}

// Run cuts off the callers that have read nothing for too long, until the context ends.
func (b *Budget) Run(ctx context.Context) {
	tick := time.NewTicker(sweepInterval)
	defer tick.Stop()
	for {
		select {
		case <-ctx.Done():
			return
		case <-tick.C:
			b.CutOff(clock.Now())
		}
	}
}

// CutOff cuts off the callers that have read nothing for too long, the slowest first.
func (b *Budget) CutOff(now time.Time) {
	for _, each := range b.overdue(now) {
		each.account.cut(each.reason)
	}
}

// overdueCaller is a caller to be cut off.
type overdueCaller struct {
	account *Account
	reason  Reason
}

// overdue returns the callers to be cut off, the slowest first: all whose buffers have been full for
// too long, and of the others as many as it takes until the total is no longer reached.
func (b *Budget) overdue(now time.Time) []overdueCaller {
	b.mu.Lock()
	defer b.mu.Unlock()
	if !b.sweptAt.IsZero() && now.Sub(b.sweptAt) > maxSweepGap {
		b.notBefore = now
	}
	b.sweptAt = now
	var idle []overdueCaller
	for a := range b.accounts {
		a.probe(now)
		switch {
		case !a.fullSince.IsZero() && a.idle(now, a.fullSince) >= fullTimeout:
			idle = append(idle, overdueCaller{a, BufferFull})
		case !b.reachedSince.IsZero() && a.idle(now, b.reachedSince) >= totalTimeout:
			idle = append(idle, overdueCaller{a, TotalReached})
		}
	}
	slices.SortFunc(idle, func(x, y overdueCaller) int { return x.account.lastRead.Compare(y.account.lastRead) })
	left := b.held
	for _, each := range idle {
		if each.reason == BufferFull {
			left -= each.account.held
		}
	}
	return slices.DeleteFunc(idle, func(each overdueCaller) bool {
		if each.reason == TotalReached && !b.reached(left) {
			return true
		}
		if each.reason == TotalReached {
			left -= each.account.held
		}
		return false
	})
}

// idle returns for how long the caller has read nothing while a condition has held since a time.
func (a *Account) idle(now, since time.Time) time.Duration {
	for _, at := range []time.Time{a.lastRead, a.budget.notBefore} {
		if at.After(since) {
			since = at
		}
	}
	return now.Sub(since)
}

// probe records that an idle caller has read although no write has ended: the kernel lets a blocked
// write continue only when a third of the send buffer is free, which may take a slow caller longer
// than the timeouts. The caller holds the lock.
func (a *Account) probe(now time.Time) {
	if a.caller.Unread == nil || now.Sub(a.lastRead) < probeIdle {
		return
	}
	n := a.caller.Unread()
	if n >= 0 && n < a.lastUnread {
		a.lastRead = now
		a.caller.Extend()
	}
	a.lastUnread = n
}
