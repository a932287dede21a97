package placement

import "slices"

// WithRegions sets the regions of halls. An engine in a hall of unknown region takes no request
// that is bound to regions.
func WithRegions(byHall map[string]string) Option {
	return func(p *Placement) { p.regions = byHall }
}

// regionAllowed reports whether a request may be served in an engine's region.
func (p *Placement) regionAllowed(r Request, e *engine) bool {
	if !r.RegionBound {
		return true
	}
	region, known := p.regions[e.Hall]
	return known && slices.Contains(r.Regions, region)
}
