package config_test

import (
	"context"
	"encoding/json"
	"errors"
	"flag"
	"fmt"
	"log/slog"
	"maps"
	"os"
	"sort"
	"strings"
	"sync"
	"testing"
	"time"

	"github.com/croftturn/croftturn/internal/config"
	"github.com/croftturn/croftturn/internal/kv"
	"github.com/croftturn/croftturn/internal/wire"
	"github.com/gravitational/trace"
	"pgregory.net/rapid"
)

var now = time.Unix(1000, 0)

type (
	// faultyTable is an in-memory table with injected write faults.
	faultyTable struct {
		mu   sync.Mutex
		rows map[string]kv.Row
		era  int64
		// faults are the faults of the next writes: "" for none, "lost" if the reply
		// is lost after the write took effect, "dropped" if the write never arrives.
		faults []string
	}

	// noPeers is a Peers without any peer.
	noPeers struct{}
)

// TestMain fixes the seed of the property tests, so that runs are repeatable;
// -rapid.seed on the command line overrides it.
func TestMain(m *testing.M) {
	// Each check waits for the backoff of retried writes, so only a few dozen run.
	for name, value := range map[string]string{"rapid.seed": "1", "rapid.checks": "25"} {
		if err := flag.Set(name, value); err != nil {
			panic(err)
		}
	}
	os.Exit(m.Run())
}

// Changes always fails.
func (noPeers) Changes(context.Context, int) ([]*wire.ChangesReply, error) {
	return nil, errors.New("no peers")
}

// Get reads a row.
func (t *faultyTable) Get(_ context.Context, key string) (kv.Row, error) {
	t.mu.Lock()
	defer t.mu.Unlock()
	row := t.rows[key]
	row.Era = t.era
	return row, nil
}

// List reads rows by prefix.
func (t *faultyTable) List(_ context.Context, prefix, after string, limit int) ([]kv.Row, error) {
	t.mu.Lock()
	defer t.mu.Unlock()
	var out []kv.Row
	for key, row := range t.rows {
		if strings.HasPrefix(key, prefix) && key > after {
			out = append(out, row)
		}
	}
	sort.Slice(out, func(i, j int) bool { return out[i].Key < out[j].Key })
	return out[:min(limit, len(out))], nil
}

// Transact runs a transaction with the next injected fault.
func (t *faultyTable) Transact(_ context.Context, txn kv.Txn) error {
	t.mu.Lock()
	defer t.mu.Unlock()
	fault := ""
	if len(t.faults) > 0 {
		fault, t.faults = t.faults[0], t.faults[1:]
	}
	if fault == "dropped" {
		return kv.ErrUncertain
	}
	for _, c := range txn.Checks {
		if t.rows[c.Key].Version != c.Version {
			return kv.ErrConflict
		}
	}
	for _, p := range txn.Puts {
		t.rows[p.Key] = kv.Row{Key: p.Key, Value: p.Value, Version: t.rows[p.Key].Version + 1}
	}
	if fault == "lost" {
		return kv.ErrUncertain
	}
	return nil
}

// newSyncer returns the Syncer of a node that uses a table, and its store.
func newSyncer(tab *faultyTable) (*config.Syncer, *config.Store) {
	s := config.NewStore()
	return config.NewSyncer(s, tab, noPeers{}, slog.New(slog.DiscardHandler)), s
}

// setWeight writes a change of a team's weight.
func setWeight(k *config.Syncer, id string, weight int) (wire.Change, error) {
	token := config.HashToken("t")
	return k.Write(context.Background(), now, id, "op", "set", config.SetFields(wire.EntityKindTeam, "alfa", []config.Field{
		{Name: "weight", Value: []byte(fmt.Sprint(weight))}, {Name: "token_sha256", Value: []byte(`"` + token + `"`)},
	}))
}

// TestChangesUnderFaults writes changes at two nodes with random lost replies and
// dropped writes. Accepted changes must be in the history exactly once, under their
// version, rejected ones not at all, and no store's version may decrease.
func TestChangesUnderFaults(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		tab := &faultyTable{rows: map[string]kv.Row{}}
		k1, s1 := newSyncer(tab)
		k2, s2 := newSyncer(tab)
		accepted := map[string]int{}
		highest := map[*config.Store]int{}
		for i := range 8 {
			tab.faults = rapid.SliceOfN(rapid.SampledFrom([]string{"", "lost", "dropped"}), 0, 2).Draw(t, "faults")
			k := rapid.SampledFrom([]*config.Syncer{k1, k2}).Draw(t, "node")
			id := fmt.Sprint("c", i)
			ch, err := setWeight(k, id, i+1)
			if err != nil {
				t.Fatalf("change %s: %v", id, err)
			}
			accepted[id] = ch.Version
			for _, s := range []*config.Store{s1, s2} {
				if s.Version() < highest[s] {
					t.Fatalf("a store went back from %d to %d", highest[s], s.Version())
				}
				highest[s] = s.Version()
			}
		}
		history, err := k1.History(context.Background(), 0, 100)
		if err != nil || len(history) != 8 {
			t.Fatalf("history has %d changes, %v", len(history), err)
		}
		for i, ch := range history {
			if ch.Version != i+1 || accepted[ch.ID] != ch.Version {
				t.Fatalf("history has %s as version %d, accepted as %d", ch.ID, ch.Version, accepted[ch.ID])
			}
		}
	})
}

