package relaybuf

import (
	"errors"
	"os"
	"sync"
	"time"

	"github.com/croftturn/croftturn/internal/clock"
)

const (
	// directBytes is how many bytes may be on their way to a caller while the goroutine that reads from
	// the engine writes to it. They fit the kernel's send buffer (16 KB at first), so these writes do
	// not block, and a caller that does not lag needs neither a goroutine nor a copy.
	directBytes = 8 << 10

	// chunkSize is the memory in which buffers grow, and chunkData what it holds of an answer, in bytes.
	chunkSize = 4 << 10
	chunkData = chunkSize - 24

	// recheckInterval is how often a paused answer checks whether others have left room.
	recheckInterval = 50 * time.Millisecond
)

// ErrCallerLeft means that the caller closed its connection.
var ErrCallerLeft = errors.New("relaybuf: caller left")

// chunks recycles the memory of buffers.
var chunks = sync.Pool{New: func() any { return new(chunk) }}

type (
	// Caller is the connection to which an answer is written.
	Caller struct {
		Write     func(p []byte) error // Write writes a piece of the answer; it may block while the caller does not read.
		Interrupt func()               // Interrupt makes a blocked Write and all later ones fail at once.
		Extend    func()               // Extend gives a blocked Write its timeout again, since the caller reads.
		Unread    func() int64         // Unread returns how many bytes were sent and not acknowledged, -1 if unknown; it may be nil.
		Left      <-chan struct{}      // Left is closed when the caller has closed its connection.
	}

	// Hooks are what a buffer calls.
	Hooks struct {
		Failed func(err error) // Failed is called at most once, from any goroutine, when the caller was cut off or cannot be written to.
		Waited func()          // Waited is called by Write after each piece of time in which the engine was not read, at most 50 ms long while the buffer has bytes.
	}

	// Buffer takes an answer as the engine sends it and writes it to the caller as that one reads.
	// Write and Close are called by one goroutine at a time.
	Buffer struct {
		caller  Caller
		account *Account
		ended   <-chan struct{} // ended is closed at the request's deadline.
		hooks   Hooks
		direct  int           // direct is at least how many bytes are on their way, unless the writer has some.
		room    chan struct{} // room wakes Write.
		data    chan struct{} // data wakes the writer.
		done    chan struct{} // done is closed when the writer has ended; nil if there is none.

		mu         sync.Mutex
		head, tail *chunk // head and tail are the unread chunks, oldest first; nil if all is read.
		closed     bool   // closed is set once nothing more is appended.
		released   bool   // released is set once the connection may serve another request.
		err        error
	}

	// chunk is a piece of an answer, of which data[from:to] is unread.
	chunk struct {
		next     *chunk
		from, to int
		data     [chunkData]byte
	}
)

// New returns the buffer of one answer. ended is closed at the request's deadline, after which
// nothing waits for room any more.
func New(b *Budget, c Caller, ended <-chan struct{}, h Hooks) *Buffer {
	buf := &Buffer{caller: c, ended: ended, hooks: h, room: make(chan struct{}, 1), data: make(chan struct{}, 1)}
	buf.account = b.Open(func(r Reason) { buf.fail(&CutError{r}) }, c)
	return buf
}

// Write takes a piece of the answer and waits until it has room for all of it. The error is
// ErrCallerLeft, a *CutError or an error of the caller's connection; the rest of the answer is then
// not delivered.
func (b *Buffer) Write(p []byte) error {
	if b.fitsKernel(len(p)) {
		b.direct += len(p)
		return b.writeDirect(p)
	}
	b.direct = directBytes // What the writer sends is not counted.
	if b.done == nil {
		b.done = make(chan struct{})
		go b.run()
	}
	for len(p) > 0 {
		n, err := b.append(p)
		if err != nil {
			return err
		}
		p = p[n:]
		if n > 0 {
			continue
		}
		if b.empty() { // There is no room at all, so this answer is relayed as if there were no buffer.
			n = min(len(p), chunkData)
			b.account.Bypass(clock.Now())
			err = b.writeDirect(p[:n])
			b.account.Resume(clock.Now())
			p = p[n:]
		} else {
			err = b.awaitRoom()
		}
		b.hooks.Waited()
		if err != nil {
			return err
		}
	}
	return nil
}

// fitsKernel reports whether the kernel takes n bytes at once. The connection is asked once for about
// each directBytes.
func (b *Buffer) fitsKernel(n int) bool {
	if b.done != nil && !b.empty() {
		return false
	}
	if b.direct+n > directBytes && b.caller.Unread != nil {
		if unread := b.caller.Unread(); unread >= 0 {
			b.direct = int(unread)
		}
	}
	return b.direct+n <= directBytes
}

// Err returns why the answer cannot be delivered, or nil.
func (b *Buffer) Err() error {
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.err
}

