package edge

import (
	"context"
	"strconv"
	"time"

	"github.com/cespare/xxhash/v2"

	"github.com/croftturn/croftturn/internal/clock"
	"github.com/croftturn/croftturn/internal/pause"
	"github.com/croftturn/croftturn/platform"
)

const (
	// readerCount is how many nodes read the platform's tables; the others get changes from them.
	// With two, the loss of one causes no delay.
	readerCount = 2

	// moreReadersAfter is the proof age from which twice as many nodes read, and four times as
	// many from one and a half times this age: the present readers are failing.
	moreReadersAfter = 2 * time.Second

	// firstReadDelay is how long a hub waits before it first reads at the first start of the whole
	// system. Until all nodes have registered, each knows too few others to leave the reading to
	// them.
	firstReadDelay = 2500 * time.Millisecond

	// registerWait is how long a node waits for the register at the first start of the whole
	// system, and peersWait for its peers, before it may read by itself. Nodes write their rows
	// within two seconds, and the store may take another second for the last of them.
	registerWait = 4 * time.Second
	peersWait    = 1500 * time.Millisecond

	// initialReadOdds is such that one in this many nodes reads at first if a node has heard from
	// no others. The number is halved at every oddsHalvingInterval, so that some nodes read soon
	// however many there are, and not all at once.
	initialReadOdds     = 1024
	oddsHalvingInterval = 500 * time.Millisecond

	// spokeReaderCount is how many spokes read at a time when the hubs fail, and spokeTurnTime how
	// long before others take their turn. The store may reject calls of some machines only, but
	// not all nodes should call a store that is unavailable.
	spokeReaderCount = 8
	spokeTurnTime    = 2 * time.Second

	// configOnlyTime is how long after a start only the configuration is read, until an answer
	// proves it. If the store is unavailable when all nodes start, every call fails and is still
	// paid for. Later the other tables are tried too, since a store may answer for some tables
	// only.
	configOnlyTime = 3 * time.Second

	// proofPollInterval is how often a starting node checks whether it has a proof.
	proofPollInterval = 10 * time.Millisecond

	// readFailureTime is how long a node leaves reading to others after a call failed or went
	// unanswered for too long.
	readFailureTime = 3 * time.Second

	// maxSilenceShare is how long a reader may go without an answer before another reads instead,
	// as a share of the time within which new work at a leaving engine must stop. It is one and a
	// half times the share for which its shortest call waits.
	maxSilenceShare = 0.6

	// storeLossTime is how long after a failed call to the store draining engines get no requests:
	// changes of their entries may not reach this node.
	storeLossTime = 300 * time.Millisecond
)

// candidate is a node that may read the platform's tables.
type candidate struct {
	failing bool    // failing says that its recent calls to the store failed or went unanswered.
	cores   float64 // cores is the processor capacity it may use.
	hash    uint64  // hash gives all nodes the same order of candidates.
}

// newCandidate returns a candidate; cores is 0 if unknown.
func newCandidate(name string, cores float64, fails bool) candidate {
	if cores <= 0 {
		cores = 1
	}
	return candidate{failing: fails, cores: cores, hash: xxhash.Sum64String(name)}
}

// before reports whether a candidate should read in preference to another. Nodes that can read
// come first, then larger ones, since all others get the data from the readers, then those with
// the lower hash.
func (c candidate) before(other candidate) bool {
	switch {
	case c.failing != other.failing:
		return !c.failing
	case c.cores != other.cores:
		return c.cores > other.cores
	}
	return c.hash < other.hash
}

// rank returns how many of the others come before a candidate.
func (c candidate) rank(others []candidate) int {
	before := 0
	for _, other := range others {
		if other.before(c) {
			before++
		}
	}
	return before
}

// shouldRead reports whether this node should read the platform's tables: whether it is among the
// first of the nodes that are alive and can read. A node that hears from no other always reads.
func (e *Edge) shouldRead(now time.Time) bool { return e.shouldReadAs(now, e.settings.Instance) }

