package limit

import (
	"context"
	"errors"
	"fmt"
	"log/slog"
	"time"

	"github.com/croftturn/croftturn/internal/clock"
)

const (
	// MethodPermit is the peer method that requests a permit.
	MethodPermit = "permit"

	// callTimeout bounds the call for a permit: a few round trips to another hall.
	callTimeout = 150 * time.Millisecond

	// retryDelay is how long this node sends nothing to an engine after its issuer did not answer. Another issuer is chosen
	// once the peers consider that one gone.
	retryDelay = 200 * time.Millisecond
)

// errNoIssuer is returned if no node that could issue the permits is reachable.
var errNoIssuer = errors.New("limit: no reachable node issues the permits")

type (
	// Caller calls peers.
	Caller interface {
		Call(ctx context.Context, address, method string, params, result any) error
	}

	// IssuerNode is the node that issues the permits for an engine.
	IssuerNode struct {
		Self    bool   // Self is set if it is this node.
		Address string // Address is its peer address.
	}

	// IssuerLookup returns the node that issues the permits for an engine in a hall; ok is false if none is reachable.
	IssuerLookup func(now time.Time, hall, engine string) (p IssuerNode, ok bool)

	// Permits obtains permits for engines that have a limit, and issues those that this node is responsible for.
	Permits struct {
		limits         *Limits
		issuer         *Issuer
		caller         Caller
		lookup         IssuerLookup
		reachableShare func(now time.Time) float64
		log            *slog.Logger
	}

	// Permit is the result of asking for a permit.
	Permit struct {
		Issued bool
		Wait   time.Duration // Wait is the time until the permit may be used or, if none was issued, until one is expected to be available.
		Rate   float64       // Rate is the engine's limit in requests per second; 0 if it has none.
		Age    time.Duration // Age is how long ago the engine announced the limit.
	}

	// PermitRequest asks a peer for a permit, and passes on the limit that the sender knows.
	PermitRequest struct {
		Hall      string  `json:"h"`
		Engine    string  `json:"e"`
		Rate      float64 `json:"r"`
		AgeMs     int64   `json:"a"`
		MaxWaitMs int64   `json:"w"` // MaxWaitMs is how long the sender can wait for the permit.

		// Forwarded is set if a node that does not issue the permits forwarded the request.
		Forwarded bool `json:"p,omitempty"`
	}

	// PermitReply says whether a permit was issued, and the time until it may be used or until one is available.
	PermitReply struct {
		Issued bool    `json:"i,omitempty"`
		WaitMs float64 `json:"w,omitempty"`
	}
)

// NewPermits returns Permits that enforce the given limits. reachableShare is the share of all nodes that this one reaches:
// in a network partition the other side may have its own issuer, which issues the rest of the rate.
func NewPermits(limits *Limits, caller Caller, lookup IssuerLookup, reachableShare func(now time.Time) float64, log *slog.Logger) *Permits {
	return &Permits{limits: limits, issuer: NewIssuer(), caller: caller, lookup: lookup, reachableShare: reachableShare, log: log}
}

// Answered applies the limit in an engine's answer to a request that was sent at a time.
func (p *Permits) Answered(now, sent time.Time, engine string, rate float64, limited bool) {
	p.limits.Answered(now, sent, engine, rate, limited)
}

// Take obtains a permit to send one request to an engine in a hall, available within maxWait. If none is available by then,
// it records when one is expected.
func (p *Permits) Take(ctx context.Context, now time.Time, hall, engine string, maxWait time.Duration) Permit {
	rate, age, limited := p.limits.Rate(now, engine)
	if !limited {
		return Permit{Issued: true}
	}
	reply, err := p.requestPermit(ctx, now, &PermitRequest{Hall: hall, Engine: engine, Rate: rate, AgeMs: age.Milliseconds(), MaxWaitMs: maxWait.Milliseconds()})
	if err != nil {
		p.log.Warn("cannot obtain a permit for an engine", "engine", engine, "rate", rate, "age_ms", age.Milliseconds(), "error", err.Error())
		reply = &PermitReply{WaitMs: float64(retryDelay) / float64(time.Millisecond)}
	}
	permit := Permit{Issued: reply.Issued, Wait: time.Duration(reply.WaitMs * float64(time.Millisecond)), Rate: rate, Age: age}
	if !permit.Issued {
		p.limits.SetNextPermit(engine, now.Add(permit.Wait))
	}
	return permit
}

// requestPermit asks the node that issues the permits for an engine.
func (p *Permits) requestPermit(ctx context.Context, now time.Time, req *PermitRequest) (*PermitReply, error) {
	node, ok := p.lookup(now, req.Hall, req.Engine)
	switch {
	case !ok:
		return nil, errNoIssuer
	case node.Self:
		return p.issue(now, req), nil
	}
	ctx, cancel := context.WithTimeout(ctx, callTimeout)
	defer cancel()
	reply := &PermitReply{}
	if err := p.caller.Call(ctx, node.Address, MethodPermit, req, reply); err != nil {
		return nil, fmt.Errorf("request a permit: %w", err)
	}
	return reply, nil
}

// HandleRequest answers a peer's request for a permit. Nodes may disagree on who issues the permits, and a node that knows
// only its own hall asks a node there, so a request is forwarded once.
func (p *Permits) HandleRequest(ctx context.Context, req *PermitRequest) (any, error) {
	now := clock.Now()
	if req.Forwarded {
		return p.issue(now, req), nil
	}
	req.Forwarded = true
	return p.requestPermit(ctx, now, req)
}

// issue issues a permit, if one is available in time, by the newest limit known to either node.
func (p *Permits) issue(now time.Time, req *PermitRequest) *PermitReply {
	p.limits.MergeGossip(now, []GossipEntry{{Engine: req.Engine, Rate: req.Rate, AgeMs: req.AgeMs}})
	rate, _, limited := p.limits.Rate(now, req.Engine)
	if !limited {
		return &PermitReply{Issued: true} // The limit has ended; the asking node will learn of it by gossip.
	}
	wait, ok := p.issuer.Issue(now, req.Engine, rate*p.reachableShare(now), time.Duration(req.MaxWaitMs)*time.Millisecond)
	return &PermitReply{Issued: ok, WaitMs: float64(wait) / float64(time.Millisecond)}
}
