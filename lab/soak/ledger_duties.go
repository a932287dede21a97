package soak

import (
	"fmt"

	"github.com/croftturn/croftturn/lab/platform"
)

// checkTokens records the tokens that two holders of the duties used.
func (l *Ledger) checkTokens(calls []platform.DutyCall) {
	l.mu.Lock()
	defer l.mu.Unlock()
	holders := map[int64]string{}
	for _, c := range calls {
		if other, known := holders[c.Token]; known && other != c.Holder {
			l.violations = append(l.violations, fmt.Sprintf("token %d was used by %s and %s", c.Token, other, c.Holder))
		}
		holders[c.Token] = c.Holder
	}
}
