//go:build race

package feed_test

// raceFactor scales the time limits of tests under the race detector.
const raceFactor = 4
