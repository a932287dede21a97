package dispatch_test

import (
	"context"
	"io"
	"log/slog"
	"testing"
	"time"

	"github.com/croftturn/croftturn/internal/dispatch"
	"github.com/croftturn/croftturn/internal/freshness"
	"github.com/croftturn/croftturn/internal/history"
	"github.com/croftturn/croftturn/internal/placement"
	"github.com/croftturn/croftturn/internal/retry"
	"github.com/croftturn/croftturn/internal/routing"
)

// TestRetryChoosesItsSourceAnew checks that a request of an interactive pool is sent with a source for
// its cached parts, that its retry is not sent with one that has left meanwhile, and that nothing of
// this happens in a pool that is not interactive.
func TestRetryChoosesItsSourceAnew(t *testing.T) {
	for _, interactive := range []time.Duration{time.Second, 0} {
		p := placement.New("hall")
		e := &fakeSender{serve: func(_ context.Context, n int, _ dispatch.Attempt) (*dispatch.Response, error) {
			if n == 1 {
				p.Remove("source")
				return nil, errConnReset
			}
			return respond(200, "whole"), nil
		}}
		route := &routing.Route{Name: "r", Host: "h", PathPrefix: "/r/", Kind: routing.Stream, Resumable: true, Timeout: timeout, Target: slotTarget, MaxEngines: 2, Shares: []routing.Share{{Pool: "p", Weight: 1}}}
		model := &routing.Model{Slots: 8, Transfers: true, BytesPerToken: 192512, LinkMbps: 1.5e6}
		proof, now := freshness.New(time.Hour), time.Now()
		proof.Renew(now)
		d := dispatch.New(proof, p, retry.New(now, retry.Limits{Extra: 1, Window: time.Minute}, func() int { return 1 }), e, retryObserver{}, slog.New(slog.NewTextHandler(io.Discard, nil)), dispatch.WithInteractiveTarget(interactive))
		d.SetTable(routing.NewTable(1, []*routing.Route{route}, []*routing.Pool{{Name: "p", Model: model}}, []*routing.Team{{Name: "t", Keys: []string{"k"}}}, routing.Limits{}))
		for _, id := range []string{"e1", "e2"} {
			p.Set(placement.Engine{ID: id, Address: id, Pool: "p", Hall: "hall", Slots: 8})
		}
		p.Set(placement.Engine{ID: "source", Address: "source", Pool: "p", Hall: "hall", Slots: 8, Draining: true})
		part := placement.NewPart("part", 6000)
		p.UpdatePeer(now, "peer", history.Position{}, nil, []placement.Use{{Engine: "source", Part: part.ID}})
		serveRequest(context.Background(), t, d, &dispatch.Request{ID: "id", Host: "h", Path: "/r/x", Key: "k", Patience: timeout, Prompt: placement.Prompt{Tokens: 7000, Shared: []placement.Part{part}}})
		want := "source"
		if interactive == 0 {
			want = ""
		}
		if len(e.sent) != 2 || e.sent[0].TransferFrom != want || e.sent[1].TransferFrom != "" || e.sent[0].Engine.ID == e.sent[1].Engine.ID {
			t.Errorf("interactive below %v: sent %+v", interactive, e.sent)
		}
	}
}
