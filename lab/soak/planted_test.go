package soak

import (
	"context"
	"encoding/json"
	"os"
	"os/exec"
	"path/filepath"
	"slices"
	"strings"
	"testing"
	"time"
)

// plantedFault is a fault planted in the program by replacing a piece of a source file.
// Violations must contain a part of shows, whose parts are divided by "|". It is searched with all environment faults, or only with one
// kind where that is rarely drawn at the right moment.
type plantedFault struct {
	name, shows, only, file, old, new string
}

// whenLate after the name of a fault is for stops in each of which requests become long late.
const whenLate = " when late"

// plantedFaults lists the faults that the soak must find. CI runs the first one;
// SOAK_PLANTED=1 runs all.
var plantedFaults = []plantedFault{
	{"a request that may run once is sent again", " ran 2 times", "", "internal/dispatch/resend.go", "if !x.route.Repeatable() || x.sent >= x.route.MaxEngines || !now", "if x.sent > 1 || !now"},
	{"a stream is ended by a failure", " got ", "engines misbehave", "internal/dispatch/relay.go", "if x.answerBegun && !success {", "if x.answerBegun && !success && x.sent > 9 {"},
	{"the end of its connection ends a stream", " got ", "engines misbehave", "internal/dispatch/relay.go", "if success && x.needsEndCheck(resp) {", "if success && x.sent > 9 && x.needsEndCheck(resp) {"},
	{"a node that reaches no engine keeps its requests", "while it was cut off", "node cut off from engines", "internal/dispatch/forward.go", "return x.d.forwarder != nil &&", "return x.d.forwarder == nil &&"},
	{"an empty list of teams lets all in", "its key belongs to", "all keys taken away", "internal/routing/routing.go", "requiresKey: teams != nil", "requiresKey: len(teams) > 0"},
	{"a stopping node takes what may outlast it", "was cut off by a stop", faultStop, "internal/dispatch/stop.go", "return s == nil || !deadline.After(s.latest()) && (", "return s == nil || s.margin > 0 || ("},
	{"what ran lately bounds any request", "was not answered", faultStarved, "internal/dispatch/stop.go", "route.Kind == routing.Safe && d.expectedBeforeStop(", "route.Kind >= routing.Safe && d.expectedBeforeStop("},
	{"a node that falls behind ends what it took", "was not answered", faultStarved + whenLate, "internal/dispatch/stop.go", "(s.Cut.IsZero() || !deadline.After(s.Cut))", "(s.Cut.IsZero() || s.margin > 0)"},
	{"answers of any size begin late in a stop", "was not answered", faultStarved + whenLate, "internal/dispatch/relay.go", "if x.byEstimate {", "if x.byEstimate && x.sent > 9 {"},
	{"begun streams stay at silent engines in a stop", "was left at a silent engine", faultStarved + whenLate, "internal/dispatch/stop.go", "return begun && (expected", "return begun && x.sent > 9 && (expected"},
	{"answers of a stopping node keep their callers", "was not sent away", faultStarved + whenLate, "internal/linger/answer.go", "(a.server.ending.Load() || a.server.leaving())", "a.server.ending.Load()"},
	{"a listener is closed with its backlog", "was not answered", faultStarved, "internal/linger/conn.go", "if empty && l.empty {", "if empty || !l.empty {"},
	{"a connection with an unread request is closed", "was not answered", faultStarved, "internal/linger/conn.go", "c.idle && !c.serving && unread(c.raw) == 0", "(c.idle || c.begun) && !c.serving"},
	{"requests that cross a close are read", "was not answered", faultStarved, "internal/linger/conn.go", "unread(c.raw) == 0 {\n\t\tc.endReads()", "unread(c.raw) == 0 {\n\t\t_ = halfClose(c.raw)"},
	{"a stop begins when its signal is seen", "did not stop within", faultStarved, "internal/edge/stop.go", "kill.Add(-max(margin, margin/2+steps*late))", "kill.Add(-margin + 0*steps*late)"},
	{"answers end by how late the process was before", "before its last part", faultStarved, "internal/edge/stop.go", "earliestCut(begin, grace); p.cut.Before(earliest) {", "p.refuse; !earliest.IsZero() {"},
	{"what engines have ends with what none has", "before its last part", faultStarved, "internal/dispatch/stop.go", "d.exchanges.endUnsent(errCutOff)", "d.exchanges.end(errCutOff)"},
	{"a second signal ends a stop", "did not stop gracefully: signal: terminated|was not answered", faultSignals, "cmd/croftturn/main.go", "defer stop()", "context.AfterFunc(ctx, stop)"},
	{"changes between two pages are not read", "between two pages", faultUnreadDrain, "platform/store.go", "if all = pages; last != pages.Version {", "if all, all.Version = pages, last; last < 0 {"},
	{"an odd row hides all others", "served beside an odd row", faultOddRow, "platform/store_rows.go", "return json.Unmarshal(withoutDepth(data), into)", "return err"},
	{"the heads of answers have no bound", "bytes of memory", "engines send without end", "internal/dial/head.go", "const MaxHeadBytes = 64 << 10", "const MaxHeadBytes = 1 << 30"},
	{"the end of a connection is believed beside a write", " got ", faultOdd, "internal/dial/transport.go", "if s == nil || !s.ends.Load() {", "if s == nil || s.ends.Load() || !s.ends.Load() {"},
	{"any status is an answer", " got ", faultOdd, "internal/dial/transport.go", "status >= http.StatusOK && status <= maxStatus", "status >= http.StatusOK || status <= maxStatus"},
	{"names of fields may hold blanks", " got ", faultOdd, "internal/dial/head.go", "case !nameByte(b):", "case !nameByte(b) && b != ' ':"},
	{"a short answer is passed on as whole", " got ", "engines cut answers off", "internal/dispatch/relay.go", "return false, fmt.Errorf(\"read answer: %w\", err)\n\t\t}\n\t}", "return true, nil\n\t\t}\n\t}"},
	{"a caller's close is not looked for", "its caller had left", "nodes are behind and callers leave", "internal/caller/caller.go", "s.Closed = info.State != tcpEstablished && info.State != tcpSynRecv", "s.Closed = false"},
	{"requests do not wait for a full link", "its caller had left", "a node's link is full and callers leave", "internal/uplink/uplink.go", "if mbps <= 0 {", "if mbps > 0 {"},
	{"a deadline begins when the request is read", "its caller had left", "nodes are behind and callers leave", "internal/caller/caller.go", "return now.Add(-s.Quiet), s.Closed", "return now, s.Closed"},
	{"a stream goes on at any version", "of several versions", "", "internal/dispatch/continuation.go", "if !x.takenUp() || x.origin.bound {", "if !x.takenUp() || x.sent == 0 {"},
	{"a stream changes its version inside an answer", "of several versions", "engines misbehave for long", "internal/dispatch/continuation.go", "case x.origin.bound:", "case x.origin.bound && !x.answerBegun:"},
	{"records of streams are lost", "that were taken up went on", "", "internal/pinning/records.go", "r.newer[s] = record{origin: unique.Make(o), at: at.Sub(r.base)}", "_ = unique.Make(o)"},
	{"a request that may have run is called not run", "though its caller got", "", "internal/dispatch/walk.go", "x.refuse(Refusal{Reason: x.unlessTimedOut(now, EngineFailed)})", "x.refuse(Refusal{Reason: NoEngine})"},
	{"the store's era is ignored", "s after it", "store comes back from a copy", "platform/era.go", "if err != nil || era < 0 {", "if err != nil || era >= 0 {"},
	{"a copy of the store is believed", "was evacuated", "store loses an evacuation", "internal/feed/carry.go", "keep, limit = c.Missing > 0, c.Missing", "keep, limit = false, c.Missing"},
	{"a node that starts believes a copy", "after its key was revoked", "store comes back as all nodes are lost", "internal/edge/settled.go", "if settled < era {", "if settled < era && era < 0 {"},
	{"a token is given out twice", "was used by", "store loses a term of the duties", "internal/lease/lease.go", "return max(l.record.Token, l.at.Era*tokensPerEra) + 1", "return l.record.Token + 1 + 0*l.at.Era*tokensPerEra"},
	{"a proof never grows old", "after its key was revoked", "key taken away unseen", "internal/freshness/freshness.go", "return p.proven && now.Sub(p.provenAt) <= p.maxAge", "return p.proven"},
	{"an engine that leaves gets new work", "after it reported that it is leaving", "", "internal/discovery/discovery.go", "e.Draining, e.Since = current.draining, current.first", "e.Draining, e.Since = false, current.first"},
	{"what an answer says of leaving is not read", "that it is leaving", "engine leaves, its entry ready", "platform/egress.go", `httpResp.Header.Get(headerLeaving) == "1"`, `httpResp.Header.Get(headerLeaving) == "never"`},
	{"each node keeps to a limit by itself", "had advertised a limit", "engine names a limit", "internal/limit/permits.go", "case node.Self:", "case node.Self || !req.Forwarded:"},
	{"brittle engines get as many requests as others", "fell over", "engines brittle", "internal/placement/brittle.go", "if e.Slots <= 0 || !known.brittle(now) {", "if e.Slots <= 0 || !known.brittle(now) || len(known.engines) > 0 {"},
	{"a stream leaves an engine that is silent for a moment", "it fell silent", "engine silent for a moment", "internal/dispatch/relay.go", "accepts := x.reach != nil && x.reach.Accepts(ctx, address)", "accepts := x.reach == nil && x.reach.Accepts(ctx, address)"},
	{"long requests leave engines that respond", "that ran as long were answered", faultLong, "internal/dispatch/beside.go", "pause.For(w.ctx, after)", "pause.For(w.ctx, after)\n\t\t\tw.abandon(true, w.begun)"},
	{"a rest is forgotten", "a Retry-After of", "engine asks for rest", "internal/placement/rest.go", "return r.until", "return time.Time{}"},
	{"a hall that is evacuated gets new requests", "was evacuated", "hall evacuated", "internal/placement/placement.go", "if !e.Draining && !p.evacuated[e.Hall] {", "if !e.Draining {"},
	{"a reload ends the process", "exited unexpectedly", "hang up a node", "internal/hangup/hangup.go", "signal.Notify(c, syscall.SIGHUP)", "_, _ = signal.Notify, syscall.SIGHUP"},
	{"settings take whole milliseconds only", "exited unexpectedly", faultFractions, "schema/settings.json", `"stop_grace_ms": {"type": "number"`, `"stop_grace_ms": {"type": "integer"`},
	{"a request that crashes engines is never held", "later than", "a request crashes engines", "internal/quarantine/record.go", "return len(r.crashes) >= crashThreshold", "return false"},
	{"engines lost at one moment count one by one", "were refused for good", faultPopular, "internal/quarantine/record.go", "return c.Ran <= shortRun", "return true"},
	{"a part that crashes engines is never held", "after the fifth crash", "a part of prompts crashes engines", "internal/quarantine/judge.go", "if moments(crashes, p.ID, func(*partCrash) bool { return true }) >= heldMoments {", "if moments(crashes, p.ID, func(*partCrash) bool { return false }) >= heldMoments {"},
	{"all shared parts of a crashing prompt are held", "sound requests beside part", "a part of prompts crashes engines", "internal/quarantine/parts.go", "if c.at.After(a.at) || key.version", "if !c.at.IsZero() || key.version"},
	{"the team is not the key's", "its key belongs to", "", "platform/egress.go", "h.Set(headerTeam, a.Team)", `h.Set(headerTeam, a.Team+"x")`},
}

