package edge

import (
	"encoding/json"
	"fmt"
	"net/http"
	"strconv"
	"strings"
	"time"

	"github.com/croftturn/croftturn/internal/admin"
	"github.com/croftturn/croftturn/internal/clock"
	"github.com/croftturn/croftturn/internal/config"
	"github.com/croftturn/croftturn/internal/header"
	"github.com/croftturn/croftturn/internal/quarantine"
	"github.com/croftturn/croftturn/internal/wire"
)

// maxStatementBytes is the longest request body accepted with an operator's statement.
const maxStatementBytes = 4 << 10

// statements serves the operators' statements: "duties" shows the duties that one node performs for all,
// "evacuations" lists the halls that are evacuated, "store" shows the era and the positions of the tables, "held"
// lists the requests and prompt parts that are held, and "release ID" releases one at all nodes. Releasing requires
// the operators' token; if the settings have none, it is forbidden.
func (e *Edge) statements(w http.ResponseWriter, r *http.Request) {
	var statement struct {
		Text string `json:"text"`
	}
	if err := json.NewDecoder(http.MaxBytesReader(w, r.Body, maxStatementBytes)).Decode(&statement); err != nil {
		http.Error(w, "statement not understood: "+err.Error(), http.StatusBadRequest)
		return
	}
	now := clock.Now()
	words := strings.Fields(statement.Text)
	rows, isQuery := map[string]func(time.Time) []wire.Row{"held": e.heldRows, "duties": e.dutyRows, "evacuations": e.evacuationRows, "store": e.storeRows}[strings.Join(words, " ")]
	switch {
	case isQuery:
	case len(words) != 2 || words[0] != "release":
		http.Error(w, `want "duties", "evacuations", "held", "store" or "release ID"`, http.StatusBadRequest)
		return
	case !config.TokenMatches(header.Bearer(r.Header), e.settings.BootstrapTokenSha256):
		http.Error(w, "the token is not the operators'", http.StatusForbidden)
		return
	default:
		id, err := strconv.ParseUint(words[1], 16, 64)
		if err != nil || !e.quarantine.Release(now, quarantine.Fingerprint(id)) && !e.parts.Release(now, id) {
			http.Error(w, words[1]+" is not held", http.StatusNotFound)
			return
		}
		rows = e.heldRows
	}
	w.Header().Set("Content-Type", "application/json")
	if err := json.NewEncoder(w).Encode(admin.Result{Rows: rows(now)}); err != nil {
		e.log.Debug("could not write the answer to an operator", "error", err.Error())
	}
}

// evacuationRows returns the evacuated halls as rows for operators, with the number of requests
// still running there as far as this node knows.
func (e *Edge) evacuationRows(now time.Time) []wire.Row {
	var rows []wire.Row
	for _, each := range e.evacuations.List() {
		n := e.placement.InFlight(now, each.Hall)
		rows = append(rows, wire.Row{
			Name: each.Hall, State: "evacuated", Count: n, AgeMs: int(now.Sub(each.Since).Milliseconds()), AtMs: int(clock.Wall(each.Since).UnixMilli()),
			Reason: fmt.Sprintf("asked for in version %d of the operators' table; %d requests still run at its engines", each.Version, n),
		})
	}
	return rows
}

// heldRows returns the held requests and prompt parts as rows for operators.
func (e *Edge) heldRows(now time.Time) []wire.Row { return quarantine.Rows(now, e.quarantine, e.parts) }
