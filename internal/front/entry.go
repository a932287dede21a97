package front

import (
	"net/http"

	"github.com/croftturn/croftturn/internal/member"
	"github.com/croftturn/croftturn/internal/wire"
)

// maxEntryPoints is the maximum number of addresses returned to a caller.
const maxEntryPoints = 4

// handleEntryPoints returns the addresses a caller should use, best first. The
// order differs between callers, so that cached responses spread the load. Leaving
// and suspect nodes are omitted.
func (f *Front) handleEntryPoints(w http.ResponseWriter, r *http.Request) {
	team, failure := authenticate(f.views.View(), r)
	if failure != nil {
		f.fail(w, "", failure)
		return
	}
	nodes := map[string]wire.Member{}
	var names []string
	for _, m := range f.members.Live() {
		if m.State == wire.MemberStateA {
			nodes[m.Name] = m
			names = append(names, m.Name)
		}
	}
	type entryPoint struct {
		Address string `json:"address"`
		Hall    string `json:"hall"`
	}
	var doc struct {
		EntryPoints []entryPoint `json:"entry_points"`
		KeepMs      int64        `json:"keep_ms"`
	}
	doc.EntryPoints = []entryPoint{}
	// The remote address with its port distinguishes callers of one team.
	for _, name := range member.TopRanked("entry/"+team.Name+"/"+r.RemoteAddr, names, maxEntryPoints) {
		doc.EntryPoints = append(doc.EntryPoints, entryPoint{Address: nodes[name].CallerAddress, Hall: nodes[name].Hall})
	}
	doc.KeepMs = f.limits.EntryPointTTL.Milliseconds()
	f.writeJSON(w, doc)
}
