package draws

import (
	"log/slog"
	"math/rand/v2"
	"time"

	"github.com/croftturn/croftturn/internal/quarantine"
)

const (
	// observeDelay is the mean time after which a crash is known to the nodes whose requests the engine ran.
	observeDelay = 60 * time.Millisecond

	// messageInterval is how often a node sends messages to all others, fullMessages how many lie between two with all that it
	// knows, and messageWindow how old news are in the others. Some are lost.
	messageInterval = 100 * time.Millisecond
	fullMessages    = 50
	messageWindow   = 400 * time.Millisecond
	messageLoss     = 0.02

	// maxStagger bounds by how much a node sends trials later than others.
	maxStagger = 2 * time.Second
)

type (
	// Mesh is the product's judge at each of several nodes that tell each other what they know.
	Mesh struct {
		rand     *rand.Rand
		nodes    []*quarantine.Parts
		sendAt   []time.Time
		sent     []int // sent counts the rounds of messages of each node.
		messages []message
	}

	// message is on its way to a node.
	message struct {
		at     time.Time
		to     int
		gossip quarantine.PartGossip
	}
)

// NewMesh returns the product's judge at some nodes. The first one sends periodic trials.
func NewMesh(r *rand.Rand, nodes int) *Mesh {
	m := &Mesh{rand: r, sendAt: make([]time.Time, nodes), sent: make([]int, nodes)}
	for i := range nodes {
		m.nodes = append(m.nodes, quarantine.NewParts(func(time.Time, string) bool { return i == 0 }, slog.New(slog.DiscardHandler), quarantine.WithStagger(time.Duration(r.Float64()*float64(maxStagger)))))
		m.sendAt[i] = start.Add(time.Duration(r.Float64() * float64(messageInterval)))
	}
	return m
}

// Nodes implements Judge.
func (m *Mesh) Nodes() int { return len(m.nodes) }

// NewsDelay implements Judge.
func (m *Mesh) NewsDelay() time.Duration { return observeDelay }

// Tick implements Judge: messages arrive, and those that are due are sent.
func (m *Mesh) Tick(now time.Time) {
	left := m.messages[:0]
	for _, msg := range m.messages {
		if msg.at.After(now) {
			left = append(left, msg)
			continue
		}
		m.nodes[msg.to].MergeGossip(now, msg.gossip)
	}
	m.messages = left
	for i, n := range m.nodes {
		if now.Before(m.sendAt[i]) {
			continue
		}
		m.sendAt[i] = m.sendAt[i].Add(messageInterval)
		g := n.GossipEntries(now, messageWindow)
		if m.sent[i]++; m.sent[i]%fullMessages != 0 {
			g = g.Recent(messageWindow)
		}
		for to := range m.nodes {
			if to != i && !g.IsEmpty() && m.rand.Float64() >= messageLoss {
				m.messages = append(m.messages, message{now.Add(time.Duration(1+m.rand.IntN(30)) * time.Millisecond), to, g})
			}
		}
	}
}

// Admit implements Judge.
func (m *Mesh) Admit(now time.Time, node int, ids []uint64) (send, trial bool) {
	d := m.nodes[node].Admit(now, time.Time{}, pool, ids)
	return d.Held == nil, d.Trial
}

// Survives implements Judge.
func (m *Mesh) Survives(now time.Time, node int, ids []uint64) {
	m.nodes[node].TrialSurvives(now, pool, ids)
}

// EndTrial implements Judge.
func (m *Mesh) EndTrial(now time.Time, node int, ids []uint64) {
	m.nodes[node].EndTrial(now, pool, ids, false)
}

// Crash implements Judge.
func (m *Mesh) Crash(now time.Time, node int, engine string, ids []uint64) {
	m.nodes[node].RecordCrash(now, time.Time{}, now, pool, quarantine.EngineRun{ID: engine}, ids)
}

// Answer implements Judge.
func (m *Mesh) Answer(now time.Time, node int, ids []uint64) {
	m.nodes[node].RecordAnswer(now, pool, "", ids)
}
