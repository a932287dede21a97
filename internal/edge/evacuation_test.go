package edge

import (
	"testing"
	"time"

	"github.com/croftturn/croftturn/internal/feed"
	"github.com/croftturn/croftturn/internal/placement"
	"github.com/croftturn/croftturn/platform"
)

// evacuationRow returns the operators' row that evacuates a hall, or its deletion.
func evacuationRow(hall string, version int64, deleted bool) feed.Row {
	return feed.Row{Table: platform.TableConfig, Key: "evacuate/" + hall, Value: []byte("{}"), Version: version, Deleted: deleted}
}

// TestEvacuationsComeWithTheOperatorsTable checks that the engines of a hall get no requests once
// its row is known, that a full read of the table without the row ends the evacuation, and that
// neither affects the configuration.
func TestEvacuationsComeWithTheOperatorsTable(t *testing.T) {
	e := startWithPeers(t, nil)
	waitFor(t, func() bool { return e.Ready(time.Now()) }, "not ready")
	now := time.Now()
	e.placement.Set(placement.Engine{ID: "e", Pool: "p", Hall: "h2", Slots: 1})
	open := func() bool {
		_, ok := e.placement.Choose(now, placement.Request{Pool: "p"})
		return ok
	}
	e.configTable.Apply(now, []feed.Row{evacuationRow("h2", 20, false)})
	if open() || !e.placement.HallEngines("p")["h2"].Evacuated {
		t.Error("an engine in an evacuated hall is chosen or shown as serving")
	}
	if rows := e.evacuationRows(now.Add(time.Second)); len(rows) != 1 || rows[0].Name != "h2" || rows[0].AgeMs != 1000 {
		t.Errorf("operators are shown %+v", rows)
	}
	config := feed.Row{Table: platform.TableConfig, Key: "config", Value: []byte(configRow), Version: 5}
	e.configTable.Replace(now, feed.Snapshot{Rows: []feed.Row{config}, Version: 19})
	if open() {
		t.Error("an older copy of the table ends the evacuation")
	}
	e.configTable.Replace(now, feed.Snapshot{Rows: []feed.Row{config}, Version: 21})
	if !open() || len(e.evacuationRows(now)) > 0 {
		t.Error("the hall stays evacuated after its row was removed")
	}
	e.configTable.Apply(now, []feed.Row{evacuationRow("h2", 22, false), evacuationRow("h2", 23, true)})
	if !open() || e.dispatcher.Version() != 3 || e.configsRefused.Load() > 0 {
		t.Errorf("after both rows at once: open %v, configuration %d, %d refused", open(), e.dispatcher.Version(), e.configsRefused.Load())
	}
}
