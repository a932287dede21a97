package placement

import "math/rand/v2"

// Sample returns up to n random engines of a pool that take new work and are not to be avoided, and how
// many engines the pool has.
func (p *Placement) Sample(pool string, n int, avoid func(id string) bool) (sample []Engine, total int) {
	p.mu.Lock()
	defer p.mu.Unlock()
	list := p.pool(pool).engines
	if n == 0 || len(list) == 0 {
		return nil, len(list)
	}
	first := rand.IntN(len(list)) // The engines are in the order of their hashes.
	for i := range list {
		if e := list[(first+i)%len(list)]; avoid == nil || !avoid(e.ID) {
			if sample = append(sample, e.Engine); len(sample) == n {
				break
			}
		}
	}
	return sample, len(list)
}
