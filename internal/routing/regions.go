package routing

import "slices"

// Regions returns the regions in which a request may be served; everywhere says that no region is left out. Where the route and the team are
// both bound, both bind.
func Regions(r *Route, t *Team) (regions []string, everywhere bool) {
	var team []string
	if t != nil {
		team = t.Regions
	}
	switch {
	case len(r.Regions) == 0:
		return team, len(team) == 0
	case len(team) == 0:
		return r.Regions, false
	}
	for _, region := range r.Regions {
		if slices.Contains(team, region) {
			regions = append(regions, region)
		}
	}
	return regions, false
}
