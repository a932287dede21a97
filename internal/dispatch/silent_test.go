package dispatch_test

import (
	"context"
	"fmt"
	"io"
	"log/slog"
	"testing"
	"time"

	"github.com/croftturn/croftturn/internal/dispatch"
	"github.com/croftturn/croftturn/internal/freshness"
	"github.com/croftturn/croftturn/internal/placement"
	"github.com/croftturn/croftturn/internal/reach"
	"github.com/croftturn/croftturn/internal/retry"
)

// silentProber says whether engines accept connections; they answer nothing.
type silentProber bool

func (p silentProber) Accepts(context.Context, string) bool { return bool(p) }

func (p silentProber) Probe(context.Context, string) (connected, answered bool) {
	return bool(p), false
}

// pausingStream is an answer of two events with a pause between them, or one that ends with its request.
type pausingStream struct {
	ctx    context.Context
	pieces []string
	pause  time.Duration
	next   int
}

func (s *pausingStream) Read(p []byte) (int, error) {
	if s.next == len(s.pieces) {
		return 0, io.EOF
	}
	if s.next > 0 {
		select {
		case <-s.ctx.Done():
			return 0, context.Cause(s.ctx)
		case <-time.After(s.pause):
		}
	}
	s.next++
	return copy(p, s.pieces[s.next-1]), nil
}

// servePausing serves a resumable stream whose first engine pauses, and returns how often it was sent and
// how long that took.
func servePausing(t *testing.T, accepts bool, pause time.Duration) (sent int, took time.Duration, a *recordedAnswer) {
	t.Helper()
	e, d, _ := newPausing(t, accepts, pause, 0)
	now := time.Now()
	a = serve(t, d, "resumable")
	return e.sentCount(), time.Since(now), a
}

// newPausing returns a dispatcher, and engines of which the first that gets a stream pauses in it, and the second before it.
func newPausing(t *testing.T, accepts bool, pause, second time.Duration) (*fakeSender, *dispatch.Dispatcher, *placement.Placement) {
	t.Helper()
	return newPausingWith(t, silentProber(accepts), pause, second)
}

// newPausingWith is newPausing with a prober.
func newPausingWith(t *testing.T, prober reach.Prober, pause, second time.Duration) (*fakeSender, *dispatch.Dispatcher, *placement.Placement) {
	t.Helper()
	e := &fakeSender{serve: func(ctx context.Context, n int, a dispatch.Attempt) (*dispatch.Response, error) {
		resp := respond(200, "")
		resp.Length, resp.Body = -1, io.NopCloser(&pausingStream{ctx: ctx, pieces: []string{"", "id: 2\ndata: y\n\n"}, pause: second})
		if n == 1 {
			resp.Body = io.NopCloser(&pausingStream{ctx: ctx, pieces: []string{"id: 1\ndata: x\n\n", "id: 2\ndata: y\n\n"}, pause: pause})
		}
		return resp, nil
	}}
	now, proof, p, log := time.Now(), freshness.New(time.Hour), placement.New("hall"), slog.New(slog.NewTextHandler(io.Discard, nil))
	for _, id := range []string{"e1", "e2", "e3", "e4"} {
		p.Set(placement.Engine{ID: id, Pool: "p", Hall: "hall", Slots: 8})
	}
	proof.Renew(now)
	m := reach.New(p, prober, func(string) {}, log)
	t.Cleanup(m.Close)
	d := dispatch.New(proof, p, retry.New(now, retry.Limits{Extra: 5, Window: 10 * time.Second}, func() int { return 1 }), e, retryObserver{}, log, dispatch.WithReach(m))
	d.SetTable(table(1, "k"))
	return e, d, p
}

// TestBegunStreamStaysAtASilentEngineIfNoOtherTakesIt guards against streams that are taken from an engine which goes on, and end
// because the others take no requests.
func TestBegunStreamStaysAtASilentEngineIfNoOtherTakesIt(t *testing.T) {
	const pause, patience = 2 * time.Second, 10 * time.Second
	e, d, p := newPausing(t, true, pause, 0)
	d.Table().Route("h", "/resumable/x").Timeout = patience
	answers := make(chan *recordedAnswer, 1)
	go func() { answers <- servePatience(t, d, "resumable", patience) }()
	e.awaitSent(t, 1)
	for _, id := range []string{"e1", "e2", "e3", "e4"} {
		p.BackOff(time.Now(), id, patience)
	}
	if a := <-answers; a.aborted || a.body.String() != "id: 1\ndata: x\n\nid: 2\ndata: y\n\n" {
		t.Errorf("sent %d times, body %q, aborted %v", e.sentCount(), a.body.String(), a.aborted)
	}
}

// workingProber says that engines answer calls that run nothing.
type workingProber struct{ silentProber }

func (workingProber) Probe(context.Context, string) (connected, answered bool) { return true, true }

// TestStreamStaysAtAWorkingEngineBeforeItsFirstEvent guards against streams with long prompts that are begun anew, and late or
// never answered for that.
func TestStreamStaysAtAWorkingEngineBeforeItsFirstEvent(t *testing.T) {
	const prompt, patience = 2500 * time.Millisecond, 4 * time.Second
	e, d, _ := newPausingWith(t, workingProber{true}, 0, prompt)
	e.serve = func(ctx context.Context, _ int, _ dispatch.Attempt) (*dispatch.Response, error) {
		resp := respond(200, "")
		resp.Length, resp.Body = -1, io.NopCloser(&pausingStream{ctx: ctx, pieces: []string{"", "id: 1\ndata: x\n\n"}, pause: prompt})
		return resp, nil
	}
	d.Table().Route("h", "/resumable/x").Timeout = patience
	if a := servePatience(t, d, "resumable", patience); e.sentCount() != 1 || a.aborted || a.body.String() != "id: 1\ndata: x\n\n" {
		t.Errorf("sent %d times, body %q, aborted %v, refusal %+v", e.sentCount(), a.body.String(), a.aborted, a.refusal)
	}
}

