package claim

import (
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"time"

	"github.com/croftturn/croftturn/internal/wire"
)

const (
	// MethodClaims is the peer method that takes a ClaimBatch.
	MethodClaims = "clm"

	// forwardTimeout is how long a node waits for the aggregator's reply before it
	// writes the claims itself.
	forwardTimeout = 1500 * time.Millisecond

	// nodesPerAggregator is how many nodes share one aggregator.
	nodesPerAggregator = 100
)

// Forwarder forwards claims to an aggregator, the node that writes them for several
// nodes, which keeps the number of platform transactions low at any number of nodes.
// Any node may safely write a claim: the version check on its row lets at most one
// of two copies succeed, and the row records the attempt that holds the claim.
type Forwarder interface {
	// ShouldForward reports whether another node is the aggregator for this one.
	ShouldForward() bool
	// Forward sends a batch to the aggregator.
	Forward(ctx context.Context, batch *wire.ClaimBatch) (*wire.ClaimReply, error)
}

// AggregatorKey returns the key whose owner is the aggregator for a node, given the
// number of nodes.
func AggregatorKey(node string, nodes int) string {
	sum := 0
	for _, c := range node {
		sum += int(c)
	}
	return fmt.Sprint("gather/", sum%(1+nodes/nodesPerAggregator))
}

// forwardBatch sends a batch to the aggregator, and writes the batch here if that
// fails.
func (c *Claimer) forwardBatch(batch []*op) {
	ctx, cancel := context.WithTimeout(context.Background(), forwardTimeout)
	defer cancel()
	request := &wire.ClaimBatch{}
	for _, o := range batch {
		request.Rows = append(request.Rows, wire.ClaimRow{Key: o.key, Version: o.version, Record: o.record.encode()})
	}
	reply, err := c.forward.Forward(ctx, request)
	if err != nil || len(reply.Results) != len(batch) {
		c.settle(batch)
		return
	}
	for i, o := range batch {
		o.era = int64(reply.Era)
		o.result <- decodeResult(reply.Results[i])
	}
}

// decodeResult converts an aggregator's result to the result of a write.
func decodeResult(r wire.ClaimResult) error {
	switch r.State {
	case wire.ClaimResultStateW:
		return nil
	case wire.ClaimResultStateT:
		taken := &TakenError{Version: r.Version}
		if r.Record == nil {
			return fmt.Errorf("%w: no record", ErrUnsettled)
		}
		if err := json.Unmarshal(*r.Record, &taken.Record); err != nil {
			return fmt.Errorf("decode claim: %w: %w", ErrUnsettled, err)
		}
		return taken
	}
	return ErrUnsettled
}

// HandleClaims writes another node's claims, batched with those of other nodes. It
// is the handler of MethodClaims.
func (c *Claimer) HandleClaims(ctx context.Context, batch *wire.ClaimBatch) (any, error) {
	ops := make([]*op, 0, len(batch.Rows))
	for _, row := range batch.Rows {
		o := &op{key: row.Key, version: row.Version, result: make(chan error, 1)}
		if err := json.Unmarshal(row.Record, &o.record); err != nil {
			return nil, fmt.Errorf("decode claim of %s: %w", row.Key, err)
		}
		ops = append(ops, o)
	}
	for _, o := range ops {
		select {
		case c.writes <- o:
		case <-ctx.Done():
			return nil, ctx.Err()
		}
	}
	reply := &wire.ClaimReply{}
	for _, o := range ops {
		reply.Results = append(reply.Results, encodeResult(<-o.result))
	}
	era, _ := c.table.Era()
	reply.Era = int(era)
	return reply, nil
}

// encodeResult converts the result of a write to its form on the wire.
func encodeResult(err error) wire.ClaimResult {
	var taken *TakenError
	switch {
	case err == nil:
		return wire.ClaimResult{State: wire.ClaimResultStateW}
	case errors.As(err, &taken):
		record := taken.Record.encode()
		return wire.ClaimResult{State: wire.ClaimResultStateT, Version: taken.Version, Record: &record}
	}
	return wire.ClaimResult{State: wire.ClaimResultStateU}
}

// encode returns the record as JSON.
func (r Record) encode() json.RawMessage {
	text, err := json.Marshal(r)
	if err != nil {
		panic(fmt.Sprintf("claim: a record is always JSON: %v", err))
	}
	return text
}
