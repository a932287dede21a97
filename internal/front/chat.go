package front

import (
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"net/http"
	"strconv"
	"time"

	"github.com/croftturn/croftturn/internal/broker"
	"github.com/croftturn/croftturn/internal/clock"
	"github.com/croftturn/croftturn/internal/engine"
	"github.com/croftturn/croftturn/internal/sched"
	"github.com/croftturn/croftturn/internal/telemetry"
)

// chatExchange is the exchange of one chat completion. It always streams from the
// engine, even if the caller did not ask for a stream.
type chatExchange struct {
	f *Front
	c *call

	dropped bool // dropped is set once the text of a stream is no longer kept.
	tokens  int  // tokens counts the tokens received so far.
	finish  string
	usage   *engine.Usage
	sent    bool // sent is set once part of the response was written to the caller.
	first   time.Time
}

// handleChat handles a chat completion.
func (f *Front) handleChat(w http.ResponseWriter, r *http.Request) {
	f.handle(w, r, f.readChat, func(c *call) exchange { return &chatExchange{f: f, c: c} })
}

// handleModels lists the models in the published API's format.
func (f *Front) handleModels(w http.ResponseWriter, r *http.Request) {
	view := f.views.View()
	if _, failure := authenticate(view, r); failure != nil {
		f.fail(w, "", failure)
		return
	}
	type model struct {
		ID      string `json:"id"`
		Object  string `json:"object"`
		Created int64  `json:"created"`
		OwnedBy string `json:"owned_by"`
	}
	var doc struct {
		Object string  `json:"object"`
		Data   []model `json:"data"`
	}
	doc.Object, doc.Data = "list", []model{}
	for _, name := range view.Models() {
		doc.Data = append(doc.Data, model{ID: name, Object: "model", OwnedBy: "croftturn"})
	}
	f.writeJSON(w, doc)
}

// writeJSON writes a JSON response.
func (f *Front) writeJSON(w http.ResponseWriter, doc any) {
	f.extendWriteDeadline(w)
	w.Header().Set("Content-Type", "application/json")
	if err := json.NewEncoder(w).Encode(doc); err != nil {
		f.tele.Log.Debug("failed to write the response", "error", err.Error())
	}
}

// started reports whether part of the response was written to the caller.
func (x *chatExchange) started() bool { return x.sent }

// resumable reports whether another engine can continue the response from the text
// received so far.
func (x *chatExchange) resumable() bool { return x.finish == "" && !x.dropped }

// send streams the completion from one engine to the caller.
func (x *chatExchange) send(ctx context.Context, w http.ResponseWriter, g sched.Grant) (sched.Result, error) {
	res := sched.Result{Status: broker.StatusFailed}
	body, err := x.requestBody()
	if err != nil {
		return res, fmt.Errorf("build engine request: %w", err)
	}
	started := clock.Now()
	stream, err := x.f.engines.Start(ctx, g.Engine.Address, x.header(ctx), body)
	if err != nil {
		res.Status = statusOf(ctx, err)
		return res, callerGoneOr(ctx, err)
	}
	defer stream.Close()
	had := x.tokens
	err = x.relay(ctx, w, stream)
	res.OutputTokens, res.Duration = x.tokens-had, clock.Since(started)
	if !x.first.IsZero() && x.first.After(started) {
		res.FirstToken = x.first.Sub(started)
	}
	res.Status = statusOf(ctx, err)
	if err == nil {
		return res, nil
	}
	if errors.Is(err, errTooLong) {
		x.f.tele.Wasted.Add(ctx, int64(x.tokens))
		x.tokens, x.finish, x.usage = 0, "", nil
		x.c.held.release()
		return res, err
	}
	if !x.resumable() || errors.Is(callerGoneOr(ctx, err), errCallerGone) {
		x.f.tele.Wasted.Add(ctx, int64(x.tokens))
	}
	return res, callerGoneOr(ctx, err)
}

