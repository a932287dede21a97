package dispatch_test

import (
	"log/slog"
	"testing"

	"github.com/croftturn/croftturn/internal/dispatch"
	"github.com/croftturn/croftturn/internal/placement"
	"github.com/croftturn/croftturn/internal/reach"
)

// otherEngines are the engines of a pool besides the one that is asked about; none of them accepts connections.
type otherEngines struct{}

func (otherEngines) Sample(string, int, func(string) bool) (sample []placement.Engine, total int) {
	return []placement.Engine{{ID: "other", Address: "b"}}, 2
}

// withoutAnswers makes a dispatcher find that no other engine accepts connections.
func withoutAnswers(t *testing.T) dispatch.Option {
	m := reach.New(otherEngines{}, silentProber(false), func(string) {}, slog.New(slog.DiscardHandler))
	t.Cleanup(m.Close)
	return dispatch.WithReach(m)
}
