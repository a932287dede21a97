package limit

import (
	"context"
	"errors"
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

	// PermitRequest asks a peer for a permit. It tells what the asking node knows of the limit.
	PermitRequest struct {
		Engine    string  `json:"e"`
		Rate      float64 `json:"r"`
		AgeMs     int64   `json:"a"`
		LongestMs int64   `json:"w"` // LongestMs is how long the asking node can wait for the permit.
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

// Take takes a permit to send one request to an engine in a hall, which may be used after a wait, the longest at most. ok is
// false where none is free by then; the limits then tell when one may be.
func (p *Permits) Take(ctx context.Context, now time.Time, hall, engine string, longest time.Duration) (wait time.Duration, ok bool) {
	rate, age, limited := p.limits.Rate(now, engine)
	if !limited {
		return 0, true
	}
	req := PermitRequest{Engine: engine, Rate: rate, AgeMs: age.Milliseconds(), LongestMs: longest.Milliseconds()}
	reply, err := p.ask(ctx, now, hall, req)
	if err != nil {
		p.log.Info("permit not asked for", "engine", engine, "rate", rate, "age_ms", req.AgeMs, "error", err.Error())
		p.limits.Close(engine, now.Add(callPause))
		return callPause, false
	}
	wait = time.Duration(reply.WaitMs * float64(time.Millisecond))
	if !reply.Issued {
		p.limits.Close(engine, now.Add(wait))
	}
	return wait, reply.Issued
}

// ask asks the node that issues the permits for an engine.
func (p *Permits) ask(ctx context.Context, now time.Time, hall string, req PermitRequest) (reply PermitReply, err error) {
	place, ok := p.places(now, hall, req.Engine)
	switch {
	case !ok:
		return PermitReply{}, errNoIssuer
	case place.Self:
		return p.issue(now, &req), nil
	}
	ctx, cancel := context.WithTimeout(ctx, callTimeout)
	defer cancel()
	err = p.caller.Call(ctx, place.Address, MethodPermit, &req, &reply)
	return reply, err
}

// Answer answers a peer that asks for a permit.
func (p *Permits) Answer(_ context.Context, req *PermitRequest) (any, error) {
	now := clock.Now()
	reply := p.issue(now, req)
	p.log.Debug("permit asked for", "engine", req.Engine, "rate", req.Rate, "age_ms", req.AgeMs, "issued", reply.Issued, "wait_ms", reply.WaitMs)
	return &reply, nil
}

// issue issues a permit, if one is free in time, by the newest that is known of the engine's limit.
func (p *Permits) issue(now time.Time, req *PermitRequest) PermitReply {
	p.limits.Hear(now, []Told{{Engine: req.Engine, Rate: req.Rate, AgeMs: req.AgeMs}})
	rate, _, limited := p.limits.Rate(now, req.Engine)
	if !limited {
		return PermitReply{Issued: true} // The limit has ended, of which the asking node will hear.
	}
	wait, ok := p.issuer.Issue(now, req.Engine, rate*p.share(now), time.Duration(req.LongestMs)*time.Millisecond)
	return PermitReply{Issued: ok, WaitMs: float64(wait) / float64(time.Millisecond)}
}
