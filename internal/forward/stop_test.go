package forward_test

import (
	"context"
	"io"
	"strings"
	"sync/atomic"
	"testing"
	"time"

	"github.com/croftturn/croftturn/internal/dispatch"
	"github.com/croftturn/croftturn/internal/placement"
	"github.com/croftturn/croftturn/internal/retry"
)

type (
	// chain is a link that leads to one node after another.
	chain struct {
		*link
		addresses []string
		next      atomic.Int64
	}

	// stoppingLink is the link of a node that refuses what it has not sent while requests wait for that link.
	stoppingLink struct{ node *dispatch.Dispatcher }
)

func (c *chain) Choose(time.Time, string, bool, []string) (node, address string, ok bool) {
	n := int(c.next.Add(1)) - 1
	if n >= len(c.addresses) {
		return "", "", false
	}
	return c.addresses[n], c.addresses[n], true
}

func (l *stoppingLink) Queue(time.Time) time.Duration { return 0 }

func (l *stoppingLink) Await(ctx context.Context, _ time.Time, _, _ int, _ time.Duration) bool {
	l.node.RefuseUnsent()
	<-ctx.Done()
	return false
}

// untilCut is a body that ends with its request, once its node has cut it off.
type untilCut struct {
	ctx  context.Context
	node *dispatch.Dispatcher
}

func (b untilCut) Read([]byte) (int, error) {
	b.node.CutOff()
	<-b.ctx.Done()
	return 0, context.Cause(b.ctx)
}

// TestBegunStreamGoesOnAtTheNextNode guards against streams that end with the node that they were forwarded to, or because the
// next node does not take them, though another one would.
func TestBegunStreamGoesOnAtTheNextNode(t *testing.T) {
	for name, refusing := range map[string]func(t *testing.T) string{
		"reaches no engine": func(t *testing.T) string {
			_, _, l, _ := newPair(t, &sender{serve: unreachable}, table(2, "k"))
			return l.address
		},
		"stops": func(t *testing.T) string {
			l := &stoppingLink{}
			l.node = newNodeWith(t, "n2", &sender{serve: unreachable}, table(2, "k"), nil, placement.New("hall"), dispatch.WithLink(l))
			_, _, at, _ := newPairOf(t, l.node)
			return at.address
		},
	} {
		t.Run(name, func(t *testing.T) {
			var stopping *dispatch.Dispatcher
			stopping = newNode(t, "n1", answering(200, -1, func(ctx context.Context) io.Reader {
				return io.MultiReader(strings.NewReader("id: 1\n\n"), untilCut{ctx, stopping})
			}), table(2, "k"), nil)
			_, _, l, _ := newPairOf(t, stopping)
			_, _, last, _ := newPair(t, answering(200, -1, func(context.Context) io.Reader { return strings.NewReader("id: 2\n\n") }), table(2, "k"))
			c := &chain{link: l, addresses: []string{l.address, refusing(t), last.address}}
			got := ask(context.Background(), t, newNode(t, "n0", &sender{serve: unreachable}, table(2, "k"), c), "resumable")
			if got.aborted || got.got() != "id: 1\n\nid: 2\n\n" {
				t.Errorf("got %q, aborted %v", got.got(), got.aborted)
			}
		})
	}
}

// TestStoppingNodeForwardsNothingThatDoesNotFit guards against requests that run by way of another node and end with the node of
// their caller, which could have refused them as not run.
func TestStoppingNodeForwardsNothingThatDoesNotFit(t *testing.T) {
	second := answering(200, 4, func(context.Context) io.Reader { return strings.NewReader("well") })
	first, engines, _, _ := newPair(t, second, table(2, "k"))
	for end := time.Now().Add(5 * time.Second); ; { // Until it forwards without a try at its engines.
		tries := engines.count()
		if ask(context.Background(), t, first, "unsafe"); engines.count() == tries {
			break
		}
		if time.Now().After(end) {
			t.Fatal("the node goes on trying its engines")
		}
	}
	ran := second.count()
	r := &dispatch.Request{ID: "id", Host: "h", Path: "/unsafe/x", Key: "k", Method: "POST", Patience: 2 * time.Second}
	now := time.Now()
	route, team, _ := first.Check(now, r)
	r.Body = make([]byte, 1000)                                                                       // It is larger than all that were forwarded, so that their runs tell nothing of it.
	first.StopBy(dispatch.Stop{Begin: now, By: now.Add(time.Second), Kill: now.Add(2 * time.Second)}) // While the body arrives.
	c := &caller{}
	if first.Serve(context.Background(), now, r, route, team, c); c.refusal != dispatch.Stopping || second.count() > ran {
		t.Errorf("got %+v, sent %d times", c, second.count()-ran)
	}
}

