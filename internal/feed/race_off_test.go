//go:build !race

package feed_test

// raceFactor scales the time limits of tests; it is 1 without the race detector.
const raceFactor = 1
