package platform

import (
	"net/http"
	"slices"
	"strconv"
)

// DutyCall is a call that one node made on behalf of all.
type DutyCall struct {
	Holder string
	Token  int64
}

// handleUsage takes a report of usage, unless a call with a higher token came before.
func (p *Platform) handleUsage(w http.ResponseWriter, r *http.Request) {
	token, err := strconv.ParseInt(r.Header.Get("Fencing-Token"), 10, 64)
	if err != nil {
		http.Error(w, "no token", http.StatusBadRequest)
		return
	}
	p.mu.Lock()
	defer p.mu.Unlock()
	if slices.ContainsFunc(p.duties, func(c DutyCall) bool { return c.Token > token }) {
		http.Error(w, "the token is old", http.StatusForbidden)
		return
	}
	if call := (DutyCall{Holder: r.Header.Get("Duty-Holder"), Token: token}); !slices.Contains(p.duties, call) {
		p.duties = append(p.duties, call)
	}
}

// DutyCalls returns the calls taken so far, each holder and token once.
func (p *Platform) DutyCalls() []DutyCall {
	p.mu.Lock()
	defer p.mu.Unlock()
	return slices.Clone(p.duties)
}
