package edge

import (
	"context"
	"fmt"
	"net/http"
	"strings"
	"sync"
	"sync/atomic"
	"testing"
	"time"
)

// TestAPopularRequestIsNotRefusedForEnginesLostAtOneMoment guards against a request that no engine has answered yet and that is refused
// for good since one disruption took several of its engines down.
func TestAPopularRequestIsNotRefusedForEnginesLostAtOneMoment(t *testing.T) {
	w := newCrashCluster(t, 12, 3, 10*time.Second, time.Second)
	ctx, cancel := context.WithCancel(context.Background())
	var refused atomic.Int64
	var wg sync.WaitGroup
	send := func(i int) {
		r, err := http.NewRequestWithContext(ctx, http.MethodPost, "http://"+w.nodes[i%len(w.nodes)].settings.CallerAddress+"/a/x", strings.NewReader("popular"))
		if err != nil {
			return
		}
		r.Host = "h"
		r.Header.Set("Attempt-Id", fmt.Sprint("popular-", i))
		r.Header.Set("Authorization", "Bearer k")
		r.Header.Set("Deadline-Ms", "20000")
		resp, err := http.DefaultClient.Do(r)
		if err != nil {
			return
		}
		resp.Body.Close()
		if resp.StatusCode == http.StatusBadRequest {
			refused.Add(1)
		}
	}
	for i := range 60 {
		if i == 40 {
			for _, e := range w.engines[:4] {
				wg.Go(e.crash)
			}
		}
		wg.Go(func() { send(i) })
		time.Sleep(25 * time.Millisecond)
	}
	cancel()
	wg.Wait()
	if refused.Load() > 0 {
		t.Errorf("%d requests were refused for good after four of twelve engines were lost at one moment", refused.Load())
	}
}
