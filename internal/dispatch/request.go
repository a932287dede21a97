package dispatch

import (
	"context"
	"errors"
	"io"
	"net/http"
	"time"

	"github.com/croftturn/croftturn/internal/dial"
	"github.com/croftturn/croftturn/internal/placement"
)

var (
	// ErrNotSent means that no byte of a request was sent, so it has not run.
	ErrNotSent = errors.New("dispatch: request not sent")

	// ErrNoConnection means that a request was not sent because there was no open connection to its
	// engine and none was to be opened.
	ErrNoConnection = errors.New("dispatch: no open connection to the engine")

	// ErrMismatchedResponse means that the answer of an engine belongs to another request.
	ErrMismatchedResponse = errors.New("dispatch: response belongs to another request")
)

type (
	// Request is a request as its caller sent it.
	Request struct {
		ID             string
		Host           string
		Path           string
		Key            string
		Model          string // Model is the model to request from the engine; empty if Header carries it in the format of the engine.
		RequestedModel string // RequestedModel is the model that the caller named; empty if only the body names it.
		Prompt         placement.Prompt
		OutputTokens   int           // OutputTokens is the maximum length of the answer; 0 if unknown.
		ExpectedTokens int           // ExpectedTokens is the length of the answer that the caller expects, correct in the median; 0 if unknown.
		Patience       time.Duration // Patience is how long the caller waits; 0 if unknown.
		LastEventID    string        // LastEventID is the last event that the caller received of a stream it resumes.
		Resumes        string        // Resumes is the ID of the request that brought the first event of that stream; empty if unknown.
		Header         http.Header   // Header is forwarded to the engine, except hop-by-hop fields.
		Method         string
		Target         string // Target is the path and query as sent.
		Body           []byte
		Forwarded      *Forwarded    // Forwarded is set if another node forwarded the request.
		Unread         time.Duration // Unread is how long the request lay in its socket until this node read it; 0 if unknown.
	}

	// Attempt is what is sent to one engine.
	Attempt struct {
		Engine       placement.Engine
		SendBefore   time.Time // SendBefore is until when the request may be sent; zero for no limit.
		Team         string
		Urgency      int       // Urgency orders requests at the engine; 0 is the most urgent.
		Deadline     time.Time // Deadline is until when the caller waits.
		TransferFrom string    // TransferFrom is the address of the engine from which cached prompt parts are copied; empty for none.
		OpenOnly     bool      // OpenOnly sends the request over an open connection or not at all.
		LastEventID  string    // LastEventID is the event after which the engine resumes; empty for a whole answer.

		Hooks dial.Hooks // Hooks are called for the connection to the engine.
	}

	// Response is an engine's answer.
	Response struct {
		Status   int
		Header   http.Header
		NotRun   bool          // NotRun is set if the engine did not run the request.
		Replaced bool          // Replaced is set if another engine has the address now.
		Running  int           // Running is the number of requests that the engine was running.
		Waiting  int           // Waiting is the number of requests that were queued there.
		HasLoad  bool          // HasLoad is set if Running and Waiting are known.
		Slowdown float64       // Slowdown is the time that work takes at the engine as a multiple of the usual; 0 if it did not say.
		BackOff  time.Duration // BackOff is how long the engine wants no requests from this node; 0 if it did not say.
		Leaving  bool          // Leaving is set if the engine announces that it leaves.
		Brittle  bool          // Brittle is set if the engine falls over when it has to reject more than a few requests a second.
		Limited  bool          // Limited is set if the engine declared a rate limit.
		Limit    float64       // Limit is the number of requests per second that the engine accepts from all nodes together.
		Engine   string        // Engine is the engine that gave the answer, for the node that forwarded the request.
		Pool     string        // Pool is that of the engine, for that node.
		Version  string        // Version is that of the engine's software, for that node.
		Tries    int           // Tries is how many engines the request was sent to, for that node.
		Length   int64         // Length of the body; -1 if unknown.
		Reused   bool          // Reused is set if the connection had served another request before.
		Unframed bool          // Unframed is set if the body has neither a length nor chunks, so that it ends with its connection.
		Body     io.ReadCloser
	}

	// Sender sends a request to an engine. The error is ErrNotSent if no byte was sent; after any
	// other error the request may have run.
	Sender interface {
		Send(ctx context.Context, r *Request, a Attempt) (*Response, error)
	}

	// AnswerWriter writes the answer to a caller. Exactly one of Refuse and Begin is called first.
	// Begin is followed by writes, and by Abort if the answer is incomplete.
	AnswerWriter interface {
		Refuse(r Refusal)
		Begin(r *Response)
		Write(p []byte) error
		Abort()
	}
)
