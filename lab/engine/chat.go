package engine

import (
	"context"
	"encoding/json"
	"fmt"
	"net/http"
	"os"
	"strings"
	"time"

	"github.com/croftturn/croftturn/lab/record"
)

// CrashWord in a message ends the engine's process when it begins to answer.
const CrashWord = "crash-the-engine"

// chatRequest is what the engine reads of a chat completion.
type chatRequest struct {
	Messages []struct {
		Role    string `json:"role"`
		Content string `json:"content"`
	} `json:"messages"`
	MaxTokens int  `json:"max_tokens"`
	Priority  int  `json:"priority"`
	Continue  bool `json:"continue_final_message"`
}

// handleChat generates an answer.
func (e *Engine) handleChat(w http.ResponseWriter, r *http.Request) {
	var req chatRequest
	if err := json.NewDecoder(r.Body).Decode(&req); err != nil || len(req.Messages) == 0 {
		http.Error(w, `{"error":{"message":"bad request"}}`, http.StatusBadRequest)
		return
	}
	mark, j := e.newJob(r.Context(), &req)
	if j.from == j.to {
		w.Header().Set("Content-Type", "text/event-stream")
		writeEnd(w, j, 0) // The partial answer was whole already.
		return
	}
	if !e.submit(j) {
		http.Error(w, `{"error":{"message":"full"}}`, http.StatusTooManyRequests)
		return
	}
	defer e.withdraw(j)
	e.stream(w, r, mark, j)
}

// stream sends the tokens of a job as they come, until its end or until the caller
// has gone, and logs what was run.
func (e *Engine) stream(w http.ResponseWriter, r *http.Request, mark string, j *job) {
	line := record.Execution{Backend: e.opts.Name, Request: r.Header.Get("X-Request-Id"), Key: r.Header.Get("Idempotency-Key"), Mark: mark}
	e.note(line, "start", j.from)
	sent := 0
	for {
		select {
		case i, ok := <-j.out:
			if !ok {
				e.finish(w, r, line, j, sent)
				return
			}
			if sent == 0 {
				w.Header().Set("Content-Type", "text/event-stream")
			}
			if j.crashes {
				os.Exit(1)
			}
			if !e.stall(r.Context(), sent) || !e.writeToken(w, record.Word(mark, i), sent) {
				e.note(line, "cancel", sent)
				panic(http.ErrAbortHandler)
			}
			sent++
		case <-r.Context().Done():
			e.note(line, "cancel", sent)
			return
		}
	}
}

// note logs one event of a job's run.
func (e *Engine) note(line record.Execution, event string, tokens int) {
	line.Event, line.Tokens, line.AtMs = event, tokens, record.NowMs()
	e.log.Write(line)
}

// newJob reads mark and length out of a request, and how far a partial answer
// has come already.
func (e *Engine) newJob(ctx context.Context, req *chatRequest) (string, *job) {
	last := len(req.Messages) - 1
	from := 0
	if req.Continue {
		from = words(req.Messages[last].Content)
		last--
	}
	mark, tokens := record.ParsePrompt(req.Messages[last].Content)
	if req.MaxTokens > 0 {
		tokens = min(tokens, from+req.MaxTokens)
	}
	const bytesPerToken = 4
	prompt := 0
	crashes := false
	for _, m := range req.Messages {
		prompt += len(m.Content) / bytesPerToken
		crashes = crashes || strings.Contains(m.Content, CrashWord)
	}
	j := &job{priority: req.Priority, prompt: prompt, room: prompt + tokens, from: from, to: max(tokens, from), crashes: crashes, ctx: ctx}
	if len(req.Messages) > 1 && !req.Continue {
		j.prefix = req.Messages[0].Content
	}
	j.out = make(chan int, j.to-j.from)
	return mark, j
}

// words counts the tokens of a partial answer.
func words(text string) int {
	n := 0
	for _, c := range text {
		if c == ' ' {
			n++
		}
	}
	return n
}

// stall holds a token back for as long as the faults say, and reports whether the
// caller is still there. No token is left out: a stream that goes on has no hole.
func (e *Engine) stall(ctx context.Context, sent int) bool {
	const look = 5 * time.Millisecond
	for {
		e.mu.Lock()
		stalled := e.faults.StallAfter > 0 && sent >= e.faults.StallAfter
		e.mu.Unlock()
		if !stalled {
			return true
		}
		select {
		case <-ctx.Done():
			return false
		case <-time.After(look):
		}
	}
}

// writeToken sends one event, or fails as the faults say.
func (e *Engine) writeToken(w http.ResponseWriter, word string, sent int) bool {
	e.mu.Lock()
	f := e.faults
	e.mu.Unlock()
	switch {
	case f.BreakAfter > 0 && sent >= f.BreakAfter:
		return false
	case f.Malformed > 0 && sent >= f.Malformed:
		fmt.Fprint(w, "data: {\"choices\": [\n\n")
	default:
		fmt.Fprintf(w, "data: {\"id\":\"c\",\"object\":\"chat.completion.chunk\",\"choices\":[{\"index\":0,\"delta\":{\"content\":%q}}]}\n\n", word)
	}
	return http.NewResponseController(w).Flush() == nil
}

// finish ends a whole answer; one that has no token, or whose caller has gone, was
// cancelled.
func (e *Engine) finish(w http.ResponseWriter, r *http.Request, line record.Execution, j *job, sent int) {
	if r.Context().Err() != nil || sent == 0 {
		e.note(line, "cancel", sent)
		return
	}
	e.note(line, "end", sent)
	e.mu.Lock()
	cut := e.faults.BreakAtEnd
	e.mu.Unlock()
	if cut {
		panic(http.ErrAbortHandler)
	}
	writeEnd(w, j, sent)
}

// writeEnd sends what follows the last token.
func writeEnd(w http.ResponseWriter, j *job, sent int) {
	fmt.Fprintf(w, "data: {\"id\":\"c\",\"object\":\"chat.completion.chunk\",\"choices\":[{\"index\":0,\"delta\":{},\"finish_reason\":\"stop\"}]}\n\n")
	fmt.Fprintf(w, "data: {\"id\":\"c\",\"object\":\"chat.completion.chunk\",\"choices\":[],\"usage\":{\"prompt_tokens\":%d,\"completion_tokens\":%d,\"total_tokens\":%d}}\n\n", j.prompt, sent, j.prompt+sent)
	fmt.Fprint(w, "data: [DONE]\n\n")
}
