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
	// MethodPermit is the peers' method that takes a permit.
	MethodPermit = "permit"

	// callTimeout bounds the question for a permit: a few times the way to another hall and back.
	callTimeout = 150 * time.Millisecond

	// callPause is how long an engine gets nothing of this node whose issuer did not answer. Another issuer is known once the
	// peers count it as gone.
	callPause = 200 * time.Millisecond
)

// errNoIssuer says that no node that issues the permits is reached.
var errNoIssuer = errors.New("limit: no node issues the permits")

type (
	// Caller calls peers.
	Caller interface {
		Call(ctx context.Context, address, method string, params, result any) error
	}

	// Place is the node that issues the permits for an engine.
	Place struct {
		Self    bool   // Self says that it is this one.
		Address string // Address is where it is called.
	}

	// Places finds the node that issues the permits for an engine in a hall; ok is false where none can be reached.
	Places func(now time.Time, hall, engine string) (p Place, ok bool)

	// Permits takes permits for engines that have a limit, and issues those for which this node is the one.
	Permits struct {
		limits *Limits
		issuer *Issuer
		caller Caller
		places Places
		share  func(now time.Time) float64
		log    *slog.Logger
	}

	// Permit is the answer to a request that needs one for its engine.
	Permit struct {
		Issued bool
		Wait   time.Duration // Wait is how long it is until the permit may be used or, where none was issued, until one is expected to be free.
		Rate   float64       // Rate is the engine's limit, in requests a second; 0 if it has none.
		Age    time.Duration // Age is how long ago the engine said so.
	}

	// PermitRequest asks a peer for a permit. It tells what the asking node knows of the limit.
	PermitRequest struct {
		Hall      string  `json:"h"`
		Engine    string  `json:"e"`
		Rate      float64 `json:"r"`
		AgeMs     int64   `json:"a"`
		LongestMs int64   `json:"w"` // LongestMs is how long the asking node can wait for the permit.

		// Passed says that a node passed the question on which is not the one that issues these permits.
		Passed bool `json:"p,omitempty"`
	}

	// PermitReply tells whether a permit was issued, and how long it is until it may be used or one is free.
	PermitReply struct {
		Issued bool    `json:"i,omitempty"`
		WaitMs float64 `json:"w,omitempty"`
	}
)

// NewPermits returns permits by the limits that are known. share is the part of all nodes that this one reaches: nodes that
// were cut off may have an issuer of their own, which issues the rest.
func NewPermits(limits *Limits, caller Caller, places Places, share func(now time.Time) float64, log *slog.Logger) *Permits {
	return &Permits{limits: limits, issuer: NewIssuer(), caller: caller, places: places, share: share, log: log}
}

// Answered takes what an engine said of its limit in an answer to a request that was sent at a moment.
func (p *Permits) Answered(now, sent time.Time, engine string, rate float64, limited bool) {
	p.limits.Answered(now, sent, engine, rate, limited)
}

// Take takes a permit to send one request to an engine in a hall, which may be used after a wait, the longest at most. Where none
// is free by then the limits tell when one may be.
func (p *Permits) Take(ctx context.Context, now time.Time, hall, engine string, longest time.Duration) Permit {
	rate, age, limited := p.limits.Rate(now, engine)
	if !limited {
		return Permit{Issued: true}
	}
	reply, err := p.ask(ctx, now, &PermitRequest{Hall: hall, Engine: engine, Rate: rate, AgeMs: age.Milliseconds(), LongestMs: longest.Milliseconds()})
	if err != nil {
		p.log.Warn("permit not asked for", "engine", engine, "rate", rate, "age_ms", age.Milliseconds(), "error", err.Error())
		reply = &PermitReply{WaitMs: float64(callPause) / float64(time.Millisecond)}
	}
	permit := Permit{Issued: reply.Issued, Wait: time.Duration(reply.WaitMs * float64(time.Millisecond)), Rate: rate, Age: age}
	if !permit.Issued {
		p.limits.Close(engine, now.Add(permit.Wait))
	}
	return permit
}

// ask asks the node that issues the permits for an engine.
func (p *Permits) ask(ctx context.Context, now time.Time, req *PermitRequest) (*PermitReply, error) {
	place, ok := p.places(now, req.Hall, req.Engine)
	switch {
	case !ok:
		return nil, errNoIssuer
	case place.Self:
		return p.issue(now, req), nil
	}
	ctx, cancel := context.WithTimeout(ctx, callTimeout)
	defer cancel()
	reply := &PermitReply{}
	if err := p.caller.Call(ctx, place.Address, MethodPermit, req, reply); err != nil {
		return nil, fmt.Errorf("ask for a permit: %w", err)
	}
	return reply, nil
}

// Answer answers a peer that asks for a permit. Nodes may not agree on who issues it, and those that know their own hall alone
// ask one there: the question is passed on once.
func (p *Permits) Answer(ctx context.Context, req *PermitRequest) (any, error) {
	now := clock.Now()
	if req.Passed {
		return p.issue(now, req), nil
	}
	req.Passed = true
	return p.ask(ctx, now, req)
}

// issue issues a permit, if one is free in time, by the newest that is known of the engine's limit.
func (p *Permits) issue(now time.Time, req *PermitRequest) *PermitReply {
	p.limits.Hear(now, []Told{{Engine: req.Engine, Rate: req.Rate, AgeMs: req.AgeMs}})
	rate, _, limited := p.limits.Rate(now, req.Engine)
	if !limited {
		return &PermitReply{Issued: true} // The limit has ended, of which the asking node will hear.
	}
	wait, ok := p.issuer.Issue(now, req.Engine, rate*p.share(now), time.Duration(req.LongestMs)*time.Millisecond)
	return &PermitReply{Issued: ok, WaitMs: float64(wait) / float64(time.Millisecond)}
}