// statusOf returns the release status for a send error, or for nil.
func statusOf(ctx context.Context, err error) string {
	switch {
	case err == nil, errors.Is(err, engine.ErrRejected):
		return broker.StatusOK
	case errors.Is(err, errCallerGone), errors.Is(err, engine.ErrCallerLeft), ctx.Err() != nil:
		return broker.StatusCancelled
	case errors.Is(err, engine.ErrFull):
		return broker.StatusFull
	}
	return broker.StatusFailed
}

// callerGoneOr wraps err in errCallerGone if the caller's context has ended, or if the request was withheld because
// the caller had left, and in errCutOff if the process ends.
func callerGoneOr(ctx context.Context, err error) error {
	if cutOff(ctx) {
		return fmt.Errorf("%w: %w", errCutOff, err)
	}
	if ctx.Err() != nil || errors.Is(err, engine.ErrCallerLeft) {
		return fmt.Errorf("%w: %w", errCallerGone, err)
	}
	return err
}

// header returns the engine request's headers.
func (x *chatExchange) header(ctx context.Context) http.Header {
	h := http.Header{}
	h.Set("Content-Type", "application/json")
	h.Set(engine.HeaderRequestID, x.c.id)
	if x.c.key != "" {
		h.Set(HeaderKey, x.c.scopedKey())
	}
	telemetry.Propagator.Inject(ctx, headerCarrier(h))
	return h
}

// requestBody returns the engine request's body: the caller's with streaming
// enabled, the tier as priority, and the text received so far to continue from.
func (x *chatExchange) requestBody() ([]byte, error) {
	fields := make(map[string]json.RawMessage, len(x.c.fields)+6)
	for k, v := range x.c.fields {
		fields[k] = v
	}
	fields["stream"] = json.RawMessage("true")
	fields["stream_options"] = json.RawMessage(`{"include_usage":true}`)
	fields["priority"] = json.RawMessage(strconv.Itoa(x.c.class.Tier))
	if x.tokens > 0 {
		if err := x.continueFrom(fields); err != nil {
			return nil, err
		}
	}
	text, err := json.Marshal(fields)
	if err != nil {
		return nil, fmt.Errorf("encode engine request: %w", err)
	}
	return text, nil
}

// continueFrom adds the text received so far as a final message to be continued.
func (x *chatExchange) continueFrom(fields map[string]json.RawMessage) error {
	var messages []json.RawMessage
	if err := json.Unmarshal(fields["messages"], &messages); err != nil {
		return fmt.Errorf("read messages: %w", err)
	}
	last, err := json.Marshal(struct {
		Role    string `json:"role"`
		Content string `json:"content"`
	}{"assistant", string(x.c.held.body)})
	if err != nil {
		return fmt.Errorf("encode partial answer: %w", err)
	}
	text, err := json.Marshal(append(messages, last))
	if err != nil {
		return fmt.Errorf("encode messages: %w", err)
	}
	fields["messages"] = text
	fields["continue_final_message"] = json.RawMessage("true")
	fields["add_generation_prompt"] = json.RawMessage("false")
	if x.c.maxTokens > 0 {
		left := json.RawMessage(strconv.Itoa(max(1, x.c.maxTokens-x.tokens)))
		delete(fields, "max_completion_tokens")
		fields["max_tokens"] = left
	}
	return nil
}

// relay forwards events until the stream is complete.
func (x *chatExchange) relay(ctx context.Context, w http.ResponseWriter, stream *engine.Stream) error {
	out := http.NewResponseController(w)
	for {
		e, err := stream.Next()
		if err != nil {
			return err
		}
		if e.Done {
			return x.complete(w, out)
		}
		if !x.recordEvent(ctx, e) {
			return errTooLong
		}
		if !x.c.stream || (e.Usage != nil && e.Content == "" && !x.c.includeUsage) {
			continue
		}
		if err := x.writeEvent(w, out, e.Data, !stream.Buffered()); err != nil {
			return err
		}
	}
}

