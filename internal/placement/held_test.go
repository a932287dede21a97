package placement_test

import (
	"fmt"
	"testing"
	"time"

	"github.com/croftturn/croftturn/internal/history"
	"github.com/croftturn/croftturn/internal/placement"
)

// TestThrottledEnginesAddNoCapacity checks that engines with a request limit or in backoff do
// not count towards a pool's capacity, neither as engines nor with their slots.
func TestThrottledEnginesAddNoCapacity(t *testing.T) {
	const engines, slots = 6, 10
	for _, test := range []struct {
		name                string
		limited, backingOff int
		busy                int // requests at each other engine
		free                int
		scarce, reserved    bool
	}{
		{"none", 0, 0, 2, 6, false, false},
		{"two limited", 2, 0, 7, 4, true, false},
		{"two backing off", 0, 2, 8, 4, true, true},
		{"all but one", 3, 2, 2, 1, false, false},
	} {
		o := permitTimes{}
		p := placement.New("h", placement.WithLimits(o))
		now := start
		loads := map[string]placement.Load{}
		for i := range engines {
			id := fmt.Sprint("e", i)
			p.Set(placement.Engine{ID: id, Pool: "p", Hall: "h", Slots: slots})
			switch {
			case i < test.limited:
				o[id] = now.Add(time.Minute)
			case i < test.limited+test.backingOff:
				p.BackOff(now, id, time.Minute)
			default:
				loads[id] = placement.Load{InFlight: test.busy}
			}
		}
		p.UpdatePeer(now, "peer", history.Position{}, loads, nil)
		c, ok := p.Choose(now, placement.Request{Pool: "p"})
		if !ok || c.Engines != engines || c.Usable != test.free || c.SlotsScarce != test.scarce || c.SlotsReserved != test.reserved {
			t.Errorf("%s: %+v", test.name, c)
		}
	}
}
