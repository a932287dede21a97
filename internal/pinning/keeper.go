package pinning

import (
	"context"
	"errors"
	"fmt"
	"log/slog"
	"sync"
	"sync/atomic"
	"time"

	"github.com/sourcegraph/jsonrpc2"

	"github.com/croftturn/croftturn/internal/clock"
	"github.com/croftturn/croftturn/internal/pause"
)

const (
	// MethodRecord and MethodFind are the peer methods that keep records and return one.
	MethodRecord = "pin-record"
	MethodFind   = "pin-find"

	// recordTimeout bounds the first event's wait until another node has the record: several round trips
	// to a node of the same hall, and one to another region.
	recordTimeout = 25 * time.Millisecond

	// repeatDelay is how long after a record that no other node confirmed it is given out again: by then
	// a node that has just started knows others, and a dead one is known to be dead.
	repeatDelay = 1500 * time.Millisecond

	// callTimeout bounds a call to a peer.
	callTimeout = 150 * time.Millisecond

	// handoverTimeout bounds the calls that give another node many records, and maxBatch is how many go
	// into one call.
	handoverTimeout = time.Second
	maxBatch        = 500
)

const (
	// FromSelf means that this node has the record.
	FromSelf Source = "own"

	// FromPeer means that another node has it.
	FromPeer Source = "peer"
)

var (
	// ErrUnknown is returned if no node has a record of a stream.
	ErrUnknown = errors.New("pinning: no node has a record of the stream")

	// ErrUnanswered is returned if no node that answered has a record, and others may have one.
	ErrUnanswered = errors.New("pinning: nodes that may have a record of the stream did not answer")
)

type (
	// Source says which node had a record.
	Source string

	// Caller calls peers.
	Caller interface {
		Call(ctx context.Context, address, method string, params, result any) error
	}

	// Members knows the other nodes that keep records.
	Members interface {
		// Keepers returns those that are alive. direct is false if this node does not know all that
		// take callers; then they pass records and questions on.
		Keepers(now time.Time) (list []Node, direct bool)

		// Complete reports whether no node has gone silent lately that may have records.
		Complete(now time.Time) bool
	}

	// Keeper keeps the records of streams at this node and a few others.
	Keeper struct {
		members Members
		caller  Caller
		log     *slog.Logger
		records records

		unconfirmed atomic.Int64 // unconfirmed counts first events that were passed on before another node had the record.

		ctx    context.Context
		cancel context.CancelFunc
		mu     sync.Mutex // mu guards closed and the start of goroutines that Close waits for.
		closed bool
		wg     sync.WaitGroup
	}

	// wireRecord is the record of a stream in messages.
	wireRecord struct {
		Stream  []byte `json:"s"`
		Pool    string `json:"p,omitempty"`
		Version string `json:"v,omitempty"`
		AgeMs   int64  `json:"a,omitempty"`
	}

	// RecordRequest gives records to a node.
	RecordRequest struct {
		Records []wireRecord `json:"r"`
		Relay   bool         `json:"f,omitempty"` // Relay makes the receiver give them to the nodes that keep them.
	}

	// RecordReply confirms that a node has the records.
	RecordReply struct{}

	// FindRequest asks a node for the record of a stream.
	FindRequest struct {
		Stream []byte `json:"s"`
		Relay  bool   `json:"f,omitempty"` // Relay makes the receiver ask the nodes that keep it.
	}

	// FindReply is a record, if there is one.
	FindReply struct {
		Found      bool   `json:"k,omitempty"`
		Pool       string `json:"p,omitempty"`
		Version    string `json:"v,omitempty"`
		AgeMs      int64  `json:"a,omitempty"`
		Unanswered bool   `json:"u,omitempty"` // Unanswered means that nodes which may have it did not answer the receiver.
	}

	// Found is the origin of a stream.
	Found struct {
		Origin
		From Source
		Age  time.Duration // Age is how long ago the first event was passed on.
	}
)

// NewKeeper returns a Keeper without records. Close ends it.
func NewKeeper(m Members, c Caller, log *slog.Logger) *Keeper {
	k := &Keeper{members: m, caller: c, log: log}
	k.ctx, k.cancel = context.WithCancel(context.Background())
	return k
}

