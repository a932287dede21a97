package edge

import (
	"context"
	"strconv"
	"time"

	"github.com/cespare/xxhash/v2"

	"github.com/croftturn/croftturn/internal/clock"
	"github.com/croftturn/croftturn/internal/pause"
)

const (
	// readers is how many nodes read the platform's tables; the others hear of
	// changes from them. Two, so that the loss of one delays nothing.
	readers = 2

	// readMoreAfter is the age of the proof at which twice as many nodes read, and
	// four times as many half as long later: those that read now do not succeed.
	readMoreAfter = 2 * time.Second

	// firstReads is how long after its start a hub first reads at the first start of the whole
	// system: until all nodes have registered, each knows too few others to leave it to them.
	firstReads = 2500 * time.Millisecond

	// registerWait is how long a node waits for the register at the first start of the
	// whole system, and peersWait for its peers, before it may read by itself. Nodes write their
	// rows within two seconds, and the store may take another for the last of them.
	registerWait = 4 * time.Second
	peersWait    = 1500 * time.Millisecond

	// firstOdds is one in how many nodes reads at first where none has told this one; every widenEvery twice as many do, so
	// that some do soon, however many there are, and not all at once.
	firstOdds  = 1024
	widenEvery = 500 * time.Millisecond

	// spokesRead is how many spokes try to read at a time where the hubs do not succeed, and
	// spokesTurn how long they try before it is the turn of others: the store may turn some
	// machines away, but not all nodes should ask one that is away.
	spokesRead = 8
	spokesTurn = 2 * time.Second

	// probeAlone is how long after a start the configuration alone is asked for, until
	// an answer proves it: where the store is away when all nodes start, each of their
	// calls fails and is paid for. Later the other calls are tried as well, since a store
	// may answer for some tables only.
	probeAlone = 3 * time.Second

	// probePoll is how often a node that starts looks whether it has the proof.
	probePoll = 10 * time.Millisecond

	// cantReadFor is how long a node whose call failed, or that had no answer for
	// too long, leaves reading to others.
	cantReadFor = 3 * time.Second

	// readSilenceShare of the time within which new work at an engine that leaves must
	// stop is how long a reader may be without an answer before another reads in its
	// place: half as long again as its shortest call waits.
	readSilenceShare = 0.6
)

// candidate is a node that may read the platform's tables.
type candidate struct {
	fails bool    // fails says that it had no answer of the store lately.
	cores float64 // cores is the processor that it may use.
	hash  uint64  // hash orders candidates alike at all nodes.
}

// newCandidate returns a candidate; cores is 0 where it is not known.
func newCandidate(name string, cores float64, fails bool) candidate {
	if cores <= 0 {
		cores = 1
	}
	return candidate{fails: fails, cores: cores, hash: xxhash.Sum64String(name)}
}

// before reports whether a candidate should read rather than another: one that
// can, of those the larger, since all others have from it what it reads, and of one size
// the one with the lower hash.
func (c candidate) before(other candidate) bool {
	switch {
	case c.fails != other.fails:
		return !c.fails
	case c.cores != other.cores:
		return c.cores > other.cores
	}
	return c.hash < other.hash
}

// rank returns how many of others come before a candidate.
func (c candidate) rank(others []candidate) int {
	before := 0
	for _, other := range others {
		if other.before(c) {
			before++
		}
	}
	return before
}

// reads reports whether this node should read the platform's tables: whether it
// is among the first of the nodes that are alive and can read. A node
// that hears nobody always reads.
func (e *Edge) reads(now time.Time) bool { return e.readsAs(now, e.settings.Instance) }

// awaitRegister waits, after the store's first answer, until this node knows the others: a
// spoke does not read the engines, but takes them from its hubs.
func (e *Edge) awaitRegister(ctx context.Context) {
	for ctx.Err() == nil && !e.register.Read() && clock.Since(e.startedAt) <= probeAlone {
		pause.For(ctx, probePoll)
	}
	e.gossip.Settle(clock.Now())
}

// awaitAnswer waits until the store has answered since the start, or has not for so
// long that each table is asked for by itself. At the first start of the whole system
// nothing is held back: the register is read first there.
func (e *Edge) awaitAnswer(ctx context.Context) {
	for ctx.Err() == nil {
		now := clock.Now()
		_, proven := e.proof.Age(now)
		if proven || e.settings.FirstStart || now.Sub(e.startedAt) > probeAlone {
			return
		}
		pause.For(ctx, probePoll)
	}
}

