package front

import (
	"context"
	"errors"
	"fmt"
	"io"
	"net/http"
	"strconv"

	"github.com/croftturn/croftturn/internal/broker"
	"github.com/croftturn/croftturn/internal/clock"
	"github.com/croftturn/croftturn/internal/engine"
	"github.com/croftturn/croftturn/internal/header"
	"github.com/croftturn/croftturn/internal/sched"
	"github.com/croftturn/croftturn/internal/telemetry"
)

// copyBuffer is how much of a plain answer is passed on at once, in bytes.
const copyBuffer = 32 << 10

// plain is the exchange of one plain call.
type plain struct {
	f    *Front
	c    *call
	sent bool
}

// handleService serves a plain call to a service pool.
func (f *Front) handleService(w http.ResponseWriter, r *http.Request) {
	f.handle(w, r, f.readService, func(c *call) exchange { return &plain{f: f, c: c} })
}

// begun reports whether the caller has received a part of the answer.
func (x *plain) begun() bool { return x.sent }

// resumable reports that a plain answer can't be gone on with.
func (x *plain) resumable() bool { return false }

// send makes the call at one backend server and passes its answer on.
func (x *plain) send(ctx context.Context, w http.ResponseWriter, g sched.Grant) (sched.Result, error) {
	started := clock.Now()
	h := header.EndToEnd(x.c.request.Header)
	h.Del("Authorization") // The team's token is between the caller and the router.
	h.Set(engine.HeaderRequestID, x.c.id)
	if x.c.key != "" {
		h.Set(HeaderKey, x.c.keyInSystem())
	}
	telemetry.Propagator.Inject(ctx, headerCarrier(h))
	resp, err := x.f.engines.Do(ctx, x.c.request.Method, "http://"+g.Engine.Address+x.c.path, h, x.c.body)
	if err == nil {
		err = x.pass(w, resp)
	}
	res := sched.Result{Status: statusOf(ctx, err), Duration: clock.Since(started)}
	if res.Status == broker.StatusOK {
		res.OutputTokens = 1
	}
	if err != nil {
		return res, goneOr(ctx, err)
	}
	return res, nil
}

// pass copies an answer to the caller.
func (x *plain) pass(w http.ResponseWriter, resp *http.Response) error {
	defer resp.Body.Close()
	if resp.ContentLength >= 0 && resp.ContentLength <= copyBuffer {
		return x.passWhole(w, resp)
	}
	x.copyHeader(w, resp)
	buf := make([]byte, copyBuffer)
	for {
		n, err := resp.Body.Read(buf)
		if n > 0 {
			x.f.extend(w)
			if _, werr := w.Write(buf[:n]); werr != nil {
				return fmt.Errorf("%w: %w", errCallerGone, werr)
			}
		}
		if errors.Is(err, io.EOF) {
			return nil
		}
		if err != nil {
			return fmt.Errorf("read answer: %w: %w", engine.ErrBroken, err)
		}
	}
}

// passWhole reads a short answer before its first byte goes to the caller, so
// that one which breaks off can be tried again.
func (x *plain) passWhole(w http.ResponseWriter, resp *http.Response) error {
	body, err := io.ReadAll(resp.Body)
	if err != nil {
		return fmt.Errorf("read answer: %w: %w", engine.ErrBroken, err)
	}
	x.f.extend(w)
	x.copyHeader(w, resp)
	if _, err := w.Write(body); err != nil {
		return fmt.Errorf("%w: %w", errCallerGone, err)
	}
	return nil
}

// copyHeader passes status and headers on.
func (x *plain) copyHeader(w http.ResponseWriter, resp *http.Response) {
	x.sent = true
	h := w.Header()
	for k, v := range header.EndToEnd(resp.Header) {
		h[k] = v
	}
	if resp.ContentLength >= 0 {
		h.Set("Content-Length", strconv.FormatInt(resp.ContentLength, 10))
	}
	h.Set(HeaderRequestID, x.c.id)
	h.Set(HeaderOutcome, OutcomeCompleted)
	w.WriteHeader(resp.StatusCode)
}

// breakOff cuts the connection, so that the caller sees that its answer is not
// whole.
func (x *plain) breakOff(http.ResponseWriter, *CallerError) { panic(http.ErrAbortHandler) }
