package scaling

import (
	"cmp"
	"slices"
)

// excludeEvacuated returns the halls that are not evacuated, which carry the load meanwhile; all
// halls if there are none. An evacuated hall keeps its engines: an evacuation may end without
// notice, and new engines take seconds to start.
func excludeEvacuated(names []string, halls map[string]HallState) []string {
	var out []string
	for _, name := range names {
		if !halls[name].Evacuated {
			out = append(out, name)
		}
	}
	if len(out) == 0 {
		return names
	}
	return out
}

// countEngines returns the number of engines in all halls.
func countEngines(halls map[string]HallState) int {
	n := 0
	for _, h := range halls {
		n += h.OnDemand + h.Spot
	}
	return n
}

// hallsByPrice returns the names of halls, the cheapest first.
func hallsByPrice(limits Limits, halls map[string]HallState) []string {
	names := make([]string, 0, len(halls))
	for name := range halls {
		names = append(names, name)
	}
	slices.SortFunc(names, func(a, b string) int {
		return cmp.Or(cmp.Compare(limits.HallPrices[a], limits.HallPrices[b]), cmp.Compare(a, b))
	})
	return names
}