// readsAs reports whether the node of a name, with what this one knows, should read.
func (e *Edge) readsAs(now time.Time, self string) bool {
	limit := readers
	age, ok := e.proof.Age(now)
	switch {
	case !ok:
		return e.readsUnproven(now, self)
	case !e.gossip.Hub():
		return age > readMoreAfter*3/2 && e.spokeReads(now)
	case age > readMoreAfter*3/2:
		limit *= 4
	case age > readMoreAfter:
		limit *= 2
	}
	return e.among(now, self, limit)
}

// among reports whether a node is among the first hubs that can read, of which there are to be so many.
func (e *Edge) among(now time.Time, self string, limit int) bool {
	hubs := e.gossip.Hubs(now)
	if len(hubs) < limit {
		return true
	}
	others := make([]candidate, 0, len(hubs))
	for _, p := range hubs {
		silent := ms(int(p.Said.SilentMs)) > e.readSilence()
		others = append(others, newCandidate(p.Name, p.Cores, p.Said.CantRead || silent))
	}
	return newCandidate(self, cores(e.settings), e.cantRead(now)).rank(others) < limit
}

// readsUnproven reports whether the node of a name should read the tables where this one has no proof. When
// the whole system starts for the first time, no caller waits yet: the first hubs read, more of them until they have told
// the others, and those that know nobody by lot. At any other start callers wait, so that
// the node asks for the configuration at once; where its proof has lapsed later, the hubs
// read and a few others.
func (e *Edge) readsUnproven(now time.Time, self string) bool {
	age := now.Sub(e.startedAt)
	starts := !e.settings.FirstStart && age <= peersWait
	switch {
	case e.settings.FirstStart && age < firstReads:
		return false
	case e.settings.FirstStart && !e.register.Read():
		return drawn(self, age-registerWait)
	case e.settings.FirstStart && e.gossip.Hub():
		return e.among(now, self, readers<<min((age-firstReads)/widenEvery, 16))
	case starts || e.gossip.Hub():
		return true
	}
	return age > registerWait && e.spokeReads(now)
}

// drawn reports whether the lot of a node has been drawn after it has waited for a time: first for one in firstOdds, then for
// more, and for all in the end.
func drawn(name string, waited time.Duration) bool {
	if waited < 0 {
		return false
	}
	odds := uint64(firstOdds) >> min(waited/widenEvery, 63)
	return xxhash.Sum64String(name)%max(1, odds) == 0
}

// spokeReads reports whether it is this spoke's turn to read.
func (e *Edge) spokeReads(now time.Time) bool {
	turn := int64(now.Sub(e.startedAt) / spokesTurn)
	lot := xxhash.Sum64String(e.settings.Instance + strconv.FormatInt(turn, 10))
	nodes, _ := e.gossip.Count()
	return !e.cantRead(now) && lot%uint64(nodes) < spokesRead
}

// cantRead reports whether this node had a failed call, or no answer for too
// long, lately.
func (e *Edge) cantRead(now time.Time) bool {
	for _, at := range []*time.Time{e.lostAt.Load(), e.silentAt.Load()} {
		if at != nil && now.Sub(*at) < cantReadFor {
			return true
		}
	}
	return false
}

// wakeReaders ends the pauses of the readers.
func (e *Edge) wakeReaders() {
	for _, wake := range []chan struct{}{e.wakeConfig, e.wakeEngines} {
		select {
		case wake <- struct{}{}:
		default: // It is awake or was woken.
		}
	}
}

// watchSilence returns how long this node has had no answer of the store though
// it reads, or -1 if it does not read. From a certain time on it leaves reading to
// others. It is asked in each turn of the gossip, and wakes the readers in time.
func (e *Edge) watchSilence(now time.Time) time.Duration {
	if !e.reads(now) {
		e.quietSince.Store(nil)
		return -1
	}
	e.wakeReaders()
	since := e.quietSince.Load()
	if since == nil {
		e.quietSince.Store(&now)
		return 0
	}
	silent := now.Sub(*since)
	if silent > e.readSilence() && !e.cantRead(now) {
		e.log.Warn("store silent", "ms", silent.Milliseconds())
		e.silentAt.Store(&now)
	}
	return silent
}

// readSilence returns how long a reader may be without an answer.
func (e *Edge) readSilence() time.Duration { return share(readSilenceShare, e.settings.EngineDrainMs) }

// answered records an answer of the store.
func (e *Edge) answered(at time.Time) { e.quietSince.Store(&at) }

// lost records that the store could not be called.
func (e *Edge) lost(now time.Time) {
	e.lostAt.Store(&now)
	e.discovery.StoreUnavailable(now)
}

// proven records an answer of the store by which the configuration in force was
// the newest at a moment.
func (e *Edge) proven(at time.Time) {
	e.proof.Renew(at)
	e.answered(at)
}
