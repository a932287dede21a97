package placement_test

import (
	"testing"
	"time"

	"github.com/croftturn/croftturn/internal/placement"
)

func TestBoundStreamsUseDrainingEnginesOfTheirVersion(t *testing.T) {
	p := placement.New("hall")
	now := time.Now()
	lastSend := now.Add(time.Second)
	p.Set(placement.Engine{ID: "old", Pool: "p", Hall: "hall", Slots: 8, Version: "a", Draining: true, LeavesAt: now.Add(2 * time.Second), LastSend: lastSend})
	p.Set(placement.Engine{ID: "new", Pool: "p", Hall: "hall", Slots: 8, Version: "b"})
	bound := placement.Request{Pool: "p", VersionBound: true, Version: "a", MayLeave: true, Recoverable: true, Events: 3}
	c, ok := p.Choose(now, bound)
	if !ok || c.Engine.ID != "old" || c.Engines != 1 {
		t.Fatalf("chosen %+v, %t", c, ok)
	}
	if until, ok := p.MaySend(now, c, bound); !ok || !until.Equal(lastSend) {
		t.Errorf("may be sent: %t, until %v", ok, until)
	}
	if _, ok := p.MaySend(lastSend, c, bound); ok {
		t.Error("may be sent after the end of its use")
	}
	if c, ok := p.Choose(lastSend, bound); ok {
		t.Errorf("chosen after the end of its use: %+v", c)
	}
	if c, _ := p.Choose(now, placement.Request{Pool: "p"}); c.Engine.ID != "new" {
		t.Errorf("another request goes to %s", c.Engine.ID)
	}
}

func TestResumableStreamsAvoidEnginesThatMayHaveOtherSoftware(t *testing.T) {
	p := placement.New("hall")
	now, e := time.Now(), placement.Engine{ID: "e", Pool: "p", Hall: "hall", Slots: 8, Version: "a", Incarnation: 1}
	p.Set(e)
	for _, r := range []placement.Request{{Pool: "p", Resumable: true}, {Pool: "p", Resumable: true, VersionBound: true, Version: "a"}} {
		c, _ := p.Choose(now, r)
		p.Start(now, c, r).EngineDown(now)
		if _, ok := p.Choose(now.Add(time.Second), r); ok {
			t.Error("chosen though the engine may have started again")
		}
		if _, ok := p.Choose(now.Add(time.Second), placement.Request{Pool: "p"}); !ok {
			t.Error("not chosen for another request")
		}
		if _, ok := p.Choose(now.Add(3*time.Second), r); !ok {
			t.Error("not chosen though it has not started again")
		}
		e.Incarnation++
		p.Set(e)
		if _, ok := p.Choose(now.Add(time.Second), r); !ok {
			t.Error("not chosen though its entry is that of the new incarnation")
		}
	}
}