// Lag returns the most bytes that were buffered and for how long the engine was not read.
func (b *Buffer) Lag(now time.Time) (peak int64, paused time.Duration) { return b.account.Lag(now) }

// LastPause returns for how long the engine was not read before it failed; see Account.LastPause.
func (b *Buffer) LastPause(now, since time.Time) time.Duration {
	return b.account.LastPause(now, since)
}

// Close waits until all is written, unless the caller leaves or is cut off, and releases the buffer.
// It returns the error of Write.
func (b *Buffer) Close() error {
	if b.done != nil {
		b.mu.Lock()
		b.closed = true
		b.mu.Unlock()
		wake(b.data)
		select {
		case <-b.done:
		case <-b.caller.Left:
			b.fail(ErrCallerLeft)
			<-b.done
		}
	}
	b.mu.Lock()
	defer b.mu.Unlock()
	b.released = true
	for b.head != nil {
		b.dropHead()
	}
	b.account.Close(clock.Now())
	return b.err
}

// append copies as much of p into the buffer as there is room for.
func (b *Buffer) append(p []byte) (n int, err error) {
	b.mu.Lock()
	defer b.mu.Unlock()
	if b.err != nil {
		return 0, b.err
	}
	for len(p) > n {
		if b.tail == nil || b.tail.to == chunkData {
			if !b.account.Reserve(clock.Now(), chunkSize) {
				break
			}
			b.grow()
		}
		copied := copy(b.tail.data[b.tail.to:], p[n:])
		b.tail.to += copied
		n += copied
	}
	if n > 0 {
		wake(b.data)
	}
	return n, nil
}

// grow adds an empty chunk. The caller holds the lock.
func (b *Buffer) grow() {
	c := chunks.Get().(*chunk)
	c.next, c.from, c.to = nil, 0, 0
	if b.tail == nil {
		b.head = c
	} else {
		b.tail.next = c
	}
	b.tail = c
}

// dropHead frees the oldest chunk. The caller holds the lock.
func (b *Buffer) dropHead() {
	c := b.head
	if b.head = c.next; b.head == nil {
		b.tail = nil
	}
	chunks.Put(c)
}

// empty reports whether all has been written, so that the writer writes nothing until the next
// append.
func (b *Buffer) empty() bool {
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.head == nil
}

// writeDirect writes a piece to the caller without the buffer.
func (b *Buffer) writeDirect(p []byte) error {
	if err := b.caller.Write(p); err != nil {
		b.fail(err)
	}
	return b.Err()
}

// awaitRoom waits until there may be room.
func (b *Buffer) awaitRoom() error {
	recheck := time.NewTimer(recheckInterval)
	defer recheck.Stop()
	select {
	case <-b.room:
	case <-recheck.C:
	case <-b.caller.Left:
		b.fail(ErrCallerLeft)
	case <-b.ended:
		b.fail(b.endedError())
	}
	return b.Err()
}

// endedError returns why the request has ended: its caller's leaving ends it too.
func (b *Buffer) endedError() error {
	select {
	case <-b.caller.Left:
		return ErrCallerLeft
	default:
		return &CutError{Deadline}
	}
}

// fail ends the delivery, unless it has ended. Only the first error counts.
func (b *Buffer) fail(err error) {
	if errors.Is(err, os.ErrDeadlineExceeded) {
		err = &CutError{WriteTimeout}
	}
	b.mu.Lock()
	first := b.err == nil && !b.released
	if first {
		b.err = err
		b.caller.Interrupt()
	}
	b.mu.Unlock()
	if !first {
		return
	}
	b.hooks.Failed(err)
	wake(b.room)
	wake(b.data)
}

// run writes what is buffered until the buffer is closed and empty, or the delivery fails.
func (b *Buffer) run() {
	defer close(b.done)
	for {
		p, ok := b.next()
		if !ok {
			return
		}
		if p == nil {
			<-b.data
			continue
		}
		if err := b.caller.Write(p); err != nil {
			b.fail(err)
			return
		}
		b.written(len(p))
	}
}

// next returns the oldest unread bytes, nil if there are none yet, and whether the writer goes on.
func (b *Buffer) next() (p []byte, ok bool) {
	b.mu.Lock()
	defer b.mu.Unlock()
	if b.err != nil || b.closed && b.head == nil {
		return nil, false
	}
	if b.head == nil {
		return nil, true
	}
	return b.head.data[b.head.from:b.head.to], true
}

// written removes the oldest n bytes, which the caller took.
func (b *Buffer) written(n int) {
	b.mu.Lock()
	defer b.mu.Unlock()
	freed := int64(0)
	if b.head.from += n; b.head.from == b.head.to {
		b.dropHead()
		freed = chunkSize
	}
	b.account.Read(clock.Now(), freed)
	wake(b.room)
}

// wake wakes a goroutine that waits, or the next time it does.
func wake(c chan struct{}) {
	select {
	case c <- struct{}{}:
	default: // A wake-up is already pending.
	}
}
