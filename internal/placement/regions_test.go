package placement_test

import (
	"testing"

	"github.com/croftturn/croftturn/internal/placement"
)

// TestRequestsBoundToRegionsStayThere checks that a request bound to regions is sent only to
// engines there, whatever their cost, and to none if there is no engine or the region of its
// hall is unknown.
func TestRequestsBoundToRegionsStayThere(t *testing.T) {
	p := placement.New("a1", placement.WithRegions(map[string]string{"a1": "a", "b1": "b"}))
	for id, hall := range map[string]string{"near": "a1", "far": "b1", "strange": "c1"} {
		p.Set(placement.Engine{ID: id, Pool: "p", Hall: hall, Slots: 4})
	}
	for _, test := range []struct {
		name    string
		regions []string
		want    string
	}{{"own", []string{"a"}, "near"}, {"other", []string{"b"}, "far"}, {"unknown", []string{"c"}, ""}, {"none", nil, ""}} {
		c, _ := p.Choose(start, placement.Request{Pool: "p", RegionBound: true, Regions: test.regions})
		if c.Engine.ID != test.want {
			t.Errorf("%s: sent to %q, want %q", test.name, c.Engine.ID, test.want)
		}
	}
	p.SetEvacuated("b1", true)
	if c, ok := p.Choose(start, placement.Request{Pool: "p", RegionBound: true, Regions: []string{"b"}}); ok {
		t.Errorf("sent to %q although the only allowed hall is evacuated", c.Engine.ID)
	}
}
