//go:build !race

package testendless

// RaceFactor scales the time limits of readers; it is 1 without the race detector.
const RaceFactor = 1