// awaitRegister waits until this node knows the others from the register, at most until
// configOnlyTime after the start: a spoke gets the engines from its hubs instead of reading them.
// It is called after the store's first answer.
func (e *Edge) awaitRegister(ctx context.Context) {
	for ctx.Err() == nil && !e.register.Joined() && clock.Since(e.startedAt) <= configOnlyTime {
		pause.For(ctx, proofPollInterval)
	}
	e.gossip.UpdateHubs(clock.Now())
}

// awaitAnswer waits for the store's first answer, at most until configOnlyTime after the start;
// from then on each table is read regardless. It does not wait at the first start of the whole
// system, when the register is read first.
func (e *Edge) awaitAnswer(ctx context.Context) {
	for ctx.Err() == nil {
		now := clock.Now()
		_, proven := e.proof.Age(now)
		if proven || e.configReadAt.Load() != nil || e.settings.FirstStart || now.Sub(e.startedAt) > configOnlyTime {
			return
		}
		pause.For(ctx, proofPollInterval)
	}
}

// shouldReadAs reports whether the named node should read, judged by what this node knows.
func (e *Edge) shouldReadAs(now time.Time, self string) bool {
	limit := readerCount
	age, ok := e.proof.Age(now)
	switch {
	case !ok:
		return e.shouldReadUnproven(now, self)
	case !e.gossip.IsHub():
		return e.hubsLackEras(now) || age > moreReadersAfter*3/2 && e.spokeShouldRead(now)
	case age > moreReadersAfter*3/2:
		limit *= 4
	case age > moreReadersAfter:
		limit *= 2
	}
	return e.rankedWithin(now, self, limit)
}

// hubsLackEras reports whether no hub tells of the era that this node knows, as hubs of older releases do not. Their
// changes are not followed, since these may be of any era.
func (e *Edge) hubsLackEras(now time.Time) bool {
	at, _ := e.configTable.Position()
	if at.Era == 0 {
		return false
	}
	older := false
	for _, p := range e.gossip.Hubs(now) {
		if p.State.Eras[platform.TableConfig] >= at.Era {
			return false
		}
		older = older || p.State.Versions[platform.TableConfig] > 0 // Others have read nothing yet.
	}
	return older
}

// rankedWithin reports whether a node is among the first limit hubs that can read.
func (e *Edge) rankedWithin(now time.Time, self string, limit int) bool {
	hubs := e.gossip.Hubs(now)
	if len(hubs) < limit {
		return true
	}
	others := make([]candidate, 0, len(hubs))
	at, _ := e.configTable.Position()
	for _, p := range hubs {
		behind := at.Era > 0 && p.State.Eras[platform.TableConfig] == 0 // Its release may not know eras: nobody here follows it.
		silent := ms(int(p.State.StoreSilentMs)) > e.maxSilence()
		others = append(others, newCandidate(p.Name, p.Cores, p.State.CannotReadStore || silent || behind))
	}
	return newCandidate(self, cores(e.settings), e.readFailing(now)).rank(others) < limit
}

// shouldReadUnproven reports whether the named node should read while this node has no proof. At
// the first start of the whole system no caller waits yet: the first hubs read, more of them over
// time until their gossip reaches the others, and nodes that know no others are drawn by lot. At any
// other start callers wait, so the node reads the configuration at once. If the proof expires
// later, the hubs and a few spokes read.
func (e *Edge) shouldReadUnproven(now time.Time, self string) bool {
	age := now.Sub(e.startedAt)
	starts := !e.settings.FirstStart && age <= peersWait
	switch {
	case e.settings.FirstStart && age < firstReadDelay:
		return false
	case e.settings.FirstStart && !e.register.Joined():
		return drawnByLot(self, age-registerWait)
	case e.settings.FirstStart && e.gossip.IsHub():
		return e.rankedWithin(now, self, readerCount<<min((age-firstReadDelay)/oddsHalvingInterval, 16))
	case starts || e.gossip.IsHub():
		return true
	}
	return age > registerWait && e.spokeShouldRead(now)
}