// TestSilentEngineKeepsItsStreamsWhereNoOtherEndsThemInTime guards against begun streams of a stopping node that are taken from an
// engine which would have ended them in time, for one that does not, and against ones that stay at an engine which is gone.
func TestSilentEngineKeepsItsStreamsWhereNoOtherEndsThemInTime(t *testing.T) {
	const left, patience = 4 * time.Second, 10 * time.Second
	for _, test := range []struct {
		accepts       bool
		pause, second time.Duration
	}{{true, left / 2, patience}, {false, patience, 0}} {
		t.Run(fmt.Sprint("accepts connections ", test.accepts), func(t *testing.T) {
			t.Parallel()
			e, d, _ := newPausing(t, test.accepts, test.pause, test.second)
			d.Table().Route("h", "/resumable/x").Timeout = patience
			now := time.Now()
			end := time.AfterFunc(left, d.CutOff)
			defer end.Stop()
			answers := make(chan *recordedAnswer, 1)
			go func() { answers <- servePatience(t, d, "resumable", patience) }()
			e.awaitSent(t, 1)
			d.StopBy(dispatch.Stop{Begin: now, By: now.Add(left), Kill: now.Add(left)})
			if a := <-answers; a.aborted || a.body.String() != "id: 1\ndata: x\n\nid: 2\ndata: y\n\n" {
				t.Errorf("sent %d times, body %q, aborted %v", e.sentCount(), a.body.String(), a.aborted)
			}
		})
	}
}

// TestSilentEngineLosesItsStreamsWhereOthersEndThemInTime guards against begun streams of a stopping node that stay at an engine
// which is silent for good, though runs of their route are far shorter than what is left, be they many or few.
func TestSilentEngineLosesItsStreamsWhereOthersEndThemInTime(t *testing.T) {
	const left, patience = 6 * time.Second, 10 * time.Second
	for _, known := range []int{20, 8} {
		t.Run(fmt.Sprint(known, " runs"), func(t *testing.T) {
			t.Parallel()
			e, d, _ := newPausing(t, true, patience, 0)
			d.Table().Route("h", "/resumable/x").Timeout = patience
			answers := make(chan *recordedAnswer, 1)
			go func() { answers <- servePatience(t, d, "resumable", patience) }()
			e.awaitSent(t, 1)
			for range known {
				serve(t, d, "resumable")
			}
			now := time.Now()
			defer time.AfterFunc(left, d.CutOff).Stop()
			d.StopBy(dispatch.Stop{Begin: now, By: now.Add(left), Kill: now.Add(left)})
			if a := <-answers; a.aborted || a.body.String() != "id: 1\ndata: x\n\nid: 2\ndata: y\n\n" {
				t.Errorf("sent %d times, body %q, aborted %v", e.sentCount(), a.body.String(), a.aborted)
			}
		})
	}
}

func TestSilentEngineThatGoesOnKeepsItsStreams(t *testing.T) {
	if sent, _, a := servePausing(t, true, 1300*time.Millisecond); sent != 1 || a.aborted || a.body.String() != "id: 1\ndata: x\n\nid: 2\ndata: y\n\n" {
		t.Errorf("sent %d times, body %q, aborted %v", sent, a.body.String(), a.aborted)
	}
}

func TestStreamLeavesAnEngineThatIsGone(t *testing.T) {
	for accepts, longest := range map[bool]time.Duration{false: 1400 * time.Millisecond, true: 1900 * time.Millisecond} {
		sent, took, a := servePausing(t, accepts, time.Minute)
		if sent != 2 || took > longest || a.body.String() != "id: 1\ndata: x\n\nid: 2\ndata: y\n\n" {
			t.Errorf("accepts connections %v: sent %d times, took %v, body %q", accepts, sent, took, a.body.String())
		}
	}
}

func TestNodeThatCannotForwardTriesItsEnginesOnNewConnections(t *testing.T) {
	now, proof, p, log := time.Now(), freshness.New(time.Hour), placement.New("hall"), slog.New(slog.NewTextHandler(io.Discard, nil))
	for _, id := range []string{"e1", "e2", "e3", "e4"} {
		p.Set(placement.Engine{ID: id, Pool: "p", Hall: "hall", Slots: 8})
	}
	proof.Renew(now)
	m := reach.New(p, silentProber(false), func(string) {}, log)
	t.Cleanup(m.Close)
	for _, id := range []string{"e1", "e2", "e3"} {
		m.Pool("p").ConnectFailed(now, id)
	}
	e := &fakeSender{serve: func(_ context.Context, n int, a dispatch.Attempt) (*dispatch.Response, error) {
		if a.OpenOnly || n == 1 {
			return nil, fmt.Errorf("%w: %w", dispatch.ErrNotSent, dispatch.ErrNoConnection)
		}
		return respond(200, "well"), nil
	}}
	d := dispatch.New(proof, p, retry.New(now, retry.Limits{Extra: 5, Window: 10 * time.Second}, func() int { return 1 }), e, retryObserver{}, log, dispatch.WithReach(m))
	d.SetTable(table(1, "k"))
	if a := serve(t, d, "unsafe"); a.body.String() != "well" {
		t.Errorf("got %+v after %d attempts", a.refusal, e.sentCount())
	}
}
