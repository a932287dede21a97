package dispatch

import (
	"context"
	"errors"
	"io"
	"net/http"
	"time"

	"github.com/croftturn/croftturn/internal/placement"
)

var (
	// ErrNotSent says that no byte of a request left: it has not run.
	ErrNotSent = errors.New("dispatch: request not sent")

	// ErrMismatchedResponse says that an engine's answer belongs to another request.
	ErrMismatchedResponse = errors.New("dispatch: answer of another request")
)

type (
	// Request is a request as its caller sent it.
	Request struct {
		ID             string
		Host           string
		Path           string
		Key            string
		Model          string // Model is what an engine is asked for; empty where Header says it in the engines' own way.
		RequestedModel string // RequestedModel is the model that the caller names, in whichever way; empty where only the body does.
		Prompt         placement.Prompt
		OutputTokens   int           // OutputTokens is the most that the answer may have; 0 if unknown.
		ExpectedTokens int           // ExpectedTokens is the caller's guess of how many the answer has, right in the median; 0 if it has none.
		Patience       time.Duration // Patience is how long the caller waits; 0 if it does not say.
		LastEventID    string        // LastEventID is the last event that the caller has of a stream it resumes.
		Header         http.Header   // Header is passed on to the engine, but for what concerns one connection.
		Method         string
		Target         string // Target is the path and query as they were sent.
		Body           []byte
	}

	// Attempt is what is sent to one engine.
	Attempt struct {
		Engine      placement.Engine
		Team        string
		Urgency     int           // Urgency is the request's place in the order of all, 0 first.
		TimeLeft    time.Duration // TimeLeft is what is left of the time that the caller waits.
		LastEventID string        // LastEventID is the event after which the engine goes on; empty for a whole answer.
	}

	// Response is an engine's answer.
	Response struct {
		Status   int
		Header   http.Header
		NotRun   bool          // NotRun says that the engine did not run the request.
		Replaced bool          // Replaced says that another engine has the address now.
		Running  int           // Running is how many requests the engine had at work.
		Waiting  int           // Waiting is how many more waited there.
		HasLoad  bool          // HasLoad says whether Running and Waiting are known.
		Rest     time.Duration // Rest is for how long the engine wants nothing of this node; 0 if it did not say.
		Leaving  bool          // Leaving says that the engine leaves.
		Limited  bool          // Limited says that the engine named a limit.
		Limit    float64       // Limit is how many requests a second the engine takes from all nodes together.
		Length   int64         // Length of the body, -1 if unknown.
		Body     io.ReadCloser
	}

	// Sender sends a request to an engine. The error is ErrNotSent where no byte
	// left; after any other the request may have run.
	Sender interface {
		Send(ctx context.Context, r *Request, a Attempt) (*Response, error)
	}

	// AnswerWriter takes the answer to a caller. Exactly one of Refuse and Begin is
	// called first; after Begin come writes, and Abort if the answer is not whole.
	AnswerWriter interface {
		Refuse(r Refusal)
		Begin(r *Response)
		Write(p []byte) error
		Abort()
	}
)