// drawnByLot reports whether a node that has waited for a time is selected by its hash: one in
// initialReadOdds nodes at first, more later, and all in the end.
func drawnByLot(name string, waited time.Duration) bool {
	if waited < 0 {
		return false
	}
	odds := uint64(initialReadOdds) >> min(waited/oddsHalvingInterval, 63)
	return xxhash.Sum64String(name)%max(1, odds) == 0
}

// spokeShouldRead reports whether it is this spoke's turn to read.
func (e *Edge) spokeShouldRead(now time.Time) bool {
	turn := int64(now.Sub(e.startedAt) / spokeTurnTime)
	lot := xxhash.Sum64String(e.settings.Instance + strconv.FormatInt(turn, 10))
	nodes, _ := e.gossip.TotalNodes()
	return !e.readFailing(now) && lot%uint64(nodes) < spokeReaderCount
}

// readFailing reports whether a call of this node recently failed or went unanswered for too long.
func (e *Edge) readFailing(now time.Time) bool {
	for _, at := range []*time.Time{e.storeFailedAt.Load(), e.storeSilentAt.Load()} {
		if at != nil && now.Sub(*at) < readFailureTime {
			return true
		}
	}
	return false
}

// wakeReaders wakes the readers that are waiting.
func (e *Edge) wakeReaders() {
	for _, wake := range []chan struct{}{e.wakeConfig, e.wakeEngines} {
		select {
		case wake <- struct{}{}:
		default: // A wake-up is already pending.
		}
	}
}

// checkSilence returns how long the store has not answered this node, or -1 if the node does not
// read. Beyond maxSilence the node leaves reading to others. It is called in each gossip round and
// also wakes the readers.
func (e *Edge) checkSilence(now time.Time) time.Duration {
	if !e.shouldRead(now) {
		e.noAnswerSince.Store(nil)
		return -1
	}
	e.wakeReaders()
	since := e.noAnswerSince.Load()
	if since == nil {
		e.noAnswerSince.Store(&now)
		return 0
	}
	silent := now.Sub(*since)
	if silent > e.maxSilence() && !e.readFailing(now) {
		e.log.Warn("store does not answer; leaving the reading to other nodes", "ms", silent.Milliseconds())
		e.storeSilentAt.Store(&now)
	}
	return silent
}

// maxSilence returns how long a reader may go without an answer.
func (e *Edge) maxSilence() time.Duration { return scaleMs(maxSilenceShare, e.settings.EngineDrainMs) }

// storeAnswered records an answer of the store.
func (e *Edge) storeAnswered(at time.Time) { e.noAnswerSince.Store(&at) }

// storeFailed records a failed call to the store.
func (e *Edge) storeFailed(now time.Time) {
	e.storeFailedAt.Store(&now)
	e.storeLost(now)
}

// storeLost records that a call to the store failed at a time, here or at a peer.
func (e *Edge) storeLost(at time.Time) {
	e.discovery.StoreUnavailable(at)
	if known := e.storeLostAt.Load(); known == nil || at.After(*known) {
		e.storeLostAt.Store(&at)
	}
}

// storeKnown reports whether no call to the store is known to have failed recently.
func (e *Edge) storeKnown(now time.Time) bool {
	lost := e.storeLostAt.Load()
	return lost == nil || now.Sub(*lost) > storeLossTime
}

// configProven records an answer of the store that proves that the configuration in force was the
// newest at that time.
func (e *Edge) configProven(at time.Time) {
	e.noteAnswer(at)
	e.proveConfig(at)
	e.storeAnswered(at)
}

// proveConfig renews the proof by an answer of the store, unless that may lack what operators had written.
func (e *Edge) proveConfig(at time.Time) {
	if e.answersProve(at) && !e.mayLackWrites(at) {
		e.proof.Renew(at)
	}
}
