// Package forward carries requests between nodes: one that reaches no engine of a pool sends a request
// to another node, which serves it like its own callers' requests and relays the answer.
//
// A message is a head in CBOR, preceded by its length, and a body. The transport is HTTP with chunks, so
// that an answer which was broken off never looks complete. A request is written once the other node has
// asked for it with 100 Continue, so that one which that node did not take is known not to have run.
package forward

import (
	"encoding/binary"
	"errors"
	"fmt"
	"io"
	"net/http"
	"time"

	"github.com/fxamacker/cbor/v2"

	"github.com/croftturn/croftturn/internal/dial"
	"github.com/croftturn/croftturn/internal/dispatch"
	"github.com/croftturn/croftturn/internal/placement"
)

// Path is where a node takes forwarded requests.
const Path = "/v1/forwarded-requests"

const (
	// maxHead is the maximum length of a head, in bytes: the headers of a request and some names.
	maxHead = 2 << 20

	// maxBody is the maximum length of a request's body, in bytes. The node that forwards it has applied
	// the limit of the configuration.
	maxBody = 64 << 20
)

// errHeadTooLong means that the head of a message exceeds the maximum length.
var errHeadTooLong = errors.New("forward: head too long")

type (
	// requestHead is the head of a forwarded request.
	requestHead struct {
		ID             string           `cbor:"1,keyasint,omitempty"`
		Host           string           `cbor:"2,keyasint,omitempty"`
		Path           string           `cbor:"3,keyasint,omitempty"`
		Key            string           `cbor:"4,keyasint,omitempty"`
		Model          string           `cbor:"5,keyasint,omitempty"`
		RequestedModel string           `cbor:"6,keyasint,omitempty"`
		Prompt         placement.Prompt `cbor:"7,keyasint,omitempty"`
		OutputTokens   int              `cbor:"8,keyasint,omitempty"`
		ExpectedTokens int              `cbor:"9,keyasint,omitempty"`
		Patience       time.Duration    `cbor:"10,keyasint,omitempty"`
		LastEventID    string           `cbor:"11,keyasint,omitempty"`
		Header         http.Header      `cbor:"12,keyasint,omitempty"`
		Method         string           `cbor:"13,keyasint,omitempty"`
		Target         string           `cbor:"14,keyasint,omitempty"`

		Forwarded dispatch.Forwarded `cbor:"15,keyasint,omitempty"`
		Resumes   string             `cbor:"16,keyasint,omitempty"`
	}

	// responseHead is the head of the answer to a forwarded request.
	responseHead struct {
		Refusal       dispatch.Reason `cbor:"1,keyasint,omitempty"` // Refusal is the reason if the request was refused.
		RetryAfter    time.Duration   `cbor:"2,keyasint,omitempty"`
		Version       int             `cbor:"3,keyasint,omitempty"` // Version is that of the configuration that refused the request.
		Status        int             `cbor:"4,keyasint,omitempty"`
		Header        http.Header     `cbor:"5,keyasint,omitempty"`
		Length        int64           `cbor:"6,keyasint,omitempty"`
		Unframed      bool            `cbor:"7,keyasint,omitempty"`
		Engine        string          `cbor:"8,keyasint,omitempty"`
		Tries         int             `cbor:"9,keyasint,omitempty"`
		Pool          string          `cbor:"10,keyasint,omitempty"` // Pool is that of the engine.
		EngineVersion string          `cbor:"11,keyasint,omitempty"` // EngineVersion is that of the engine's software.
	}
)

// writeHead encodes a head with its length.
func writeHead(head any) ([]byte, error) {
	raw, err := cbor.Marshal(head)
	if err != nil {
		return nil, fmt.Errorf("encode head: %w", err)
	}
	return append(binary.BigEndian.AppendUint32(nil, uint32(len(raw))), raw...), nil
}

// readHead reads a head.
func readHead(r io.Reader, head any) error {
	var size [4]byte
	if _, err := io.ReadFull(r, size[:]); err != nil {
		return fmt.Errorf("read head: %w", err)
	}
	n := binary.BigEndian.Uint32(size[:])
	if n > maxHead {
		return errHeadTooLong
	}
	raw := make([]byte, n)
	if _, err := io.ReadFull(r, raw); err != nil {
		return fmt.Errorf("read head: %w", err)
	}
	if err := cbor.Unmarshal(raw, head); err != nil {
		return fmt.Errorf("decode head: %w", err)
	}
	return nil
}

// check returns an error unless the head is that of an answer which an engine may have sent.
func (h *responseHead) check() error {
	if !dial.ValidStatus(h.Status) {
		return fmt.Errorf("status %03d: %w", h.Status, dial.ErrMalformed)
	}
	for name := range h.Header {
		if !dial.ValidName(name) {
			return fmt.Errorf("field %q: %w", name, dial.ErrMalformed)
		}
	}
	return nil
}

// headOf returns the head of a request.
func headOf(r *dispatch.Request, f dispatch.Forwarded) *requestHead {
	return &requestHead{
		ID: r.ID, Host: r.Host, Path: r.Path, Key: r.Key, Model: r.Model, RequestedModel: r.RequestedModel, Prompt: r.Prompt, OutputTokens: r.OutputTokens,
		ExpectedTokens: r.ExpectedTokens, Patience: r.Patience, LastEventID: r.LastEventID, Resumes: r.Resumes, Header: r.Header, Method: r.Method, Target: r.Target, Forwarded: f,
	}
}

// request returns the request with a head.
func (h *requestHead) request(body []byte) *dispatch.Request {
	return &dispatch.Request{
		ID: h.ID, Host: h.Host, Path: h.Path, Key: h.Key, Model: h.Model, RequestedModel: h.RequestedModel, Prompt: h.Prompt, OutputTokens: h.OutputTokens,
		ExpectedTokens: h.ExpectedTokens, Patience: h.Patience, LastEventID: h.LastEventID, Resumes: h.Resumes, Header: h.Header, Method: h.Method, Target: h.Target, Body: body, Forwarded: &h.Forwarded,
	}
}
