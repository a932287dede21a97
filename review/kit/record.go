//go:build review

// Package kit holds the stand-ins of the review's scripts: the platform's store, nodes as processes, and records.
package kit

import (
	"flag"
	"fmt"
	"os"
	"path/filepath"
	"sync"
	"time"
)

// Exit codes of a case.
const (
	Held   = 0
	Broken = 1
	NotRun = 2
)

// Record is the record of a case: what was sent, answered and run.
type Record struct {
	mu    sync.Mutex
	f     *os.File
	begin time.Time
}

// Logf adds a line with the time since the start.
func (r *Record) Logf(format string, args ...any) { r.LogAt(time.Now(), format, args...) }

// LogAt adds a line with a time.
func (r *Record) LogAt(at time.Time, format string, args ...any) {
	r.mu.Lock()
	defer r.mu.Unlock()
	fmt.Fprintf(r.f, "%9.3f %s\n", at.Sub(r.begin).Seconds(), fmt.Sprintf(format, args...))
}

// Main runs a case with a record and a temporary folder, and exits with its result.
func Main(run func(r *Record, dir string, trouble bool) int) {
	out := flag.String("record", "record.txt", "file that the record is written to")
	keep := flag.Bool("keep", false, "keep the temporary folder with the nodes' logs")
	flag.Parse()
	f, err := os.Create(*out)
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		os.Exit(NotRun)
	}
	dir, err := os.MkdirTemp("", "croftturn-review")
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		os.Exit(NotRun)
	}
	r := &Record{f: f, begin: time.Now()}
	trouble := os.Getenv("TROUBLE") != "0"
	r.Logf("start, trouble=%v", trouble)
	time.AfterFunc(115*time.Second, func() {
		r.Logf("RESULT not run: out of time")
		os.Exit(NotRun) // The nodes end with this process.
	})
	code := run(r, dir, trouble)
	r.Logf("RESULT %s", map[int]string{Held: "held", Broken: "broken", NotRun: "not run"}[code])
	f.Close()
	if *keep {
		fmt.Println(filepath.Clean(dir))
	} else {
		os.RemoveAll(dir)
	}
	os.Exit(code)
}
