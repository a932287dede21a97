// Package service is a small stand-in of a plain backend server, such as one
// that submits bids. It writes down each execution with its key.
package service

import (
	"encoding/json"
	"fmt"
	"io"
	"net/http"
	"sync"
	"time"

	"github.com/croftturn/croftturn/lab/record"
)

type (
	// Options are a service's name and times.
	Options struct {
		Name  string
		Delay time.Duration // Delay is how long a call takes.
		Slots int           // Slots is how many calls it takes at once before it refuses.
	}

	// Faults are what the control port sets.
	Faults struct {
		DelayMs    int  `json:"delay_ms"`    // DelayMs takes the place of Delay; 0 for Delay.
		BreakAfter bool `json:"break_after"` // BreakAfter cuts the connection after the call was executed.
		Leaving    bool `json:"leaving"`
	}

	// Service serves the stand-in.
	Service struct {
		opts Options
		log  *record.Log

		mu     sync.Mutex
		faults Faults
		active int
	}
)

// New returns a service.
func New(opts Options, log *record.Log) *Service { return &Service{opts: opts, log: log} }

// Handler returns the HTTP handler, control port included.
func (s *Service) Handler() http.Handler {
	mux := http.NewServeMux()
	mux.HandleFunc("GET /load", s.handleLoad)
	mux.HandleFunc("POST /control/faults", s.handleFaults)
	mux.HandleFunc("/", s.handleCall)
	return mux
}

// handleLoad tells how many calls are active.
func (s *Service) handleLoad(w http.ResponseWriter, _ *http.Request) {
	s.mu.Lock()
	defer s.mu.Unlock()
	fmt.Fprintf(w, `{"running":%d,"leaving":%v}`, s.active, s.faults.Leaving)
}

// handleFaults sets the faults.
func (s *Service) handleFaults(w http.ResponseWriter, r *http.Request) {
	var f Faults
	if err := json.NewDecoder(r.Body).Decode(&f); err != nil {
		http.Error(w, err.Error(), http.StatusBadRequest)
		return
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	s.faults = f
}

// handleCall executes a call: the answer is a function of the body's mark.
func (s *Service) handleCall(w http.ResponseWriter, r *http.Request) {
	body, err := io.ReadAll(r.Body)
	if err != nil {
		http.Error(w, err.Error(), http.StatusBadRequest)
		return
	}
	s.mu.Lock()
	f := s.faults
	if f.Leaving || s.active >= s.opts.Slots {
		s.mu.Unlock()
		http.Error(w, "full", http.StatusTooManyRequests)
		return
	}
	s.active++
	s.mu.Unlock()
	defer func() {
		s.mu.Lock()
		s.active--
		s.mu.Unlock()
	}()
	mark, _ := record.ParsePrompt(string(body))
	line := record.Execution{Backend: s.opts.Name, Request: r.Header.Get("X-Request-Id"), Key: r.Header.Get("Idempotency-Key"), Mark: mark, Event: "start", AtMs: record.NowMs()}
	s.log.Write(line)
	delay := s.opts.Delay
	if f.DelayMs > 0 {
		delay = time.Duration(f.DelayMs) * time.Millisecond
	}
	time.Sleep(delay)
	line.Event, line.AtMs = "end", record.NowMs()
	s.log.Write(line)
	if f.BreakAfter {
		panic(http.ErrAbortHandler)
	}
	fmt.Fprint(w, record.Answer(mark, 1))
}