func TestConflictWritesNothing(t *testing.T) {
	tab := &faultyTable{rows: map[string]kv.Row{}}
	k, _ := newSyncer(tab)
	other, _ := newSyncer(tab)
	_, err := k.Write(context.Background(), now, "mine", "op", "race", func(c *config.Config) error {
		_, err := setWeight(other, "theirs", 3) // A concurrent change by another operator.
		return err
	})
	if !trace.IsCompareFailed(err) {
		t.Fatalf("Write() = %v, want a conflict", err)
	}
	history, err := k.History(context.Background(), 0, 100)
	if err != nil || len(history) != 1 || history[0].ID != "theirs" {
		t.Errorf("history = %+v, %v", history, err)
	}
}

func TestUndoCreatesNewVersion(t *testing.T) {
	tab := &faultyTable{rows: map[string]kv.Row{}}
	k, s := newSyncer(tab)
	for i := range 4 {
		if _, err := setWeight(k, fmt.Sprint(i), i+1); err != nil {
			t.Fatal(err)
		}
	}
	undo, err := k.Undo(context.Background(), 2)
	if err != nil {
		t.Fatal(err)
	}
	ch, err := k.Write(context.Background(), now, "undo", "op", "rollback to 2", undo)
	if err != nil || ch.Version != 5 || len(ch.Entities) != 1 || s.View().Team("alfa").Weight != 2 {
		t.Errorf("undo = %+v, %v; weight %v", ch, err, s.View().Team("alfa").Weight)
	}
}

// TestStoreAcceptsOnlyNewerVersions checks that old configurations and changes have no
// effect, whatever their source, and that a gap in the versions is an error.
func TestStoreAcceptsOnlyNewerVersions(t *testing.T) {
	s := config.NewStore()
	for version, want := range map[int]bool{5: true, 4: false} {
		if version == 4 {
			continue
		}
		if got, err := s.Replace(&config.Config{Version: version}); err != nil || got != want {
			t.Fatalf("Replace(%d) = %v, %v", version, got, err)
		}
	}
	if got, err := s.Replace(&config.Config{Version: 4}); err != nil || got {
		t.Errorf("Replace(4) after 5 = %v, %v", got, err)
	}
	if err := s.Apply([]wire.Change{{Version: 3}, {Version: 5}, {Version: 6}}); err != nil || s.Version() != 6 {
		t.Errorf("Apply(3, 5, 6) = %v, version %d", err, s.Version())
	}
	if err := s.Apply([]wire.Change{{Version: 8}}); !trace.IsCompareFailed(err) || s.Version() != 6 {
		t.Errorf("Apply(8) = %v, version %d", err, s.Version())
	}
	if changes, known := s.ChangesAfter(5); !known || len(changes) != 1 {
		t.Errorf("After(5) = %v, %v", changes, known)
	}
	if _, known := s.ChangesAfter(2); known {
		t.Error("After(2) is known though the store began at 5")
	}
}

func TestContradictionsAreRejected(t *testing.T) {
	team := config.Team{Name: "a", TokenSha256: config.HashToken("a")}
	for name, c := range map[string]*config.Config{
		"team twice":     {Teams: []config.Team{team, team}},
		"no such class":  {Teams: []config.Team{{Name: "a", TokenSha256: "x", DefaultClass: "none"}}},
		"model twice":    {Pools: []config.Pool{{Name: "p", Models: []string{"m"}}, {Name: "q", Models: []string{"m"}}}},
		"no such pool":   {Engines: []config.Engine{{Name: "e", Pool: "none"}}},
		"shares over 1":  {Classes: []config.Class{{Name: "a", MinShare: 0.6}, {Name: "b", MinShare: 0.6}}},
		"operators' key": {Operators: []config.Operator{{Name: "a", TokenSha256: "x"}, {Name: "b", TokenSha256: "x"}}},
	} {
		var contradiction *config.ContradictionError
		if _, err := config.NewView(c); !errors.As(err, &contradiction) {
			t.Errorf("%s: NewView() = %v, want a contradiction", name, err)
		}
	}
}

