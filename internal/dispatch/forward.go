package dispatch

import (
	"context"
	"errors"
	"fmt"
	"net/http"
	"time"

	"github.com/croftturn/croftturn/internal/clock"
	"github.com/croftturn/croftturn/internal/dial"
	"github.com/croftturn/croftturn/internal/pinning"
	"github.com/croftturn/croftturn/internal/placement"
	"github.com/croftturn/croftturn/internal/routing"
)

// A node that can reach no engine of a pool may still reach other nodes that can. It forwards its requests
// to such a node, which handles them like those of its own callers, and relays the answers. A forwarded request is never forwarded again. Only requests of which nothing was
// sent to an engine, or that may be repeated, are forwarded.

// maxForwards is how many nodes a request is forwarded to until one takes it.
const maxForwards = 3

// errNodeStopped is the failure of a node that stopped while an engine ran a request which was forwarded to it.
var errNodeStopped = errors.New("dispatch: the node stopped")

type (
	// Forwarder sends requests to other nodes.
	Forwarder interface {
		// Choose chooses a node that may reach the engines of a pool, other than those to avoid. For a
		// resumable stream it must be one that keeps streams at the version that began them.
		Choose(now time.Time, pool string, resumable bool, avoid []string) (node, address string, ok bool)

		// Forward sends a request to a node and returns its answer or refusal. The hooks are as in Attempt.
		// The error is ErrNotSent if no byte was sent.
		Forward(ctx context.Context, address string, r *Request, f Forwarded, h dial.Hooks) (*Response, *Refusal, error)
	}

	// Forwarded is what a node tells another of a request besides the request itself. The
	// engines that were tried are not included: the fault is as likely the first node's connectivity.
	// Nor is whether one of them may have run it: a refusal tells what happened at the node that it
	// comes from, so that the first node knows whether another may take the request.
	Forwarded struct {
		From        string        `cbor:"1,keyasint,omitempty"` // From is the node that the caller sent the request to.
		Spent       time.Duration `cbor:"2,keyasint,omitempty"` // Spent is the time since the request arrived there.
		Sent        int           `cbor:"3,keyasint,omitempty"` // Sent is how many engines the request was sent to.
		LastEventID string        `cbor:"4,keyasint,omitempty"` // LastEventID is the event after which a stream goes on; empty for a whole answer.
		Counted     bool          `cbor:"6,keyasint,omitempty"` // Counted is set if the request was counted for the budget of retries.
		Bound       bool          `cbor:"7,keyasint,omitempty"` // Bound is set if the stream may go on at one pool and version only.
		Pool        string        `cbor:"8,keyasint,omitempty"`
		Version     string        `cbor:"9,keyasint,omitempty"`  // Version is that of the engines' software.
		Trial       bool          `cbor:"10,keyasint,omitempty"` // Trial is set if the request is the trial of a held request or of held prompt parts.
		Unpaid      bool          `cbor:"11,keyasint,omitempty"` // Unpaid is set if the request is a retry that the receiving node takes from its budget.
		Config      int           `cbor:"12,keyasint,omitempty"` // Config is the version of the configuration that the sending node knows; 0 if it does not say.
	}
)

// WithForwarder makes a dispatcher forward requests whose engines this node cannot reach.
func WithForwarder(node string, f Forwarder) Option {
	return func(d *Dispatcher) { d.node, d.forwarder = node, f }
}

// restoreForwarded restores the state of a request that another node forwarded.
func (x *exchange) restoreForwarded(f *Forwarded) {
	if f == nil {
		return
	}
	x.sent, x.counted, x.lastEventID, x.unpaid = f.Sent, f.Counted, f.LastEventID, f.Unpaid
	if f.Trial {
		x.trial, x.partTrial = true, clock.Now()
	}
	if f.Bound {
		x.bindTo(pinning.Found{Origin: pinning.Origin{Pool: f.Pool, Version: f.Version}, From: fromNode})
	}
}

// forwardedBy returns the node that forwarded the request, empty if its caller sent it.
func (x *exchange) forwardedBy() string {
	if x.req.Forwarded == nil {
		return ""
	}
	return x.req.Forwarded.From
}

// mayForward reports whether the request may go by way of another node.
func (x *exchange) mayForward() bool {
	return x.d.forwarder != nil && x.reach != nil && x.req.Forwarded == nil && !x.forwardFailed
}

// mustForward reports whether the request should go by way of another node.
func (x *exchange) mustForward() bool {
	if !x.mayForward() {
		return false
	}
	return x.unreachable >= maxUnreachable || x.reach.Unreachable() || x.unreachable > 0 && x.reach.Unconnectable()
}

