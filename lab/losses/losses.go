// Package losses summarizes from node logs, by route and by second, how many requests were
// refused, aborted or late, and why.
package losses

import (
	"bufio"
	"bytes"
	"encoding/json"
	"fmt"
	"io"
	"maps"
	"net/http"
	"slices"
	"text/tabwriter"
	"time"
)

const (
	// OnTime means no loss: the answer came in time.
	OnTime = "on_time"

	// LateFirst is an answer whose first piece came after the route's target, or the whole answer
	// on a route without streaming.
	LateFirst = "late_first"

	// LatePause is a stream with a longer pause than its route allows.
	LatePause = "late_pause"

	// EngineStatus is an error status from the engine.
	EngineStatus = "engine_status"

	// endedMessage is the message of the line that a node logs at the end of each request.
	endedMessage = "request ended"

	// maxLineLength bounds a log line, in bytes.
	maxLineLength = 1 << 20
)

type (
	// Result is the result of one request as logged by its node. Times are in milliseconds.
	Result struct {
		Time     time.Time `json:"time"`
		Message  string    `json:"msg"`
		Route    string    `json:"route"`
		Outcome  string    `json:"outcome"`
		Status   int       `json:"status"`
		FirstMs  int       `json:"first_ms"`
		TotalMs  int       `json:"total_ms"`
		GapMs    int       `json:"gap_ms"`
		TargetMs int       `json:"target_ms"`
		MaxGapMs int       `json:"longest_gap_ms"` // MaxGapMs is the longest pause that the route allows; 0 for no bound.
	}

	// causeCounts counts results by cause.
	causeCounts map[string]int
)

// Read reads the results from log lines. It skips other lines and any prefix before a line's
// JSON, such as a node name.
func Read(r io.Reader) ([]Result, error) {
	var out []Result
	lines := bufio.NewScanner(r)
	lines.Buffer(nil, maxLineLength)
	for lines.Scan() {
		begin := bytes.IndexByte(lines.Bytes(), '{')
		if begin < 0 {
			continue
		}
		var e Result
		if err := json.Unmarshal(lines.Bytes()[begin:], &e); err != nil || e.Message != endedMessage {
			continue // Not the line of a finished request.
		}
		out = append(out, e)
	}
	if err := lines.Err(); err != nil {
		return nil, fmt.Errorf("read log lines: %w", err)
	}
	return out, nil
}

// Cause returns why the caller did not get a complete answer in time, or OnTime.
func (e *Result) Cause() string {
	first := e.FirstMs
	if e.MaxGapMs == 0 {
		first = e.TotalMs
	}
	switch {
	case e.Outcome != "answered":
		return e.Outcome
	case e.Status >= http.StatusBadRequest:
		return EngineStatus
	case e.TargetMs > 0 && first > e.TargetMs:
		return LateFirst
	case e.MaxGapMs > 0 && e.GapMs > e.MaxGapMs:
		return LatePause
	}
	return OnTime
}

// Write writes one table by route and one by second.
func Write(w io.Writer, results []Result) error {
	byRoute, bySecond, causes := map[string]causeCounts{}, map[string]causeCounts{}, map[string]bool{}
	for i := range results {
		e := &results[i]
		cause := e.Cause()
		causes[cause] = true
		count(byRoute, e.Route, cause)
		count(bySecond, e.Time.UTC().Format(time.TimeOnly), cause)
	}
	delete(causes, OnTime)
	columns := append([]string{OnTime}, slices.Sorted(maps.Keys(causes))...)
	if err := writeTable(w, "route", columns, byRoute); err != nil {
		return err
	}
	return writeTable(w, "second", columns, bySecond)
}

// count adds a result to the counts of a group.
func count(groups map[string]causeCounts, name, cause string) {
	if groups[name] == nil {
		groups[name] = causeCounts{}
	}
	groups[name][cause]++
}

// writeTable writes a table with one line per group and its counts by cause.
func writeTable(w io.Writer, title string, columns []string, groups map[string]causeCounts) error {
	tw := tabwriter.NewWriter(w, 0, 0, 2, ' ', tabwriter.AlignRight)
	fmt.Fprintf(tw, "%s\tall\t", title)
	for _, c := range columns {
		fmt.Fprintf(tw, "%s\t", c)
	}
	fmt.Fprintln(tw)
	for _, name := range slices.Sorted(maps.Keys(groups)) {
		all := 0
		for _, n := range groups[name] {
			all += n
		}
		fmt.Fprintf(tw, "%s\t%d\t", name, all)
		for _, c := range columns {
			fmt.Fprintf(tw, "%d\t", groups[name][c])
		}
		fmt.Fprintln(tw)
	}
	if err := tw.Flush(); err != nil {
		return fmt.Errorf("write table: %w", err)
	}
	return nil
}
