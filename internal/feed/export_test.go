package feed

// Wait waits until no fetch is in flight.
func (f *Follower) Wait() { f.wg.Wait() }