// recordEvent updates the text, token count and usage from an event, and reports whether the answer can still be given.
func (x *chatExchange) recordEvent(ctx context.Context, e engine.Event) bool {
	if e.Usage != nil {
		x.usage = e.Usage
	}
	if e.Finish != "" {
		x.finish = e.Finish
	}
	if e.Content == "" {
		return true
	}
	if x.first.IsZero() {
		x.first = clock.Now()
		x.f.tele.FirstToken.Record(ctx, x.first.Sub(x.c.arrived).Seconds())
	}
	x.f.noteProgress(clock.Now(), x.c)
	x.tokens++
	x.f.tele.Tokens.Add(ctx, 1)
	return x.keep(e.Content)
}

// keep keeps a piece of the text, and reports whether the answer can still be given: a stream whose text has become too long
// goes on, but can't be resumed.
func (x *chatExchange) keep(text string) bool {
	if x.dropped || x.c.held.add([]byte(text)) {
		return true
	}
	if x.dropped = x.c.stream; x.dropped {
		x.c.held.release()
	}
	return x.dropped
}

// writeEvent writes one event to the caller; flush is false while more events are buffered.
func (x *chatExchange) writeEvent(w http.ResponseWriter, out *http.ResponseController, data []byte, flush bool) error {
	if !x.sent {
		x.sent = true
		h := w.Header()
		h.Set("Content-Type", "text/event-stream")
		h.Set("Cache-Control", "no-cache")
		h.Set("Trailer", HeaderOutcome)
		w.WriteHeader(http.StatusOK)
	}
	x.f.extendWriteDeadline(w)
	line := make([]byte, 0, len(data)+8)
	line = append(line, "data: "...)
	line = append(line, data...)
	line = append(line, "\n\n"...)
	if _, err := w.Write(line); err != nil {
		return fmt.Errorf("%w: %w", errCallerGone, err)
	}
	if !flush {
		return nil
	}
	if err := out.Flush(); err != nil {
		return fmt.Errorf("%w: %w", errCallerGone, err)
	}
	return nil
}

// complete finishes a complete response.
func (x *chatExchange) complete(w http.ResponseWriter, out *http.ResponseController) error {
	if x.c.stream {
		if err := x.writeEvent(w, out, []byte("[DONE]"), true); err != nil {
			return err
		}
		w.Header().Set(HeaderOutcome, OutcomeCompleted)
		return nil
	}
	x.sent = true
	w.Header().Set(HeaderOutcome, OutcomeCompleted)
	x.f.writeJSON(w, x.document())
	return nil
}

// document returns the non-streaming response in the published API's format.
func (x *chatExchange) document() any {
	type message struct {
		Role    string `json:"role"`
		Content string `json:"content"`
	}
	type choice struct {
		Index        int     `json:"index"`
		Message      message `json:"message"`
		FinishReason string  `json:"finish_reason"`
	}
	usage := engine.Usage{PromptTokens: x.c.prompt, CompletionTokens: x.tokens, TotalTokens: x.c.prompt + x.tokens}
	if x.usage != nil {
		usage.PromptTokens = x.usage.PromptTokens
		usage.TotalTokens = usage.PromptTokens + usage.CompletionTokens
	}
	return struct {
		ID      string       `json:"id"`
		Object  string       `json:"object"`
		Created int64        `json:"created"`
		Model   string       `json:"model"`
		Choices []choice     `json:"choices"`
		Usage   engine.Usage `json:"usage"`
	}{
		"chatcmpl-" + x.c.id, "chat.completion", clock.Wall(x.c.arrived).Unix(), x.c.model,
		[]choice{{Message: message{"assistant", string(x.c.held.body)}, FinishReason: x.finish}}, usage,
	}
}

// abort ends an incomplete stream with an error event, without [DONE], and aborts
// the connection.
func (x *chatExchange) abort(w http.ResponseWriter, e *CallerError) {
	out := http.NewResponseController(w)
	if err := x.writeEvent(w, out, e.body(x.c.id), true); err != nil {
		x.f.tele.Log.Debug("failed to write the error event", "request", x.c.id, "error", err.Error())
	}
	panic(http.ErrAbortHandler)
}
