package member_test

import (
	"fmt"
	"testing"
	"time"

	"github.com/croftturn/croftturn/internal/member"
	"github.com/croftturn/croftturn/internal/wire"
)

const (
	heartbeat = 400 * time.Millisecond
	suspect   = 1600 * time.Millisecond
)

var (
	start = time.Unix(1000, 0)
	opts  = member.Options{Heartbeat: heartbeat, Suspect: suspect, Observers: 3}
)

// cluster is a set of tables that exchange heartbeats in simulated time.
type cluster struct {
	tables map[string]*member.Table
	down   map[string]bool
	now    time.Time
}

// newCluster returns n tables that all know each other.
func newCluster(n int) *cluster {
	m := &cluster{tables: map[string]*member.Table{}, down: map[string]bool{}, now: start}
	var all []wire.Member
	for i := range n {
		self := wire.Member{Name: fmt.Sprintf("n%d", i), PeerAddress: fmt.Sprintf("p%d", i), Incarnation: 1, State: wire.MemberStateA}
		m.tables[self.Name] = member.NewTable(start, self, opts)
		all = append(all, self)
	}
	for _, t := range m.tables {
		t.Merge(start, all)
	}
	return m
}

// round advances time by one heartbeat interval: every table detects failures and
// sends a heartbeat to its targets.
func (m *cluster) round() {
	m.now = m.now.Add(heartbeat)
	for name, t := range m.tables {
		if m.down[name] {
			continue
		}
		t.DetectFailures(m.now)
		for _, to := range t.Targets() {
			if m.down[to.Name] {
				continue
			}
			other := m.tables[to.Name]
			other.Merge(m.now, t.RecentChanges(m.now))
			other.RecordHeartbeat(m.now, name, t.Self().Incarnation)
			t.Merge(m.now, other.RecentChanges(m.now))
		}
	}
}

// count returns how many live tables have a member in a state.
func (m *cluster) count(name string, state wire.MemberState) int {
	n := 0
	for at, t := range m.tables {
		if got, ok := t.Member(name); ok && got.State == state && !m.down[at] {
			n++
		}
	}
	return n
}

// TestFailureIsDetectedFromTheFirstMiss guards against observers that begin to watch
// a member only at its first missed heartbeat: failures were then detected after
// 3.4 s instead of 2 s.
func TestFailureIsDetectedFromTheFirstMiss(t *testing.T) {
	m := newCluster(9)
	for range 10 {
		m.round()
	}
	m.down["n4"] = true
	died := m.now
	for m.count("n4", wire.MemberStateD) < 8 {
		m.round()
		if m.now.Sub(died) > 3*time.Second {
			t.Fatalf("%d of 8 see it dead after %v", m.count("n4", wire.MemberStateD), m.now.Sub(died))
		}
	}
}

func TestHealthyClusterStaysAlive(t *testing.T) {
	m := newCluster(12)
	for range 200 {
		m.round()
	}
	for name := range m.tables {
		if got := m.count(name, wire.MemberStateA); got != 12 {
			t.Errorf("%s is seen alive by %d of 12", name, got)
		}
	}
}

// TestHallLost stops a third of the members at once.
func TestHallLost(t *testing.T) {
	m := newCluster(30)
	for range 10 {
		m.round()
	}
	for i := range 10 {
		m.down[fmt.Sprintf("n%d", i)] = true
	}
	for range 12 {
		m.round()
	}
	for i := range 30 {
		name, want := fmt.Sprintf("n%d", i), wire.MemberStateA
		if m.down[name] {
			want = wire.MemberStateD
		}
		if got := m.count(name, want); got != 20 {
			t.Errorf("%s is seen as %q by %d of 20", name, want, got)
		}
	}
}

// TestOneObserverIsNotEnough checks that a member suspected by a single observer
// refutes the suspicion and stays alive.
func TestOneObserverIsNotEnough(t *testing.T) {
	m := newCluster(9)
	for range 5 {
		m.round()
	}
	target := m.tables["n4"].Targets()[0].Name
	suspicion := m.tables["n4"].Self()
	suspicion.State, suspicion.SuspectedBy = wire.MemberStateS, []string{target}
	m.tables[target].Merge(m.now, []wire.Member{suspicion})
	for range 5 {
		if got := m.count("n4", wire.MemberStateD); got > 0 {
			t.Fatalf("n4 is seen dead by %d though one observer alone missed it", got)
		}
		m.round()
	}
	if got := m.count("n4", wire.MemberStateA); got != 9 {
		t.Errorf("n4 is seen alive by %d of 9", got)
	}
}

// TestFrozenMemberRejoins checks that a member that was frozen and declared dead
// refutes its death with a higher revision.
func TestFrozenMemberRejoins(t *testing.T) {
	m := newCluster(5)
	for range 5 {
		m.round()
	}
	m.down["n1"] = true
	for range 10 {
		m.round()
	}
	if m.count("n1", wire.MemberStateD) != 4 {
		t.Fatal("n1 is not seen dead")
	}
	m.down["n1"] = false
	dead, _ := m.tables["n0"].Member("n1")
	m.tables["n1"].Merge(m.now, []wire.Member{dead})
	for range 6 {
		m.round()
	}
	if got := m.count("n1", wire.MemberStateA); got != 5 {
		t.Errorf("n1 is seen alive by %d of 5", got)
	}
}

func TestOwnersAreBalancedAndStable(t *testing.T) {
	m := newCluster(10)
	table := m.tables["n0"]
	owners := map[string]int{}
	before := map[string]string{}
	for i := range 1000 {
		key := fmt.Sprint("broker/", i)
		o, _ := table.Owner(key)
		owners[o.Name]++
		before[key] = o.Name
	}
	for name, n := range owners {
		if n < 60 || n > 140 {
			t.Errorf("%s owns %d of 1000", name, n)
		}
	}
	gone, _ := table.Member("n3")
	gone.State = wire.MemberStateD
	table.Merge(start, []wire.Member{gone})
	for key, was := range before {
		if o, _ := table.Owner(key); was != "n3" && o.Name != was {
			t.Fatalf("%s moved from %s to %s though its owner lives", key, was, o.Name)
		}
	}
}
