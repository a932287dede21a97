package limit_test

import (
	"fmt"
	"testing"
	"time"
)

// BenchmarkTell measures what a node does for a message while all engines of a large fleet have named limits.
func BenchmarkTell(b *testing.B) {
	l := newLimits()
	for i := range 10_000 {
		l.Answered(start, start, fmt.Sprint("e", i), 1, true)
	}
	for i := 0; b.Loop(); i++ {
		l.Tell(start.Add(time.Minute+time.Duration(i)*time.Millisecond), time.Second)
	}
}
