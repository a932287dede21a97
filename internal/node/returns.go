package node

import (
	"context"
	"time"

	"github.com/croftturn/croftturn/internal/pause"
)

// eraPoll is how often a node looks whether an answer of the store has named a later era.
const eraPoll = 200 * time.Millisecond

// Owners of these keys write again what the store has lost.
const (
	keyHeld   = "held"
	keyConfig = "config"
)

// watchStore calls functions each time the store has come back from a copy, until the context ends. The
// configuration's head, which every node polls, tells the era.
func (n *Node) watchStore(ctx context.Context, returned ...func()) {
	era, known := n.platform.Era()
	for pause.For(ctx, eraPoll) {
		now, ok := n.platform.Era()
		if now > era && known {
			n.tele.Log.Warn("store has come back from an older copy", "era", now, "era_before", era, "config_version", n.store.Version())
			for _, f := range returned {
				f()
			}
		}
		era, known = now, ok
	}
}

// rewritesHeld reports whether this node is the one that writes again what is held.
func (n *Node) rewritesHeld(time.Time) bool { return n.owns(keyHeld) }

// rewritesConfig reports whether this node is the one that writes the configuration again.
func (n *Node) rewritesConfig() bool { return n.owns(keyConfig) }

// owns reports whether this node is the owner of a key.
func (n *Node) owns(key string) bool {
	owner, ok := n.table.Owner(key)
	return ok && owner.Name == n.settings.Instance
}