// TestRunsOfThisNodeTellNothingOfForwardedOnes guards against requests that a stopping node forwards since its own engines ran such
// ones shortly, and that it ends with itself.
func TestRunsOfThisNodeTellNothingOfForwardedOnes(t *testing.T) {
	for name, own := range map[string]bool{"runs of its own": true, "runs by way of another node": false} {
		second := answering(200, 4, func(context.Context) io.Reader { return strings.NewReader("well") })
		first, engines, _, _ := newPair(t, second, table(2, "k"))
		reached, cut := answering(200, 4, func(context.Context) io.Reader { return strings.NewReader("well") }).serve, engines.serve
		if own {
			engines.serve = reached
		}
		for range 40 {
			ask(context.Background(), t, first, "safe")
		}
		ran := second.count()
		if own != (ran == 0) {
			t.Fatalf("%s: %d forwarded", name, ran)
		}
		engines.serve = cut
		now := time.Now()
		first.StopBy(dispatch.Stop{Begin: now, By: now.Add(time.Second), Kill: now.Add(2 * time.Second)})
		var served, forwarded int
		for range 4 {
			if got := ask(context.Background(), t, first, "safe"); got.refusal == "" {
				served++
			}
		}
		forwarded = second.count() - ran
		if _, _, refusal := first.Check(time.Now(), &dispatch.Request{Host: "h", Path: "/unsafe/x", Key: "k", Patience: 2 * time.Second}); refusal == nil || refusal.Reason != dispatch.Stopping {
			t.Errorf("%s are known: an unsafe request, which they don't vouch for, got the refusal %+v", name, refusal)
		}
		if own && forwarded > 0 || !own && served < 4 {
			t.Errorf("%s are known: served %d, forwarded %d", name, served, forwarded)
		}
	}
}

// TestNextNodePaysForARetry guards against streams that end with the node that they were forwarded to, since the first node, whose
// requests count where they are placed, has no retries left; and against retries that no budget has.
func TestNextNodePaysForARetry(t *testing.T) {
	none := retry.Limits{Window: 10 * time.Second}
	for retries, want := range map[float64]string{1: "id: 1\n\nid: 2\n\n", 0: "id: 1\n\n"} {
		var stopping *dispatch.Dispatcher
		stopping = newNode(t, "n1", answering(200, -1, func(ctx context.Context) io.Reader {
			return io.MultiReader(strings.NewReader("id: 1\n\n"), untilCut{ctx, stopping})
		}), table(2, "k"), nil)
		_, _, l, _ := newPairOf(t, stopping)
		third := answering(200, -1, func(context.Context) io.Reader { return strings.NewReader("id: 2\n\n") })
		p := placement.New("hall")
		p.Set(placement.Engine{ID: "e", Pool: "p", Hall: "hall", Slots: 8})
		_, _, last, _ := newPairOf(t, newNodeWithBudget(t, "n2", third, table(2, "k"), nil, p, retry.Limits{Extra: retries, Window: 10 * time.Second}))
		c := &chain{link: l, addresses: []string{l.address, last.address}}
		p = placement.New("hall")
		for _, id := range []string{"e0", "e1", "e2"} {
			p.Set(placement.Engine{ID: id, Pool: "p", Hall: "hall", Slots: 8})
		}
		got := ask(context.Background(), t, newNodeWithBudget(t, "n0", &sender{serve: unreachable}, table(2, "k"), c, p, none), "resumable")
		if got.aborted != (retries == 0) || got.got() != want || third.count() != int(retries) {
			t.Errorf("%v retries: got %q, aborted %v, sent %d times by the third node", retries, got.got(), got.aborted, third.count())
		}
	}
}
