package routing

import "slices"

// Regions returns the regions in which a request may be served; everywhere reports that there is
// no restriction. If both the route and the team are restricted, both restrictions apply.
func Regions(r *Route, t *Team) (regions []string, everywhere bool) {
	var team *[]string
	if t != nil {
		team = t.Regions
	}
	switch {
	case r.Regions == nil && team == nil:
		return nil, true
	case r.Regions == nil:
		return *team, false
	case team == nil:
		return *r.Regions, false
	}
	for _, region := range *r.Regions {
		if slices.Contains(*team, region) {
			regions = append(regions, region)
		}
	}
	return regions, false
}
