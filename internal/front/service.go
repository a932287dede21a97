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

// copyBuffer is the buffer size for copying a response, in bytes.
const copyBuffer = 32 << 10

// serviceExchange is the exchange of one service call.
type serviceExchange struct {
	f    *Front
	c    *call
	sent bool
}

// handleService handles a call to a service pool.
func (f *Front) handleService(w http.ResponseWriter, r *http.Request) {
	f.handle(w, r, f.readService, func(c *call) exchange { return &serviceExchange{f: f, c: c} })
}

// started reports whether part of the response was written to the caller.
func (x *serviceExchange) started() bool { return x.sent }

// resumable returns false: a service response can't be resumed on another server.
func (x *serviceExchange) resumable() bool { return false }

// send sends the call to one backend server and relays its response.
func (x *serviceExchange) send(ctx context.Context, w http.ResponseWriter, g sched.Grant) (sched.Result, error) {
	started := clock.Now()
	h := header.EndToEnd(x.c.request.Header)
	h.Del("Authorization") // The team's token is not disclosed to backend servers.
	h.Set(engine.HeaderRequestID, x.c.id)
	if x.c.key != "" {
		h.Set(HeaderKey, x.c.scopedKey())
	}
	telemetry.Propagator.Inject(ctx, headerCarrier(h))
	resp, err := x.f.engines.Do(ctx, x.c.request.Method, "http://"+g.Engine.Address+x.c.path, h, x.c.body)
	if err == nil {
		x.c.failed = resp.StatusCode >= http.StatusInternalServerError
		err = x.copyResponse(w, resp)
		if err == nil && header.Unframed(resp) && x.f.engines.Refuses(context.WithoutCancel(ctx), g.Engine.Address) {
			err = fmt.Errorf("backend server crashed as its answer ended: %w", engine.ErrBroken)
		}
	}
	res := sched.Result{Status: statusOf(ctx, err), Duration: clock.Since(started)}
	if res.Status == broker.StatusOK {
		res.OutputTokens = 1
	}
	if err != nil {
		return res, callerGoneOr(ctx, err)
	}
	return res, nil
}

// copyResponse copies a response to the caller. An event stream, and what names no length, is passed on as it arrives.
func (x *serviceExchange) copyResponse(w http.ResponseWriter, resp *http.Response) error {
	defer resp.Body.Close()
	stream := resp.ContentLength < 0 || header.EventStream(resp.Header)
	if !stream && resp.ContentLength <= copyBuffer {
		return x.copyBuffered(w, resp)
	}
	x.copyHeader(w, resp)
	out := http.NewResponseController(w)
	buf := make([]byte, copyBuffer)
	for {
		n, err := resp.Body.Read(buf)
		if n > 0 {
			x.f.extendWriteDeadline(w)
			if _, werr := w.Write(buf[:n]); werr != nil {
				return fmt.Errorf("%w: %w", errCallerGone, werr)
			}
			if stream {
				if ferr := out.Flush(); ferr != nil {
					return fmt.Errorf("%w: %w", errCallerGone, ferr)
				}
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

// copyBuffered reads a short response completely before writing it to the
// caller, so that a truncated one can be retried.
func (x *serviceExchange) copyBuffered(w http.ResponseWriter, resp *http.Response) error {
	body, err := io.ReadAll(resp.Body)
	if err != nil {
		return fmt.Errorf("read answer: %w: %w", engine.ErrBroken, err)
	}
	x.f.extendWriteDeadline(w)
	x.copyHeader(w, resp)
	if _, err := w.Write(body); err != nil {
		return fmt.Errorf("%w: %w", errCallerGone, err)
	}
	return nil
}

// copyHeader copies the status and the end-to-end headers.
func (x *serviceExchange) copyHeader(w http.ResponseWriter, resp *http.Response) {
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

// abort closes the connection, so that the caller sees an incomplete response.
func (x *serviceExchange) abort(http.ResponseWriter, *CallerError) { panic(http.ErrAbortHandler) }
