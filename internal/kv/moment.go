package kv

import "time"

const (
	// maxDrift is the share by which the local clock may run faster or slower than the store's: each may be off by half of it.
	maxDrift = 1e-3

	// resolution is that of the store's clock in answers.
	resolution = time.Millisecond
)

// Moment is a reading of the store's steady clock: it read Ms at some time between Sent and Answered. The zero value is none.
type Moment struct {
	Ms             int64
	Sent, Answered time.Time // Sent and Answered are local times.
}

// Known reports whether the store told its clock.
func (m Moment) Known() bool { return m.Ms > 0 }

// Bounds returns between which readings the store's clock was at a local time, in milliseconds.
func (m Moment) Bounds(at time.Time) (earliest, latest int64) {
	read := time.Duration(m.Ms) * time.Millisecond
	fromAnswer, fromSent := at.Sub(m.Answered), at.Sub(m.Sent)
	low := read + fromAnswer - drift(fromAnswer)
	high := read + resolution + fromSent + drift(fromSent)
	return floorMs(low), floorMs(high) + 1
}

// drift returns how far two clocks may move against each other in a time of either sign.
func drift(d time.Duration) time.Duration { return time.Duration(maxDrift * float64(d.Abs())) }

// floorMs returns a duration of either sign in milliseconds, rounded down.
func floorMs(d time.Duration) int64 {
	ms := d.Milliseconds()
	if d < time.Duration(ms)*time.Millisecond {
		ms--
	}
	return ms
}
