package caller

import (
	"errors"
	"io"
	"sync/atomic"
)

const (
	// bodyShare is the share of the process's memory for the bodies of requests.
	bodyShare = 0.25

	// smallBody is what a body may take of the last fifth of the room, in bytes: callers that send large bodies, or
	// slowly, do not take the room of small ones.
	smallBody  = 64 << 10
	smallShare = 4

	// firstBytes is what is allocated for a large body, or one without a length, before any of it has come. Doubled, it is
	// more than bodies of usual limits, whose end is read without one more allocation.
	firstBytes = 4<<10 + 512
)

// ErrNoRoom means that the bodies of other requests take the memory that a body needs.
var ErrNoRoom = errors.New("no room for the body of the request")

type (
	// BodyRoom bounds the memory that the bodies of requests take together. A nil BodyRoom, or one without a limit, bounds
	// nothing. It is safe for concurrent use.
	BodyRoom struct{ limit, taken atomic.Int64 }

	// Body is what one request takes of the room.
	Body struct {
		room *BodyRoom
		own  int64
	}
)

// SetMemory sets what the process may use, in megabytes; 0 for no limit.
func (r *BodyRoom) SetMemory(mb float64) { r.limit.Store(int64(bodyShare * mb * (1 << 20))) }

// Taken returns the bytes that bodies take.
func (r *BodyRoom) Taken() int64 { return r.taken.Load() }

// Open returns a body that takes nothing yet. Close it once the request has ended.
func (r *BodyRoom) Open() *Body { return &Body{room: r} }

// Resize makes the body take n bytes, and reports whether it may: a body that is alone always may.
func (b *Body) Resize(n int64) bool {
	if b.room == nil {
		return true
	}
	taken, limit := b.room.taken.Add(n-b.own), b.room.limit.Load()
	if limit <= 0 || n <= b.own || taken <= limit || taken == n || n <= smallBody && taken <= limit+limit/smallShare {
		b.own = n
		return true
	}
	b.room.taken.Add(b.own - n)
	return false
}

// Close releases what the body takes.
func (b *Body) Close() { b.Resize(0) }

// Read reads a body whose length is known, or is below 0. A large one takes its room once its first bytes have come, so that a
// caller that sends none takes little, and one for which there is none is refused early; one without a length takes more as its
// bytes come. It fails with ErrNoRoom. The caller has checked the length, which is allocated.
func (b *Body) Read(r io.Reader, length int64) ([]byte, error) {
	size := int64(firstBytes)
	if length >= 0 && length <= smallBody {
		size = length
	}
	var body []byte
	for int64(len(body)) != length {
		if len(body) == cap(body) {
			if !b.Resize(size) {
				return nil, ErrNoRoom
			}
			body = append(make([]byte, 0, size), body...)
			switch {
			case length < 0:
				size *= 2
			case size < smallBody:
				size = smallBody
			default:
				size = length
			}
		}
		n, err := r.Read(body[len(body):cap(body)])
		body = body[:len(body)+n]
		if errors.Is(err, io.EOF) && (length < 0 || int64(len(body)) == length) {
			return body, nil
		}
		if errors.Is(err, io.EOF) {
			return body, io.ErrUnexpectedEOF
		}
		if err != nil {
			return body, err
		}
	}
	return body, nil
}