// plantedSeeds is the maximum number of seeds tried to find a fault.
const plantedSeeds = 8

// TestPlantedFaultsAreFound checks that the soak finds faults planted in the program: it
// builds the program with each and runs seeds until a violation is found.
func TestPlantedFaultsAreFound(t *testing.T) {
	for _, p := range plantedFaults {
		changedText(t, p, filepath.Join("../..", p.file)) // Checks that every fault still applies to the source, also those that are not run.
	}
	list := plantedFaults
	if os.Getenv("SOAK_PLANTED") == "" {
		list = plantedFaults[:1]
	}
	for _, p := range list {
		t.Run(p.name, func(t *testing.T) {
			program := buildWith(t, p)
			for seed := uint64(1); seed <= plantedSeeds; seed++ {
				if findsFault(t, p, program, seed) {
					return
				}
			}
			t.Errorf("fault not found with %d seeds", plantedSeeds)
		})
	}
}

// findsFault runs one seed with a program and reports whether the ledger shows the fault. Any
// other violation fails the test, because it is a separate fault.
func findsFault(t *testing.T, p plantedFault, program string, seed uint64) bool {
	t.Helper()
	only, late := strings.CutSuffix(p.only, whenLate)
	ledger, err := Run(context.Background(), Options{
		Seed: seed, Nodes: 4, Engines: 8, Callers: 8, Faults: 8 * time.Second, Cooldown: time.Second, Dir: t.TempDir(), Program: program, Only: only, Late: late,
	})
	if err != nil {
		t.Logf("seed %d: %v", seed, err)
	}
	if ledger == nil {
		return false
	}
	found := false
	for _, violation := range ledger.Violations() {
		if !slices.ContainsFunc(strings.Split(p.shows, "|"), func(part string) bool { return strings.Contains(violation, part) }) {
			t.Errorf("seed %d: a violation other than the planted fault: %s", seed, violation)
			continue
		}
		if !found {
			t.Logf("found with seed %d: %s", seed, violation)
		}
		found = true
	}
	return found
}

