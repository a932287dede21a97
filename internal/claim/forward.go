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
	// MethodClaims is the peers' method that takes a ClaimBatch.
	MethodClaims = "clm"

	// forwardTimeout bounds how long the gathering node has to answer, before the
	// node writes its claims itself.
	forwardTimeout = 1500 * time.Millisecond

	// nodesPerGatherer is how many nodes hand their claims to one of them.
	nodesPerGatherer = 100
)

// Forwarder hands claims to the node that gathers them for several nodes, so that
// the platform sees few transactions however many nodes there are. It does not
// matter for safety which node writes a claim: the check on its row lets at most
// one of two copies through, and the attempt in the row tells whose it was.
type Forwarder interface {
	// Elsewhere reports whether another node gathers for this one.
	Elsewhere() bool
	// Forward hands over a batch.
	Forward(ctx context.Context, batch *wire.ClaimBatch) (*wire.ClaimReply, error)
}

// GatherKey returns the key whose owner gathers for a node, with so many nodes.
func GatherKey(node string, nodes int) string {
	sum := 0
	for _, c := range node {
		sum += int(c)
	}
	return fmt.Sprint("gather/", sum%(1+nodes/nodesPerGatherer))
}

// handOver hands a batch to the gathering node, and writes what that could not
// settle itself.
func (k *Keeper) handOver(batch []*op) {
	ctx, cancel := context.WithTimeout(context.Background(), forwardTimeout)
	defer cancel()
	request := &wire.ClaimBatch{}
	for _, o := range batch {
		request.Rows = append(request.Rows, wire.ClaimRow{Key: o.key, Version: o.version, Record: o.record.encode()})
	}
	reply, err := k.forward.Forward(ctx, request)
	if err != nil || len(reply.Results) != len(batch) {
		k.settle(batch)
		return
	}
	for i, o := range batch {
		o.result <- resultError(reply.Results[i])
	}
}

// resultError turns the gathering node's result into that of a write.
func resultError(r wire.ClaimResult) error {
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

// AnswerClaims writes the claims of another node together with those of others;
// it is the handler of MethodClaims.
func (k *Keeper) AnswerClaims(ctx context.Context, batch *wire.ClaimBatch) (any, error) {
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
		case k.writes <- o:
		case <-ctx.Done():
			return nil, ctx.Err()
		}
	}
	reply := &wire.ClaimReply{}
	for _, o := range ops {
		reply.Results = append(reply.Results, resultOf(<-o.result))
	}
	return reply, nil
}

// resultOf turns the result of a write into what the other node is told.
func resultOf(err error) wire.ClaimResult {
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
