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
				ledger, err := Run(context.Background(), Options{
					Seed: seed, Nodes: 4, Engines: 6, Callers: 8, Faults: 8 * time.Second, Calm: time.Second, Dir: t.TempDir(), Program: program,
				})
				if ledger != nil && len(ledger.Broken()) > 0 {
					t.Logf("found with seed %d: %s", seed, ledger.Broken()[0])
					return
				}
				if err != nil {
					t.Logf("seed %d: %v", seed, err)
				}
			}
			t.Errorf("not found with %d seeds", plantedSeeds)
		})
	}
}

// buildWith builds the program with a planted fault and returns its path.
func buildWith(t *testing.T, p planted) string {
	t.Helper()
	root, err := filepath.Abs("../..")
	if err != nil {
		t.Fatal(err)
	}
	original := filepath.Join(root, p.file)
	text, err := os.ReadFile(original)
	if err != nil {
		t.Fatal(err)
	}
	changed := strings.Replace(string(text), p.old, p.new, 1)
	if changed == string(text) {
		t.Fatalf("%s does not hold %q any more", p.file, p.old)
	}
	dir := t.TempDir()
	overlay, err := json.Marshal(struct{ Replace map[string]string }{map[string]string{original: filepath.Join(dir, "changed.go")}})
	if err != nil {
		t.Fatal(err)
	}
	for name, data := range map[string][]byte{"changed.go": []byte(changed), "overlay.json": overlay} {
		if err := os.WriteFile(filepath.Join(dir, name), data, 0o644); err != nil {
			t.Fatal(err)
		}
	}
	program := filepath.Join(dir, "croftturn")
	cmd := exec.Command("go", "build", "-overlay", filepath.Join(dir, "overlay.json"), "-o", program, "./cmd/croftturn")
	cmd.Dir = root
	if out, err := cmd.CombinedOutput(); err != nil {
		t.Fatalf("build: %v\n%s", err, out)
	}
	return program
}
