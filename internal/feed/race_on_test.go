//go:build race

package feed_test

// raceFactor is how much longer timed tests may take with the race detector.
const raceFactor = 4
