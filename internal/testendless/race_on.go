//go:build race

package testendless

// RaceFactor scales the time limits of readers under the race detector.
const RaceFactor = 4