// buildWith builds the program with a planted fault and returns its path.
func buildWith(t *testing.T, p plantedFault) string {
	t.Helper()
	root, err := filepath.Abs("../..")
	if err != nil {
		t.Fatal(err)
	}
	dir := t.TempDir()
	overlay := writeOverlay(t, p, root, dir)
	program := filepath.Join(dir, "croftturn")
	cmd := exec.Command("go", "build", "-overlay", overlay, "-o", program, "./cmd/croftturn")
	cmd.Dir = root
	if out, err := cmd.CombinedOutput(); err != nil {
		t.Fatalf("build: %v\n%s", err, out)
	}
	return program
}

// writeOverlay writes the changed source file and a build overlay that replaces the original
// with it; it returns the path of the overlay.
func writeOverlay(t *testing.T, p plantedFault, root, dir string) string {
	t.Helper()
	original, changed, overlay := filepath.Join(root, p.file), filepath.Join(dir, "changed.go"), filepath.Join(dir, "overlay.json")
	text, err := json.Marshal(struct{ Replace map[string]string }{map[string]string{original: changed}})
	if err != nil {
		t.Fatal(err)
	}
	writeFile(t, changed, changedText(t, p, original))
	writeFile(t, overlay, text)
	return overlay
}

// changedText returns the source file with the fault planted.
func changedText(t *testing.T, p plantedFault, original string) []byte {
	t.Helper()
	text, err := os.ReadFile(original)
	if err != nil {
		t.Fatal(err)
	}
	changed := strings.Replace(string(text), p.old, p.new, 1)
	if changed == string(text) {
		t.Fatalf("%s no longer contains %q", p.file, p.old)
	}
	return []byte(changed)
}

// writeFile writes a file or fails the test.
func writeFile(t *testing.T, path string, data []byte) {
	t.Helper()
	if err := os.WriteFile(path, data, 0o644); err != nil {
		t.Fatal(err)
	}
}
