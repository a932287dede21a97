package soak

import (
	"context"
	"encoding/json"
	"os"
	"os/exec"
	"path/filepath"
	"strings"
	"testing"
	"time"
)

// planted is a fault of the program: a piece of a file, and what stands in its place.
// Shows is a piece of what the ledger says of it. It is looked for with all kinds of
// faults of the world, or with one kind where that is rarely drawn at the right moment.
type planted struct {
	name, shows, only, file, old, new string
}

// plants lists the faults that the soak must find. CI plays the first one;
// SOAK_PLANTED=1 plays all.
var plants = []planted{
	{"a request that may run once is sent again", " ran 2 times", "", "internal/dispatch/resend.go", "if !x.route.Repeatable() || x.sent >= x.route.MaxEngines || !now", "if x.sent > 1 || !now"},
	{"a stream is ended by a failure", " got ", "engines misbehave", "internal/dispatch/relay.go", "if x.answerBegun && !success {", "if x.answerBegun && !success && x.sent > 9 {"},
	{"a request that may have run is called not run", "though its caller got", "", "internal/dispatch/walk.go", "x.refuse(Refusal{Reason: x.unlessTimedOut(now, EngineFailed)})", "x.refuse(Refusal{Reason: NoEngine})"},
	{"a proof never grows old", "after its key was taken away", "key taken away unseen", "internal/freshness/freshness.go", "return p.proven && now.Sub(p.provenAt) <= p.maxAge", "return p.proven"},
	{"an engine that leaves gets new work", "after it said that it leaves", "", "internal/discovery/discovery.go", "e.Draining, e.SinceVersion = current.draining, current.firstVersion", "e.Draining, e.SinceVersion = false, current.firstVersion"},
	{"what an answer says of leaving is not read", "that it leaves", "engine leaves, its entry ready", "platform/egress.go", `httpResp.Header.Get(headerLeaving) == "1"`, `httpResp.Header.Get(headerLeaving) == "never"`},
	{"each node keeps to a limit by itself", "had named a limit", "engine names a limit", "internal/limit/permits.go", "case node.Self:", "case node.Self || !req.Forwarded:"},
	{"a rest is forgotten", "of rest", "engine asks for rest", "internal/placement/rest.go", "return r.until", "return time.Time{}"},
	{"a hall that is evacuated gets new requests", "was evacuated", "hall evacuated", "internal/placement/placement.go", "if !e.Draining && !p.evacuated[e.Hall] {", "if !e.Draining {"},
	{"a reload ends the process", "ended by itself", "hang up a node", "cmd/croftturn/main.go", "signal.Notify(reload, syscall.SIGHUP)", ""},
	{"a request that crashes engines is never held", "later than", "a request crashes engines", "internal/quarantine/record.go", "return len(r.crashes) >= crashThreshold", "return false"},
	{"the team is not the key's", "its key is of", "", "platform/egress.go", "h.Set(headerTeam, a.Team)", `h.Set(headerTeam, a.Team+"x")`},
}

// plantedSeeds is how many seeds may be needed to find a fault.
const plantedSeeds = 8

// TestPlantedFaultsAreFound holds that the soak finds faults planted in the program:
// it builds the program with each and plays seeds until a promise is broken.
func TestPlantedFaultsAreFound(t *testing.T) {
	for _, p := range plants {
		changedText(t, p, filepath.Join("../..", p.file)) // All must still fit the program, also those that are not played.
	}
	list := plants
	if os.Getenv("SOAK_PLANTED") == "" {
		list = plants[:1]
	}
	for _, p := range list {
		t.Run(p.name, func(t *testing.T) {
			program := buildWith(t, p)
			for seed := uint64(1); seed <= plantedSeeds; seed++ {
				if findsFault(t, p, program, seed) {
					return
				}
			}
			t.Errorf("not found with %d seeds", plantedSeeds)
		})
	}
}

// findsFault plays one seed with a program and reports whether the ledger shows the
// fault. Another broken promise fails the test: it is a finding of its own.
func findsFault(t *testing.T, p planted, program string, seed uint64) bool {
	t.Helper()
	ledger, err := Run(context.Background(), Options{
		Seed: seed, Nodes: 4, Engines: 6, Callers: 8, Faults: 8 * time.Second, Calm: time.Second, Dir: t.TempDir(), Program: program, Only: p.only,
	})
	if err != nil {
		t.Logf("seed %d: %v", seed, err)
	}
	if ledger == nil {
		return false
	}
	found := false
	for _, broken := range ledger.Broken() {
		if !strings.Contains(broken, p.shows) {
			t.Errorf("seed %d: a promise broken beside the planted fault: %s", seed, broken)
			continue
		}
		if !found {
			t.Logf("found with seed %d: %s", seed, broken)
		}
		found = true
	}
	return found
}

// buildWith builds the program with a planted fault and returns its path.
func buildWith(t *testing.T, p planted) string {
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

// writeOverlay writes a changed copy of a fault's file to a directory, and an overlay that
// makes the compiler read it in place of the original; it returns the overlay's path.
func writeOverlay(t *testing.T, p planted, root, dir string) string {
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

// changedText returns the text of a file with a fault in it.
func changedText(t *testing.T, p planted, original string) []byte {
	t.Helper()
	text, err := os.ReadFile(original)
	if err != nil {
		t.Fatal(err)
	}
	changed := strings.Replace(string(text), p.old, p.new, 1)
	if changed == string(text) {
		t.Fatalf("%s does not hold %q any more", p.file, p.old)
	}
	return []byte(changed)
}

// writeFile writes a file.
func writeFile(t *testing.T, path string, data []byte) {
	t.Helper()
	if err := os.WriteFile(path, data, 0o644); err != nil {
		t.Fatal(err)
	}
}
