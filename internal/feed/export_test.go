package feed

// Wait waits until no call is in flight.
func (f *Follower) Wait() { f.wg.Wait() }
