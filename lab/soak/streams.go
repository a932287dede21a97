package soak

import (
	"context"
	"fmt"
	"io"
	"net/http"
	"regexp"
	"strconv"
	"strings"
	"time"
)

const (
	// maxTakeUps is how often a caller takes a stream up.
	maxTakeUps = 3

	// minTakeUps is how many streams must have been taken up for their share to count, and goOnShare the
	// least share of them that goes on, relative to the share of new streams that begin.
	minTakeUps = 12
	goOnShare  = 0.5
)

var (
	// versionLine is the line of an event that holds the software version of its engine.
	versionLine = regexp.MustCompile(`(?m)^v: (.*)\n`)

	// eventID is the line of an event that holds its number.
	eventID = regexp.MustCompile(`(?m)^id: (\d+)\n`)
)

// streamTry is one attempt for a resumable stream.
type streamTry struct {
	interval
	takenUp bool
	goesOn  bool // goesOn is set if it brought an event, or the end.
	engines int  // engines is how many of the version at which the stream began served all the time.
}

// recordTry records an attempt for a resumable stream.
func (l *Ledger) recordTry(t streamTry) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.streamTries = append(l.streamTries, t)
}

// streamsLost returns a violation if too few of the streams that were taken up went on, without a fault of
// nodes or store and while two engines of their version served.
func (l *Ledger) streamsLost() []string {
	var tries, goOn [2]int // The second is of streams that were taken up.
	for _, t := range l.streamTries {
		kind := 0
		if t.takenUp {
			kind = 1
		}
		if !l.faultFree(t.from.Add(-recoveryTime), t.to) || t.takenUp && t.engines < 2 {
			continue
		}
		tries[kind]++
		if t.goesOn {
			goOn[kind]++
		}
	}
	if tries[1] < minTakeUps || float64(goOn[1])*float64(tries[0]) >= goOnShare*float64(goOn[0])*float64(tries[1]) {
		return nil
	}
	return []string{fmt.Sprintf("%d of %d streams that were taken up went on, and %d of %d new ones began", goOn[1], tries[1], goOn[0], tries[0])}
}

// versionsIn returns the software versions in the events of a stream.
func versionsIn(body string) map[string]bool {
	out := map[string]bool{}
	for _, m := range versionLine.FindAllStringSubmatch(body, -1) {
		out[m[1]] = true
	}
	return out
}

// readStream reads a stream until its end or a number of events, and returns its whole events.
func readStream(body io.Reader, leaveAfter int) (events string, ended bool) {
	var text strings.Builder
	buf := make([]byte, 512)
	for {
		n, err := body.Read(buf)
		text.Write(buf[:n])
		whole := ""
		if end := strings.LastIndex(text.String(), "\n\n"); end >= 0 {
			whole = text.String()[:end+len("\n\n")]
		}
		if left := leaveAfter > 0 && strings.Count(whole, "\n\n") >= leaveAfter; left || err != nil {
			return whole, err == io.EOF && !left && whole == text.String()
		}
	}
}

// takeUp takes up a stream that broke off or was left, each time at any node, until it has ended.
func (c *caller) takeUp(ctx context.Context, first string, e *result) {
	for try := 1; try <= maxTakeUps && !e.complete && ctx.Err() == nil; try++ {
		ids := eventID.FindAllStringSubmatch(e.body, -1)
		address := c.entryAddress()
		if len(ids) == 0 || address == "" {
			return
		}
		version := versionLine.FindStringSubmatch(e.body)[1]
		e.last = fmt.Sprintf("%s+%d", first, try)
		t := streamTry{interval: interval{from: time.Now()}, takenUp: true, engines: c.env.enginesOf(version)}
		c.env.ledger.recordSender(e.last, c.env.nodeAt(address), t.from)
		req, err := newRequest(ctx, address, e.route, e.last, e.key, "a1:2500,"+first+":400", "body of "+first)
		if err != nil {
			return
		}
		req.Header.Set("Last-Event-Id", ids[len(ids)-1][1])
		req.Header.Set("Resumes", first)
		wait := 20 * time.Millisecond
		if resp, err := c.client.Do(req); err == nil {
			if resp.StatusCode == success {
				events, ended := readStream(resp.Body, 0)
				e.body += events
				e.complete, t.goesOn = ended, ended || events != ""
			}
			if seconds, err := strconv.ParseFloat(resp.Header.Get("Retry-After"), 64); err == nil {
				wait = time.Duration(seconds * float64(time.Second))
			}
			resp.Body.Close()
			t.engines = min(t.engines, c.env.enginesOf(version))
			if t.to = time.Now(); resp.StatusCode != unauthorized {
				c.env.ledger.recordTry(t)
			}
		} else {
			c.resolvedAt = time.Time{}
		}
		if !e.complete {
			time.Sleep(min(wait, time.Second))
		}
	}
}

// enginesOf returns how many engines of the pool of streams have a version and do not leave.
func (env *Environment) enginesOf(version string) int {
	env.mu.Lock()
	defer env.mu.Unlock()
	n := 0
	for _, e := range env.engines {
		if e.pool == streamPool && e.version == version {
			n++
		}
	}
	return n
}

// isStream reports whether a route is answered with events.
func isStream(route string) bool { return route == routeStream || route == routeResumable }

// streamID returns the attempt that began the stream of a request.
func streamID(r *http.Request) string {
	if first := r.Header.Get("Resumes"); first != "" && r.Header.Get("Last-Event-Id") != "" {
		return first
	}
	return r.Header.Get("Attempt-Id")
}
