package front

import (
	"net/http"

	"github.com/croftturn/croftturn/internal/member"
	"github.com/croftturn/croftturn/internal/wire"
)

// entryPointsMost is how many addresses a caller is given.
const entryPointsMost = 4

// handleEntryPoints tells a caller which addresses to use, best first. The
// order differs from caller to caller, so that kept answers spread; nodes that
// leave or are suspect are not named.
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
	// The address with its port tells callers of one team apart.
	for _, name := range member.TopRanked("entry/"+team.Name+"/"+r.RemoteAddr, names, entryPointsMost) {
		doc.EntryPoints = append(doc.EntryPoints, entryPoint{Address: nodes[name].CallerAddress, Hall: nodes[name].Hall})
	}
	doc.KeepMs = f.limits.EntryKeep.Milliseconds()
	f.writeJSON(w, doc)
}
