package entry_test

import (
	"fmt"
	"math/rand/v2"
	"slices"
	"testing"

	"github.com/croftturn/croftturn/internal/entry"
)

// hallNodes returns the nodes of a hall, some large and many small, that together serve the given
// requests a second.
func hallNodes(name string, large, small int, rate float64) []entry.Node {
	var out []entry.Node
	for i := range large + small {
		n := entry.Node{Name: fmt.Sprint(name, i), Address: fmt.Sprint(name, i), Hall: name, Ready: true, Cores: 0.2, Rate: rate / float64(large+small)}
		if i < large {
			n.Cores = 0.8
		}
		out = append(out, n)
	}
	return out
}

// countAddresses returns how often each address appears in 1000 answers.
func countAddresses(nodes []entry.Node) map[string]int {
	rng := rand.New(rand.NewPCG(1, 2))
	named := map[string]int{}
	for range 1000 {
		for _, a := range entry.Choose("a", nodes, rng.Float64) {
			named[a]++
		}
	}
	return named
}

// TestFewNodesTakeTheCallers checks that only a few nodes of a large hall serve callers, that the
// large ones get more of them, and that more nodes are selected as the request rate grows.
func TestFewNodesTakeTheCallers(t *testing.T) {
	calm := countAddresses(append(hallNodes("a", 2, 26, 100), hallNodes("b", 2, 26, 100)...))
	if len(calm) != 3 || calm["a0"] != 1000 || calm["a1"] != 1000 {
		t.Errorf("calm: %v, want three nodes, the two large ones always", calm)
	}
	for address, n := range calm {
		if address != "a0" && address != "a1" && (n < 150 || n > 350) {
			t.Errorf("%s is in %d answers of 1000, want about a quarter", address, n)
		}
	}
	if busy := countAddresses(hallNodes("a", 2, 26, 600)); len(busy) < 17 || len(busy) > 28 {
		t.Errorf("busy: %d nodes, want most", len(busy))
	}
}

// TestAllNodesChooseTheSame checks that the result does not depend on the order in which a node
// lists the others.
func TestAllNodesChooseTheSame(t *testing.T) {
	nodes := hallNodes("a", 0, 20, 10)
	always := func() float64 { return 0 }
	want := entry.Choose("a", nodes, always)
	rng := rand.New(rand.NewPCG(3, 4))
	for range 20 {
		rng.Shuffle(len(nodes), func(i, j int) { nodes[i], nodes[j] = nodes[j], nodes[i] })
		if got := entry.Choose("a", nodes, always); !slices.Equal(got, want) {
			t.Fatalf("got %v, want %v", got, want)
		}
	}
}

// TestNodesThatAreGoneAreReplaced checks that a node that is not ready is replaced by another,
// that a small hall returns all its nodes, and what is returned when too few nodes are ready.
func TestNodesThatAreGoneAreReplaced(t *testing.T) {
	always := func() float64 { return 0 }
	nodes := hallNodes("a", 2, 26, 10)
	nodes[0].Ready = false
	if got := entry.Choose("a", nodes, always); len(got) != 3 || slices.Contains(got, "a0") {
		t.Errorf("without a0: %v, want three others", got)
	}
	if got := entry.Choose("a", hallNodes("a", 0, 2, 100), always); len(got) != 2 {
		t.Errorf("small hall: %v, want both", got)
	}
	few := append(hallNodes("a", 0, 1, 1), hallNodes("b", 0, 2, 1)...)
	if got := entry.Choose("a", few, always); len(got) != 3 {
		t.Errorf("one ready: %v, want those of other halls too", got)
	}
	for i := range few {
		few[i].Ready = false
	}
	if got := entry.Choose("a", few, always); len(got) != 3 {
		t.Errorf("none ready: %v, want all that are alive", got)
	}
	if got := entry.Choose("z", hallNodes("a", 0, 100, 1), always); len(got) != 64 {
		t.Errorf("%d addresses, want 64", len(got))
	}
}
