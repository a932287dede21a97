package load

import (
	"context"
	"fmt"
	"io"
	"sort"
	"sync"
	"text/tabwriter"
	"time"

	"github.com/HdrHistogram/hdrhistogram-go"

	"github.com/croftturn/croftturn/lab/record"
)

type (
	// Options say how a trace is sent.
	Options struct {
		Nodes []string
		Log   *record.Log
		// Send sends one request; nil means to send it to the nodes.
		Send    func(ctx context.Context, r Request) record.Attempt
		Tickets bool // Tickets makes requests with a key ask for a ticket first.
		Retries int  // Retries is how often a refused request is sent again, at the time it was told.
	}

	// ClassReport is what happened to one class.
	ClassReport struct {
		Class      string  `json:"class"`
		Tier       int     `json:"tier"`
		Requests   int     `json:"requests"`
		Completed  int     `json:"completed"`
		OnTime     int     `json:"on_time"`
		Refused    int     `json:"refused"`
		Unknown    int     `json:"unknown"`
		Errors     int     `json:"errors"`
		Faults     int     `json:"faults"`
		Tokens     int     `json:"tokens"`
		Attainment float64 `json:"attainment"`
		FirstP50   float64 `json:"first_p50_ms"`
		FirstP95   float64 `json:"first_p95_ms"`
		TotalP95   float64 `json:"total_p95_ms"`
	}

	// Report is what happened to a trace.
	Report struct {
		Seconds float64           `json:"seconds"`
		Classes []ClassReport     `json:"classes"`
		Goodput float64           `json:"goodput"` // Goodput is tokens of whole answers a second.
		Teams   map[string][2]int `json:"teams"`   // Teams gives completed and sent requests.
		Sent    []record.Attempt  `json:"-"`
	}
)

// Run sends a trace, open loop, and waits for all answers.
func Run(ctx context.Context, trace []Arrival, opts Options) *Report {
	if opts.Send == nil {
		caller := NewCaller(opts.Nodes)
		defer caller.Close()
		opts.Send = caller.Send
		if opts.Tickets {
			opts.Send = caller.sendWithTicket
		}
	}
	var mu sync.Mutex
	var wg sync.WaitGroup
	var sent []record.Attempt
	begun := time.Now()
	for _, a := range trace {
		if wait := a.At - time.Since(begun); wait > 0 {
			time.Sleep(wait)
		}
		if ctx.Err() != nil {
			break
		}
		wg.Add(1)
		go func() {
			defer wg.Done()
			for _, s := range sendAll(ctx, a, opts) {
				mu.Lock()
				sent = append(sent, s)
				mu.Unlock()
			}
		}()
	}
	wg.Wait()
	return Summarize(sent, time.Since(begun))
}

// sendAll sends one request, and again as the options allow.
func sendAll(ctx context.Context, a Arrival, opts Options) []record.Attempt {
	var out []record.Attempt
	r := Request{Arrival: a}
	if a.Class.Once {
		r.Key = "key-" + a.Mark
	}
	for r.Try = 1; ; r.Try++ {
		s := opts.Send(ctx, r)
		opts.Log.Write(s)
		out = append(out, s)
		if s.Outcome != "not_run" || s.RetryAfter == 0 || r.Try > opts.Retries {
			return out
		}
		time.Sleep(time.Duration(s.RetryAfter) * time.Millisecond)
	}
}

// Summarize counts sendings by class; of a request's tries the last one counts.
func Summarize(sent []record.Attempt, took time.Duration) *Report {
	last := map[string]record.Attempt{}
	for _, s := range sent {
		if have, ok := last[s.Mark]; !ok || s.Try > have.Try {
			last[s.Mark] = s
		}
	}
	report := &Report{Seconds: took.Seconds(), Teams: map[string][2]int{}, Sent: sent}
	byClass := map[string]*classCount{}
	for _, s := range last {
		c := byClass[s.Class]
		if c == nil {
			c = newClassCount(s)
			byClass[s.Class] = c
		}
		c.add(s)
		t := report.Teams[s.Team]
		t[1]++
		if s.Outcome == "completed" {
			t[0]++
			report.Goodput += float64(s.Tokens) / took.Seconds()
		}
		report.Teams[s.Team] = t
	}
	for _, c := range byClass {
		report.Classes = append(report.Classes, c.report())
	}
	sort.Slice(report.Classes, func(i, j int) bool { return report.Classes[i].Class < report.Classes[j].Class })
	return report
}

// classCount gathers one class.
type classCount struct {
	ClassReport
	first, total *hdrhistogram.Histogram
}

// newClassCount returns an empty count.
func newClassCount(s record.Attempt) *classCount {
	const longest = 10 * 60 * 1000
	return &classCount{
		ClassReport: ClassReport{Class: s.Class, Tier: s.Tier},
		first:       hdrhistogram.New(1, longest, 3), total: hdrhistogram.New(1, longest, 3),
	}
}

// add counts one request.
func (c *classCount) add(s record.Attempt) {
	c.Requests++
	if s.OnTime {
		c.OnTime++
	}
	if s.Fault != "" {
		c.Faults++
	}
	switch s.Outcome {
	case "completed":
		c.Completed++
		c.Tokens += s.Tokens
		c.first.RecordValue(int64(s.FirstMs))
		c.total.RecordValue(int64(s.TotalMs))
	case "not_run":
		c.Refused++
	case "unknown":
		c.Unknown++
	default:
		c.Errors++
	}
}

// report returns the finished count.
func (c *classCount) report() ClassReport {
	c.Attainment = float64(c.OnTime) / float64(c.Requests)
	c.FirstP50 = float64(c.first.ValueAtQuantile(50))
	c.FirstP95 = float64(c.first.ValueAtQuantile(95))
	c.TotalP95 = float64(c.total.ValueAtQuantile(95))
	return c.ClassReport
}

// Class returns the report of a class, or an empty one.
func (r *Report) Class(name string) ClassReport {
	for _, c := range r.Classes {
		if c.Class == name {
			return c
		}
	}
	return ClassReport{Class: name}
}

// Requests returns how many requests were sent.
func (r *Report) Requests() int {
	n := 0
	for _, c := range r.Classes {
		n += c.Requests
	}
	return n
}

// Unknowns returns how many requests ended as unknown or with an error.
func (r *Report) Unknowns() int {
	n := 0
	for _, c := range r.Classes {
		n += c.Unknown + c.Errors
	}
	return n
}

// Print writes the report as a table.
func (r *Report) Print(out io.Writer) {
	w := tabwriter.NewWriter(out, 0, 4, 2, ' ', 0)
	fmt.Fprintln(w, "CLASS\tTIER\tREQUESTS\tCOMPLETED\tON TIME\tREFUSED\tUNKNOWN\tERRORS\tWRONG\tATTAINMENT\tFIRST P50\tFIRST P95\tTOTAL P95")
	for _, c := range r.Classes {
		fmt.Fprintf(w, "%s\t%d\t%d\t%d\t%d\t%d\t%d\t%d\t%d\t%.3f\t%.0f ms\t%.0f ms\t%.0f ms\n", c.Class, c.Tier, c.Requests, c.Completed,
			c.OnTime, c.Refused, c.Unknown, c.Errors, c.Faults, c.Attainment, c.FirstP50, c.FirstP95, c.TotalP95)
	}
	w.Flush()
	fmt.Fprintf(out, "goodput %.0f tokens/s over %.1f s\n", r.Goodput, r.Seconds)
}
