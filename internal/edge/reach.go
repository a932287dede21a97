package edge

import "context"

// wayChanged handles that this node has lost its way to the engines of a pool, or has it back.
func (e *Edge) wayChanged(pool string) { e.metrics.ways.Add(context.Background(), 1, byPool(pool)) }
