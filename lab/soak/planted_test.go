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
type planted struct {
	name, file, old, new string
}

// plants lists the faults that the soak must find. CI plays the first one;
// SOAK_PLANTED=1 plays all.
var plants = []planted{
	{"a request that may run once is sent again", "internal/dispatch/resend.go", "if !w.route.Repeatable() || w.sent >= w.route.MaxEngines || !now", "if w.sent > 1 || !now"},
	{"a stream is ended by a failure", "internal/dispatch/relay.go", "if w.begun && !success {", "if w.begun && !success && w.sent > 9 {"},
	{"a request that may have run is called not run", "internal/dispatch/walk.go", "w.refuse(Refusal{Reason: w.lateOr(now, Broken)})", "w.refuse(Refusal{Reason: NoEngine})"},
	{"a proof never grows old", "internal/freshness/freshness.go", "return p.proven && now.Sub(p.at) <= p.maxAge", "return p.proven"},
	{"an engine that leaves gets new work", "internal/discovery/discovery.go", "e.Draining = d.draining[e.ID]", "e.Draining = false"},
	{"a reload ends the process", "cmd/croftturn/main.go", "signal.Notify(reload, syscall.SIGHUP)", ""},
	{"the team is not the key's", "platform/egress.go", "h.Set(headerTeam, a.Team)", `h.Set(headerTeam, a.Team+"x")`},
}

// plantedSeeds is how many seeds may be needed to find a fault.
const plantedSeeds = 24

// TestPlantedFaultsAreFound holds that the soak finds faults planted in the program:
// it builds the program with each and plays seeds until a promise is broken.
func TestPlantedFaultsAreFound(t *testing.T) {
	list := plants
	if os.Getenv("SOAK_PLANTED") == "" {
		list = plants[:1]
	}
	for _, p := range list {
		t.Run(p.name, func(t *testing.T) {
			program := buildWith(t, p)
			for seed := uint64(1); seed <= plantedSeeds; seed++ {
				if findsFault(t, program, seed) {
					return
				}
			}
			t.Errorf("not found with %d seeds", plantedSeeds)
		})
	}
}

// findsFault plays one seed with a program and reports whether a promise was broken.
func findsFault(t *testing.T, program string, seed uint64) bool {
	t.Helper()
	ledger, err := Run(context.Background(), Options{
		Seed: seed, Nodes: 4, Engines: 6, Callers: 8, Faults: 8 * time.Second, Calm: time.Second, Dir: t.TempDir(), Program: program,
	})
	if ledger != nil && len(ledger.Broken()) > 0 {
		t.Logf("found with seed %d: %s", seed, ledger.Broken()[0])
		return true
	}
	if err != nil {
		t.Logf("seed %d: %v", seed, err)
	}
	return false
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
