// Package record defines the logs that fake backends and the load generator write for each
// request, which package check evaluates.
package record

import (
	"bufio"
	"encoding/json"
	"fmt"
	"os"
	"strconv"
	"strings"
	"sync"
	"time"

	"github.com/cespare/xxhash/v2"
)

type (
	// Execution is one line of a fake backend's log: a request started or ended there.
	Execution struct {
		Backend string `json:"backend"`
		Request string `json:"request"` // Request is the id that the router assigned.
		Key     string `json:"key,omitempty"`
		Mark    string `json:"mark"`  // Mark is the caller's own id of the request, taken from the body.
		Event   string `json:"event"` // Event is start, end or cancel.
		Tokens  int    `json:"tokens,omitempty"`
		AtMs    int64  `json:"at_ms"`
	}

	// Attempt is one line of the load generator's log: one request and its answer.
	Attempt struct {
		Mark            string  `json:"mark"`
		Try             int     `json:"try"`
		Key             string  `json:"key,omitempty"`
		Class           string  `json:"class"`
		Tier            int     `json:"tier"`
		Team            string  `json:"team"`
		Node            string  `json:"node"`
		Outcome         string  `json:"outcome"` // Outcome is completed, not_run, unknown or error.
		Code            string  `json:"code,omitempty"`
		Request         string  `json:"request,omitempty"` // Request is the id that the router assigned.
		Fault           string  `json:"fault,omitempty"`   // Fault is what is wrong with a completed answer.
		Tokens          int     `json:"tokens,omitempty"`
		SentMs          int64   `json:"sent_ms"`
		NodeCalledMs    float64 `json:"given_ms,omitempty"` // NodeCalledMs is from sending to the call of the node, which includes the search for a node.
		FirstMs         float64 `json:"first_ms,omitempty"` // FirstMs is from sending to the first token.
		TotalMs         float64 `json:"total_ms"`
		RetryAfter      int     `json:"retry_after_ms,omitempty"`
		OnTime          bool    `json:"on_time"`
		OutputRequested int     `json:"output_asked,omitempty"`
	}

	// Log appends JSON lines to a file.
	Log struct {
		mu sync.Mutex
		f  *os.File
	}
)

// OpenLog opens a log for appending; with an empty path it discards all lines.
func OpenLog(path string) (*Log, error) {
	if path == "" {
		return &Log{}, nil
	}
	f, err := os.OpenFile(path, os.O_CREATE|os.O_APPEND|os.O_WRONLY, 0o644)
	if err != nil {
		return nil, fmt.Errorf("open log: %w", err)
	}
	return &Log{f: f}, nil
}

// Write appends one line; it is written to the file before Write returns, so that a killed
// process loses none.
func (l *Log) Write(line any) {
	if l.f == nil {
		return
	}
	text, err := json.Marshal(line)
	if err != nil {
		panic(fmt.Sprintf("record: encode line: %v", err))
	}
	l.mu.Lock()
	defer l.mu.Unlock()
	if _, err := l.f.Write(append(text, '\n')); err != nil {
		fmt.Fprintln(os.Stderr, "write log:", err)
	}
}

// Read reads all lines of a log.
func Read[T any](path string) ([]T, error) {
	f, err := os.Open(path)
	if err != nil {
		return nil, fmt.Errorf("read log: %w", err)
	}
	defer f.Close()
	var out []T
	lines := bufio.NewScanner(f)
	lines.Buffer(nil, 1<<20)
	for lines.Scan() {
		var line T
		if err := json.Unmarshal(lines.Bytes(), &line); err != nil {
			return nil, fmt.Errorf("decode line %d of %s: %w", len(out)+1, path, err)
		}
		out = append(out, line)
	}
	return out, lines.Err()
}

// Word returns token i of the answer to a mark. It depends only on these, so that a wrong or
// incomplete answer can be detected.
func Word(mark string, i int) string {
	return strconv.FormatUint(xxhash.Sum64String(mark+"/"+strconv.Itoa(i))&0xffffff, 36) + " "
}

// Answer returns the first n tokens of the answer to a mark.
func Answer(mark string, n int) string {
	var b strings.Builder
	for i := range n {
		b.WriteString(Word(mark, i))
	}
	return b.String()
}

// Prompt returns a prompt that tells a fake engine its mark and the number of tokens to answer
// with; filler is the number of words that pad it.
func Prompt(mark string, tokens, filler int) string {
	return fmt.Sprintf("mark=%s tokens=%d %s", mark, tokens, strings.Repeat("word ", filler))
}

// ParsePrompt returns the mark and the number of answer tokens of a prompt.
func ParsePrompt(text string) (mark string, tokens int) {
	const defaultTokens = 32
	tokens = defaultTokens
	for _, f := range strings.Fields(text) {
		if v, ok := strings.CutPrefix(f, "mark="); ok {
			mark = v
		}
		if v, ok := strings.CutPrefix(f, "tokens="); ok {
			if n, err := strconv.Atoi(v); err == nil {
				tokens = n
			}
		}
	}
	return mark, tokens
}

// NowMs returns the time in Unix milliseconds.
func NowMs() int64 { return time.Now().UnixMilli() }
