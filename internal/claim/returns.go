package claim

import (
	"context"
	"errors"
	"sync"
	"time"

	"github.com/croftturn/croftturn/internal/clock"
)

const (
	// lossTime is how long a claim is kept to be written again: longer than what the platform may lose when it
	// comes back from a copy.
	lossTime = 15 * time.Second

	// rewriteTime is how long after such a return unclaimed keys are not claimed: until then, other nodes may have
	// claims that the platform lost.
	rewriteTime = 3 * time.Second

	// maxRecent bounds the claims that are kept.
	maxRecent = 1 << 14
)

type (
	// recentClaims are the claims that this node has written lately.
	recentClaims struct {
		mu         sync.Mutex
		list       []recentClaim // list has the newest last.
		known      bool          // known is set once era is.
		era        int64         // era is the platform's latest era that was seen.
		returnedAt time.Time     // returnedAt is when that era was first seen; zero for the first one.
	}

	// recentClaim is a claim and when it was written.
	recentClaim struct {
		key    string
		record Record
		at     time.Time
	}
)

// add adds a written claim.
func (r *recentClaims) add(now time.Time, o *op) {
	r.mu.Lock()
	defer r.mu.Unlock()
	for len(r.list) > 0 && (now.Sub(r.list[0].at) > lossTime || len(r.list) >= maxRecent) {
		r.list = r.list[1:]
	}
	r.list = append(r.list, recentClaim{key: o.key, record: o.record, at: now})
}

// mayLack reports whether the platform, in an era, may lack claims that have not been written again.
func (r *recentClaims) mayLack(now time.Time, era int64) bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	if r.known && era > r.era {
		r.returnedAt = now
	}
	r.known, r.era = true, max(r.era, era)
	return !r.returnedAt.IsZero() && now.Sub(r.returnedAt) < rewriteTime
}

// take returns the claims of the last lossTime.
func (r *recentClaims) take(now time.Time) []recentClaim {
	r.mu.Lock()
	defer r.mu.Unlock()
	var out []recentClaim
	for _, c := range r.list {
		if now.Sub(c.at) <= lossTime {
			out = append(out, c)
		}
	}
	return out
}

// StoreReturned writes the claims of the last lossTime again, after the platform has come back from a copy. A claim
// that the copy has is left as it is. Claims of nodes that are gone can't be written again.
func (c *Claimer) StoreReturned(ctx context.Context) {
	now := clock.Now()
	era, _ := c.table.Era()
	c.recent.mayLack(now, era)
	absent := map[string]*op{}
	for _, each := range c.recent.take(now) {
		absent[each.key] = newOp(each.key, 0, each.record) // The last record of a key holds.
	}
	voided := map[string]*op{}
	for key, err := range c.writeAll(ctx, absent) {
		var taken *TakenError
		if errors.As(err, &taken) && taken.Void() && absent[key].record.State == stateClaimed {
			voided[key] = newOp(key, taken.Version, absent[key].record)
		}
	}
	c.writeAll(ctx, voided)
}

// writeAll writes rows in batches, as those of new claims, and returns the results by key.
func (c *Claimer) writeAll(ctx context.Context, ops map[string]*op) map[string]error {
	out := map[string]error{}
	sent := make([]*op, 0, len(ops))
	for _, o := range ops {
		select {
		case c.destination() <- o:
			sent = append(sent, o)
		case <-ctx.Done():
			return out
		}
	}
	for _, o := range sent {
		out[o.key] = <-o.result
	}
	return out
}
