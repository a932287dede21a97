package front_test

import (
	"net/http"
	"net/http/httptest"
	"sync/atomic"
	"testing"
	"time"

	"github.com/croftturn/croftturn/internal/config"
	"github.com/croftturn/croftturn/internal/front"
	"github.com/croftturn/croftturn/internal/journal"
)

// delayedViews returns no configuration until one is stored.
type delayedViews struct{ view atomic.Pointer[config.View] }

func (v *delayedViews) View() *config.View { return v.view.Load() }

// TestRequestAtStartingNode checks that a request to a node without configuration
// waits for one, and is refused as not_run if none arrives in time.
func TestRequestAtStartingNode(t *testing.T) {
	view, err := config.NewView(&config.Config{
		Classes: []config.Class{{Name: "explain", Tier: 3}},
		Teams:   []config.Team{{Name: "alfa", TokenSha256: config.HashToken(token), DefaultClass: "explain"}},
	})
	if err != nil {
		t.Fatal(err)
	}
	tele := quietTelemetry(t)
	views := &delayedViews{}
	server := httptest.NewServer(front.New(views, singleNode{}, singleNode{}, nil, journal.New(), tele, front.WithLimits(front.Limits{MaxBody: maxBody, WriteTimeout: writeTimeout})))
	t.Cleanup(server.Close)
	ask := func() int {
		req, err := http.NewRequest(http.MethodGet, server.URL+"/v1/models", nil)
		if err != nil {
			t.Fatal(err)
		}
		req.Header.Set("Authorization", "Bearer "+token)
		resp, err := http.DefaultClient.Do(req)
		if err != nil {
			t.Fatal(err)
		}
		resp.Body.Close()
		return resp.StatusCode
	}
	if status := ask(); status != http.StatusServiceUnavailable {
		t.Errorf("without a configuration the answer is %d", status)
	}
	time.AfterFunc(50*time.Millisecond, func() { views.view.Store(view) })
	if status := ask(); status != http.StatusOK {
		t.Errorf("with a configuration 50 ms later the answer is %d", status)
	}
}
