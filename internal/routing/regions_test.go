package routing_test

import (
	"slices"
	"testing"

	"github.com/croftturn/croftturn/internal/routing"
)

// TestRegionsOfRouteAndTeamBothBind checks in which regions a request may be served.
func TestRegionsOfRouteAndTeamBothBind(t *testing.T) {
	for _, test := range []struct {
		name        string
		route, team *[]string
		want        []string
		everywhere  bool
	}{
		{"no restriction", nil, nil, nil, true},
		{"route", &[]string{"a", "b"}, nil, []string{"a", "b"}, false},
		{"team", nil, &[]string{"b"}, []string{"b"}, false},
		{"both", &[]string{"a", "b"}, &[]string{"b", "c"}, []string{"b"}, false},
		{"nowhere", &[]string{"a"}, &[]string{"c"}, nil, false},
		{"empty list of a route", &[]string{}, nil, nil, false},
		{"empty list of a team", &[]string{"a"}, &[]string{}, nil, false},
	} {
		got, everywhere := routing.Regions(&routing.Route{Regions: test.route}, &routing.Team{Regions: test.team})
		if !slices.Equal(got, test.want) || everywhere != test.everywhere {
			t.Errorf("%s: %v %v, want %v %v", test.name, got, everywhere, test.want, test.everywhere)
		}
	}
	if _, everywhere := routing.Regions(&routing.Route{}, nil); !everywhere {
		t.Error("a request without a team on an unrestricted route is restricted")
	}
}