// forward sends the request by way of another node. handled is false if none took it, so that nothing
// was sent; again is as for attempt.
func (x *exchange) forward(ctx context.Context) (handled, again bool) {
	var avoid []string
	for range maxForwards {
		now := clock.Now()
		if refusal := x.recheckSending(now); refusal != nil {
			x.refuse(*refusal)
			return true, false
		}
		node, address, ok := x.d.forwarder.Choose(now, x.pool, x.resumable(), avoid)
		if !ok || !now.Before(x.deadline) {
			break
		}
		avoid = append(avoid, node)
		resp, refusal, err := x.forwardTo(ctx, now, node, address)
		switch {
		case x.callerLeft(ctx):
			if resp != nil {
				resp.Body.Close()
			}
			x.abortAnswer(clock.Now())
			return true, false
		case errors.Is(err, ErrExpired):
			x.handleExpired(clock.Now(), err)
			return true, false
		case cutOff(ctx):
			if resp != nil {
				resp.Body.Close()
			}
			x.endCutOff(!errors.Is(err, ErrNotSent) && (refusal == nil || refusal.Reason.MayHaveRun()))
			return true, false
		case errors.Is(err, ErrNotSent) || refusal != nil && x.mayTryNextNode(refusal):
			continue
		case refusal != nil && refusal.Reason == CutOff:
			return true, x.handleForwardError(ctx, errNodeStopped)
		case err != nil:
			return true, x.handleForwardError(ctx, err)
		case refusal != nil:
			x.mayHaveRun = x.mayHaveRun || refusal.Reason.MayHaveRun()
			x.refuse(Refusal{Reason: x.unlessMayHaveRun(refusal.Reason), RetryAfter: refusal.RetryAfter})
			return true, false
		}
		return true, x.relayForwarded(ctx, resp)
	}
	x.forwardFailed, x.via = true, ""
	return false, false
}

// forwardTo sends the request to another node.
func (x *exchange) forwardTo(ctx context.Context, now time.Time, node, address string) (*Response, *Refusal, error) {
	x.everSent.Store(true)
	x.via, x.sentAt, x.bufferedSince, x.choice = node, now, now, placement.Choice{}
	x.call, x.headReceived, x.sendBefore, x.leavingFor = x.d.placement.ForwardedCall(now), false, time.Time{}, 0
	resp, refusal, err := x.d.forwarder.Forward(ctx, address, x.req, Forwarded{
		From: x.d.node, Spent: now.Sub(x.arrived), Sent: x.sent, LastEventID: x.lastEventID, Counted: x.counted,
		Bound: x.origin.bound, Pool: x.origin.Pool, Version: x.origin.Version, Trial: x.trial || !x.partTrial.IsZero(), Unpaid: x.unpaid, Config: x.d.Version(),
	}, x.hooks(x.mayWrite))
	result, reason := "answered", Reason("")
	switch {
	case err != nil:
		result = err.Error()
	case refusal != nil:
		result, reason = "refused", refusal.Reason
	}
	x.unpaid = x.unpaid && (errors.Is(err, ErrNotSent) || refusal != nil && !refusal.Reason.MayHaveRun())
	x.d.log.Info("request forwarded", "request", x.req.ID, "node", node, "pool", x.pool, "unsent", x.unreachable, "result", result, "reason", reason, "after_ms", clock.Since(now).Milliseconds())
	return resp, refusal, err
}

// mayTryNextNode reports whether another node may take a request that a node refused: that one cannot
// serve any request now, reaches no engine either, or has an older configuration.
func (x *exchange) mayTryNextNode(r *Refusal) bool {
	switch r.Reason {
	case NotReady, Stale, Stopping, NoEngine:
		return true
	case NoRoute, UnknownKey:
		return r.Version < x.d.Version()
	}
	return false
}

// handleForwardError handles a node that gave no answer: an engine may have run the request.
func (x *exchange) handleForwardError(ctx context.Context, err error) (again bool) {
	now := clock.Now()
	x.sent++
	x.mayHaveRun = true
	if x.retry(now, fmt.Errorf("by way of another node: %w", err)) {
		return true
	}
	x.refuse(Refusal{Reason: x.unlessTimedOut(now, EngineFailed)})
	return false
}

// relayForwarded relays the answer that another node got from an engine. That node has recorded what the
// answer says of the engine, and has tried others if the request may be repeated.
func (x *exchange) relayForwarded(ctx context.Context, resp *Response) (again bool) {
	defer resp.Body.Close()
	now := clock.Now()
	x.status, x.unframed, x.headReceived = resp.Status, resp.Unframed, true
	x.choice.Engine = placement.Engine{ID: resp.Engine, Pool: resp.Pool, Version: resp.Version}
	x.sent = max(x.sent, resp.Tries)
	success := resp.Status < http.StatusMultipleChoices
	if x.answerBegun && !success {
		x.refuse(Refusal{Reason: EngineFailed})
		return false
	}
	if x.lastByteAt.IsZero() {
		x.lastByteAt = now
	}
	if x.firstByte == 0 {
		x.firstByte = now.Sub(x.arrived)
	}
	if x.route.Kind == routing.Stream && success {
		return x.relayStream(ctx, func(error) {}, resp)
	}
	return x.relayPlain(ctx, resp)
}