// Record records where a stream began. It returns once another node has the record or, if none confirms
// that in time, after recordTimeout.
func (k *Keeper) Record(ctx context.Context, now time.Time, s Stream, o Origin) {
	k.records.put(now, s, o, now)
	if k.confirmed(ctx, now, s, o) {
		return
	}
	k.unconfirmed.Add(1)
	k.start(func() {
		pause.For(k.ctx, repeatDelay)
		k.Refresh(clock.Now(), s, Found{Origin: o, Age: clock.Since(now)})
	})
}

// confirmed gives a new record to the nodes that keep it, and reports whether one of them confirms it in
// time.
func (k *Keeper) confirmed(ctx context.Context, now time.Time, s Stream, o Origin) bool {
	confirmed, replicas := k.replicate(now, wireRecord{Stream: s[:], Pool: o.Pool, Version: o.Version})
	timeout := time.NewTimer(recordTimeout)
	defer timeout.Stop()
	for range replicas {
		select {
		case ok := <-confirmed:
			if ok {
				return true
			}
		case <-timeout.C:
			return false
		case <-ctx.Done():
			return false
		}
	}
	return false
}

// Refresh makes the nodes that keep a record now keep it for longer.
func (k *Keeper) Refresh(now time.Time, s Stream, f Found) {
	k.records.put(now, s, f.Origin, now.Add(-f.Age))
	k.replicate(now, wireRecord{Stream: s[:], Pool: f.Pool, Version: f.Version, AgeMs: f.Age.Milliseconds()})
}

// replicate gives a record to the nodes that keep it, and returns their number and a channel that gets the
// outcome of each call.
func (k *Keeper) replicate(now time.Time, r wireRecord) (confirmed <-chan bool, replicas int) {
	nodes, direct := k.members.Keepers(now)
	nodes = rank(Stream(r.Stream), nodes, writeReplicas)
	out := make(chan bool, len(nodes))
	for _, n := range nodes {
		k.start(func() {
			out <- k.give(n, &RecordRequest{Records: []wireRecord{r}, Relay: !direct}, callTimeout)
		})
	}
	return out, len(nodes)
}

// give gives records to a node and reports whether it has them.
func (k *Keeper) give(n Node, req *RecordRequest, timeout time.Duration) bool {
	ctx, cancel := context.WithTimeout(k.ctx, timeout)
	defer cancel()
	err := k.caller.Call(ctx, n.Address, MethodRecord, req, &RecordReply{})
	if err != nil {
		k.log.Debug("could not give records of streams to a node", "peer", n.Name, "records", len(req.Records), "error", err.Error())
	}
	return err == nil
}

// HandleRecord keeps the records that a peer gives.
func (k *Keeper) HandleRecord(_ context.Context, req *RecordRequest) (any, error) {
	now := clock.Now()
	for _, r := range req.Records {
		if len(r.Stream) != len(Stream{}) {
			return nil, fmt.Errorf("record: name of %d bytes", len(r.Stream))
		}
		k.records.put(now, Stream(r.Stream), Origin{Pool: r.Pool, Version: r.Version}, now.Add(-time.Duration(r.AgeMs)*time.Millisecond))
		if req.Relay {
			k.replicate(now, r)
		}
	}
	return &RecordReply{}, nil
}

// Find returns where a stream began. The error is ErrUnknown or ErrUnanswered if that is not known.
func (k *Keeper) Find(ctx context.Context, now time.Time, s Stream) (Found, error) {
	if o, at, ok := k.records.get(s); ok {
		return Found{Origin: o, From: FromSelf, Age: now.Sub(at)}, nil
	}
	nodes, direct := k.members.Keepers(now)
	nodes = rank(s, nodes, readReplicas)
	ctx, cancel := context.WithTimeout(ctx, callTimeout)
	defer cancel()
	replies := make(chan *FindReply, len(nodes))
	for _, n := range nodes {
		k.start(func() { replies <- k.ask(ctx, n, &FindRequest{Stream: s[:], Relay: !direct}) })
	}
	unanswered := !k.members.Complete(now) || len(nodes) == 0 && !direct
	for range nodes {
		select {
		case r := <-replies:
			if r.Found {
				return Found{Origin: Origin{Pool: r.Pool, Version: r.Version}, From: FromPeer, Age: time.Duration(r.AgeMs) * time.Millisecond}, nil
			}
			unanswered = unanswered || r.Unanswered
		case <-ctx.Done():
			return Found{}, ErrUnanswered
		}
	}
	if unanswered {
		return Found{}, ErrUnanswered
	}
	return Found{}, ErrUnknown
}