// TestChangesLostByThePlatformAreWrittenAgain guards against lost changes and a version that two changes have.
func TestChangesLostByThePlatformAreWrittenAgain(t *testing.T) {
	ctx, table := context.Background(), &faultyTable{rows: map[string]kv.Row{}}
	newSyncer := func() (*config.Syncer, *config.Store) {
		s := config.NewStore()
		return config.NewSyncer(s, table, noPeers{}, slog.New(slog.DiscardHandler)), s
	}
	a, _ := newSyncer()
	if err := a.Refresh(ctx); err != nil {
		t.Fatal(err)
	}
	for _, weight := range []int{1, 2} {
		if _, err := setWeight(a, fmt.Sprint("kept", weight), weight); err != nil {
			t.Fatal(err)
		}
	}
	copied := maps.Clone(table.rows)
	lost, err := setWeight(a, "lost", 3)
	if err != nil {
		t.Fatal(err)
	}
	table.rows = copied
	next, err := setWeight(a, "next", 4)
	if err != nil || next.Version != lost.Version+1 {
		t.Errorf("the change after the return has version %d, %v; the lost one had %d", next.Version, err, lost.Version)
	}
	table.rows = maps.Clone(copied)
	if err := a.Refresh(ctx); err != nil {
		t.Fatal(err)
	}
	b, store := newSyncer()
	if err := b.Refresh(ctx); err != nil || store.Version() != next.Version {
		t.Errorf("a node that starts has version %d, %v, want %d", store.Version(), err, next.Version)
	}
	if changes, err := b.History(ctx, 0, 9); err != nil || len(changes) != next.Version {
		t.Errorf("%d changes in the history, %v, want %d", len(changes), err, next.Version)
	}
}

// TestNodeWithALostChangeTakesThePlatforms guards against nodes with different configurations of one version.
func TestNodeWithALostChangeTakesThePlatforms(t *testing.T) {
	for _, further := range []int{0, 1} {
		ctx, table := context.Background(), &faultyTable{rows: map[string]kv.Row{}}
		a, mine := newSyncer(table)
		b, theirs := newSyncer(table)
		if _, err := setWeight(a, "kept", 1); err != nil {
			t.Fatal(err)
		}
		if err := b.Refresh(ctx); err != nil {
			t.Fatal(err)
		}
		copied := maps.Clone(table.rows)
		if _, err := setWeight(a, "lost", 2); err != nil {
			t.Fatal(err)
		}
		table.rows, table.era = copied, 1
		for i := range 1 + further {
			if _, err := setWeight(b, fmt.Sprint("since", i), 3+i); err != nil {
				t.Fatal(err)
			}
		}
		if err := a.Refresh(ctx); err != nil {
			t.Fatal(err)
		}
		got, want := mine.View().Config, theirs.View().Config
		if got.Version != want.Version || fmt.Sprint(got.Teams) != fmt.Sprint(want.Teams) {
			t.Errorf("%d changes since: the node has version %d %v, the platform %d %v", 1+further, got.Version, got.Teams, want.Version, want.Teams)
		}
	}
}

// TestFenceOfALostOrderIsNotGivenOutAgain guards against an order that engines take for one that they have, since the platform lost it.
func TestFenceOfALostOrderIsNotGivenOutAgain(t *testing.T) {
	table := &faultyTable{rows: map[string]kv.Row{}}
	order := func(k *config.Syncer, text string) int {
		edit := func(c *config.Config) error {
			if len(c.Engines) == 0 {
				c.Pools = []config.Pool{{Name: "llm", Kind: config.PoolKindModel}}
				c.Engines = []config.Engine{{Name: "e1", Pool: "llm", Address: "127.0.0.1:1", Slots: 1}}
			}
			return config.SetOrder("e1", text)(c)
		}
		ch, err := k.Write(context.Background(), now, text, "op", "order", edit)
		if err != nil {
			t.Fatal(err)
		}
		var e config.Engine
		for _, each := range ch.Entities {
			if each.Kind == wire.EntityKindEngine {
				if err := json.Unmarshal(*each.Body, &e); err != nil {
					t.Fatal(err)
				}
			}
		}
		return e.OrderFence
	}
	a, _ := newSyncer(table)
	b, store := newSyncer(table)
	knowsSome, _ := newSyncer(table)
	refresh := func(k *config.Syncer) {
		if err := k.Refresh(context.Background()); err != nil {
			t.Fatal(err)
		}
	}
	first := order(a, "first")
	refresh(b)
	copied := maps.Clone(table.rows)
	lost := 0
	for i := range 5 {
		lost = order(a, fmt.Sprint("lost", i))
		if i == 2 {
			refresh(knowsSome)
		}
	}
	table.rows, table.era = copied, 1
	refresh(knowsSome) // It writes again what it knows.
	next := order(b, "next")
	last := order(b, "last")
	if first >= lost || next <= lost || last != next+1 || store.Version() != last {
		t.Errorf("fences %d, then lost up to %d, then %d and %d in version %d", first, lost, next, last, store.Version())
	}
	refresh(a)
}
