package placement

// PoolStats are this node's figures of an interactive pool, for metrics.
type PoolStats struct {
	Transfers       int64   // Transfers counts the requests sent with a transfer.
	TransferTokens  int64   // TransferTokens counts the prompt tokens that were to be copied.
	TransfersMissed int64   // TransfersMissed counts the transfers after which the engine seems to have prefilled the prompt.
	PrefillOverhead float64 // PrefillOverhead is the estimated time to the first event apart from the prefill, in milliseconds.
	PrefillRate     float64 // PrefillRate is the estimated rate, in tokens per millisecond.
}

// InteractiveStats returns the figures of the interactive pools by name.
func (p *Placement) InteractiveStats() map[string]PoolStats {
	p.mu.Lock()
	defer p.mu.Unlock()
	out := map[string]PoolStats{}
	for name, known := range p.pools {
		if known.interactive {
			s := known.stats
			s.PrefillOverhead, s.PrefillRate = known.prefillTime.estimate()
			out[name] = s
		}
	}
	return out
}
