package placement_test

import (
	"fmt"
	"testing"
	"time"

	"github.com/croftturn/croftturn/internal/history"
	"github.com/croftturn/croftturn/internal/placement"
)

// newBrittleNode returns a node of a pool with one brittle engine, among nodes with some rates.
func newBrittleNode(now time.Time, self string, slots int, rates map[string]float64) *placement.Placement {
	p := placement.New("h", placement.WithSenders(self, func(time.Time) map[string]float64 { return rates }))
	p.Set(placement.Engine{ID: "e", Pool: "p", Hall: "h", Slots: slots})
	p.NoteBrittle(now, "p", true)
	return p
}

// fill sends requests until the node may send no more, and returns how many it sent.
func fill(now time.Time, p *placement.Placement) (sent int) {
	r := placement.Request{Pool: "p"}
	for {
		c, ok := p.Choose(now, r)
		if !ok || c.Full {
			return sent
		}
		if _, ok := p.MaySend(now, c, r); !ok {
			return sent
		}
		p.Start(now, c, r)
		sent++
	}
}

func TestNodesTogetherKeepWithinABrittleEnginesSlots(t *testing.T) {
	now := time.Now()
	for _, slots := range []int{1, 4, 20, 100} {
		rates := map[string]float64{}
		for i := range 7 {
			rates[fmt.Sprint("n", i)] = float64(1 + i*i)
		}
		total, reports := 0, map[string]map[string]placement.Load{}
		for name := range rates {
			p := newBrittleNode(now, name, slots, rates)
			for peer, loads := range reports {
				p.UpdatePeer(now, peer, history.Position{Version: 1}, loads, nil)
			}
			total += fill(now, p)
			reports[name] = p.Loads()
		}
		if total > slots || 2*total < slots {
			t.Errorf("%d slots: %d requests sent by all nodes", slots, total)
		}
	}
}

func TestIdleSlotsOfABrittleEngineAreLent(t *testing.T) {
	now := time.Now()
	p := newBrittleNode(now, "a", 20, map[string]float64{"a": 1, "b": 1, "c": 1, "d": 1})
	sent := 0
	for range 40 {
		sent += fill(now, p)
		now = now.Add(50 * time.Millisecond)
	}
	if sent < 15 || sent > 16 {
		t.Errorf("%d requests sent while no other node sends, want about three quarters of 20", sent)
	}
	p.NoteBrittle(now, "p", false)
	if c, ok := p.Choose(now, placement.Request{Pool: "p"}); !ok || c.Full {
		t.Errorf("choice %+v, %v, though the engine is sound again", c, ok)
	}
	p.MergeBrittle(now, []string{"p"})
	if c, _ := p.Choose(now, placement.Request{Pool: "p"}); !c.Full {
		t.Error("a peer's word that the engines are brittle is not followed")
	}
}

func TestRequestsThatAreNotSentTakeNoSlotOfABrittleEngine(t *testing.T) {
	now := time.Now()
	p := newBrittleNode(now, "a", 4, map[string]float64{"a": 1})
	r := placement.Request{Pool: "p", Interactive: true}
	former := placement.Choice{Engine: placement.Engine{ID: "e", Pool: "p", Incarnation: 7}}
	for range 4 {
		if _, ok := p.MaySend(now, former, r); ok {
			t.Fatal("a former incarnation may be sent to")
		}
	}
	if sent := fill(now, p); sent != 4 {
		t.Errorf("%d requests sent to 4 free slots", sent)
	}
}
