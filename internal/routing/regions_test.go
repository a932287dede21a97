package routing_test

import (
	"slices"
	"testing"

	"github.com/croftturn/croftturn/internal/routing"
)

// TestRegionsOfRouteAndTeamBothBind holds in which regions a request may be served.
func TestRegionsOfRouteAndTeamBothBind(t *testing.T) {
	for _, test := range []struct {
		name              string
		route, team, want []string
		any               bool
	}{
		{"none bound", nil, nil, nil, true},
		{"route", []string{"a", "b"}, nil, []string{"a", "b"}, false},
		{"team", nil, []string{"b"}, []string{"b"}, false},
		{"both", []string{"a", "b"}, []string{"b", "c"}, []string{"b"}, false},
		{"nowhere", []string{"a"}, []string{"c"}, nil, false},
	} {
		got, any := routing.Regions(&routing.Route{Regions: test.route}, &routing.Team{Regions: test.team})
		if !slices.Equal(got, test.want) || any != test.any {
			t.Errorf("%s: %v %v, want %v %v", test.name, got, any, test.want, test.any)
		}
	}
	if _, any := routing.Regions(&routing.Route{}, nil); !any {
		t.Error("a request without a team is bound")
	}
}
