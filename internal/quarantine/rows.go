package quarantine

import (
	"fmt"
	"strings"
	"time"

	"github.com/croftturn/croftturn/internal/clock"
	"github.com/croftturn/croftturn/internal/wire"
)

// Rows returns the held requests and prompt parts as rows for operators.
func Rows(now time.Time, requests *Quarantine, parts *Parts) []wire.Row {
	var rows []wire.Row
	add := func(r wire.Row, crashes []Crash) {
		newest := crashes[len(crashes)-1].At
		r.Engine, r.AtMs, r.AgeMs = strings.Join(engineIDs(crashes), " "), int(clock.Wall(newest).UnixMilli()), int(now.Sub(newest).Milliseconds())
		rows = append(rows, r)
	}
	for _, h := range requests.List() {
		add(wire.Row{
			Name: h.Fingerprint.String(), State: "held", Team: h.Team,
			Reason: fmt.Sprintf("%d engines ended under it, on route %s; tried again in %v", len(h.Crashes), h.Route, max(0, h.TrialAt.Sub(now)).Round(time.Second)),
		}, h.Crashes)
	}
	for _, h := range parts.List() {
		add(wire.Row{
			Name: h.Part.String(), State: "held part", Pool: h.Pool,
			Reason: fmt.Sprintf("%d engines ended under prompts with it, in pool %s; %d other parts may be the cause; tried again in %v", len(h.Crashes), h.Pool, h.Rivals, max(0, h.TrialAt.Sub(now)).Round(time.Second)),
		}, h.Crashes)
	}
	return rows
}