// ask asks a node for a record. A node of a release without records has none.
func (k *Keeper) ask(ctx context.Context, n Node, req *FindRequest) *FindReply {
	reply := &FindReply{}
	err := k.caller.Call(ctx, n.Address, MethodFind, req, reply)
	var failure *jsonrpc2.Error
	if err != nil && !(errors.As(err, &failure) && failure.Code == jsonrpc2.CodeMethodNotFound) {
		return &FindReply{Unanswered: true}
	}
	return reply
}

// HandleFind returns the record of a stream, if this node has it or, when asked to, finds it.
func (k *Keeper) HandleFind(ctx context.Context, req *FindRequest) (any, error) {
	if len(req.Stream) != len(Stream{}) {
		return nil, fmt.Errorf("find: name of %d bytes", len(req.Stream))
	}
	now, s := clock.Now(), Stream(req.Stream)
	if req.Relay {
		f, err := k.Find(ctx, now, s)
		return &FindReply{Found: err == nil, Pool: f.Pool, Version: f.Version, AgeMs: f.Age.Milliseconds(), Unanswered: errors.Is(err, ErrUnanswered)}, nil
	}
	o, at, ok := k.records.get(s)
	if !ok {
		return &FindReply{}, nil
	}
	return &FindReply{Found: true, Pool: o.Pool, Version: o.Version, AgeMs: now.Sub(at).Milliseconds()}, nil
}

// HandOver gives all records of this node, which stops, to the other nodes that keep them.
func (k *Keeper) HandOver(now time.Time) {
	nodes, direct := k.members.Keepers(now)
	batches := map[string][]wireRecord{}
	for s, r := range k.records.all(now) {
		for _, n := range rank(s, nodes, writeReplicas) {
			batches[n.Name] = append(batches[n.Name], r)
		}
	}
	given := 0
	for _, n := range nodes {
		given += k.giveAll(n, batches[n.Name], !direct)
	}
	k.log.Info("records of streams handed over", "records", given)
}

// Restarted gives a peer that has started again, and so has lost its records, those that it is to keep.
// It does not wait for that.
func (k *Keeper) Restarted(now time.Time, peer string) {
	k.start(func() {
		nodes, direct := k.members.Keepers(now)
		if !direct {
			return
		}
		var at Node
		var batch []wireRecord
		for s, r := range k.records.all(now) {
			for _, n := range rank(s, nodes, writeReplicas) {
				if n.Name == peer {
					at, batch = n, append(batch, r)
				}
			}
		}
		if given := k.giveAll(at, batch, false); given > 0 {
			k.log.Info("records of streams given to a peer that has started again", "peer", peer, "records", given)
		}
	})
}

// giveAll gives a node records in several calls, and returns how many it has taken.
func (k *Keeper) giveAll(n Node, batch []wireRecord, relay bool) (given int) {
	for len(batch) > 0 {
		size := min(len(batch), maxBatch)
		if !k.give(n, &RecordRequest{Records: batch[:size], Relay: relay}, handoverTimeout) {
			return given
		}
		given, batch = given+size, batch[size:]
	}
	return given
}

// Counts returns the number of records here, of those dropped before their time, and of first events that
// were passed on before another node had the record.
func (k *Keeper) Counts() (kept, dropped, unconfirmed int64) {
	kept, dropped = k.records.counts()
	return kept, dropped, k.unconfirmed.Load()
}

// start runs a function in a goroutine that Close waits for, unless the Keeper is closed.
func (k *Keeper) start(f func()) {
	k.mu.Lock()
	defer k.mu.Unlock()
	if !k.closed {
		k.wg.Go(f)
	}
}

// Close ends all calls and waits for them.
func (k *Keeper) Close() {
	k.mu.Lock()
	k.closed = true
	k.mu.Unlock()
	k.cancel()
	k.wg.Wait()
}
