package limit_test

import (
	"fmt"
	"testing"
	"time"
)

// BenchmarkGossipEntries measures the cost of one message while all engines of a large fleet have limits.
func BenchmarkGossipEntries(b *testing.B) {
	l := newLimits()
	for i := range 10_000 {
		l.Answered(start, start, fmt.Sprint("e", i), 1, true)
	}
	for i := 0; b.Loop(); i++ {
		l.GossipEntries(start.Add(time.Minute+time.Duration(i)*time.Millisecond), time.Second)
	}
}
