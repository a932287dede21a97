package front

import (
	"fmt"
	"sync/atomic"

	"github.com/croftturn/croftturn/internal/engine"
)

const (
	// maxHeldBytes limits what all answers hold together, in bytes.
	maxHeldBytes = 32 << 20

	// maxHeldAnswer limits what one answer holds, in bytes; a message between nodes carries no longer body.
	maxHeldAnswer = 16 << 20

	// smallAnswer is what an answer may hold even if the total is reached, in bytes: engines that send without end do not
	// take the room of short answers.
	smallAnswer = 64 << 10
)

// errTooLong means that an answer is too long to be held. An engine that is out of order may send without end.
var errTooLong = fmt.Errorf("answer too long to be held: %w", engine.ErrMalformed)

type (
	// heldBytes counts what the answers in memory hold. It is safe for concurrent use.
	heldBytes struct{ total atomic.Int64 }

	// heldAnswer is an answer, or its beginning, in memory.
	heldAnswer struct {
		all  *heldBytes
		body []byte
		own  int64 // own is what the answer holds, in bytes.
	}
)

// open returns an empty answer, which is released once it is no longer needed.
func (b *heldBytes) open() *heldAnswer { return &heldAnswer{all: b} }

// add appends to the answer, unless it may not hold as much.
func (a *heldAnswer) add(p []byte) bool {
	if len(a.body)+len(p) <= cap(a.body) {
		a.body = append(a.body, p...)
		return true
	}
	size := int64(2*cap(a.body) + len(p))
	total := a.all.total.Add(size - a.own)
	if size > maxHeldAnswer || size > smallAnswer && total > maxHeldBytes {
		a.all.total.Add(a.own - size)
		return false
	}
	a.own = size
	a.body = append(append(make([]byte, 0, size), a.body...), p...)
	return true
}

// release empties the answer.
func (a *heldAnswer) release() {
	a.all.total.Add(-a.own)
	a.body, a.own = nil, 0
}
