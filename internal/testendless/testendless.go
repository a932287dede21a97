// Package testendless has servers for tests that send bytes without end in place of an answer, and measures what a
// reader of them holds.
package testendless

import (
	"math"
	"net"
	"runtime"
	"runtime/metrics"
	"strings"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"golang.org/x/sys/unix"

	"github.com/croftturn/croftturn/internal/clock"
)

const (
	// KernelBytes is more than the kernel buffers of what a closed connection's server wrote.
	KernelBytes = 8 << 20

	// pieceBytes is the size of a write.
	pieceBytes = 64 << 10

	// sampleInterval is the time between two measurements of the heap; it is longer where these take long, so that readers
	// have most of the time.
	sampleInterval = 20 * time.Millisecond
	restShare      = 2

	// maxCollections bounds a measurement, and restBytes is what the process allocates at most during a collection while its
	// readers are at rest.
	maxCollections = 20
	restBytes      = 256 << 10

	// kernelBuffer bounds what the kernel takes of bytes that no reader gets, which is up to 36 MB otherwise.
	kernelBuffer = 128 << 10

	// maxDescriptors is more than a test has.
	maxDescriptors = 1024
)

// measuring is closed once the heap is measured; nil if it is not being measured.
var measuring atomic.Pointer[chan struct{}]

// Bytes are bytes without end.
type Bytes struct {
	Name      string
	Beginning string
	Piece     string // Piece is repeated after the beginning.
	Framing   int    // Framing is how many bytes frame each byte of a body, if it is more than a few percent.
}

// Heads returns heads without end.
func Heads() []Bytes {
	return []Bytes{
		{Name: "raw bytes", Beginning: "", Piece: "x"},
		{Name: "status line", Beginning: "HTTP/1.1 200 ", Piece: "x"},
		{Name: "header", Beginning: "HTTP/1.1 200 OK\r\nX: ", Piece: "x"},
		{Name: "header lines", Beginning: "HTTP/1.1 200 OK\r\n", Piece: "X: y\r\n"},
		{Name: "interim header", Beginning: "HTTP/1.1 100 Continue\r\nX: ", Piece: "x"},
		{Name: "interim heads", Beginning: "", Piece: "HTTP/1.1 103 Early Hints\r\nX: y\r\n\r\n"},
		{Name: "headers of a refusal", Beginning: "HTTP/1.1 503 No\r\n", Piece: "X: y\r\n"},
	}
}

// Bodies returns bodies without end behind a head with some header lines, each of which ends in CRLF.
func Bodies(headers string) []Bytes {
	ok := "HTTP/1.1 200 OK\r\n" + headers
	chunked := ok + "Transfer-Encoding: chunked\r\n\r\n"
	return []Bytes{
		{Name: "no length", Beginning: ok + "\r\n", Piece: "x"},
		{Name: "a large length", Beginning: ok + "Content-Length: 1000000000000\r\n\r\n", Piece: "x"},
		{Name: "chunk extension", Beginning: chunked + "1;", Piece: "x"},
		{Name: "zeros of a chunk size", Beginning: chunked, Piece: "0"},
		{Name: "chunks", Beginning: chunked, Piece: "400\r\n" + strings.Repeat("x", 0x400) + "\r\n"},
		{Name: "small chunks with extensions", Beginning: chunked, Piece: "1;xxxxxxxx\r\nx\r\n", Framing: 14},
		{Name: "trailers", Beginning: chunked + "0\r\n", Piece: "X: y\r\n"},
		{Name: "one event", Beginning: ok + "\r\ndata: ", Piece: "x"},
		{Name: "comments", Beginning: ok + "\r\n", Piece: ": still here\n"},
		{Name: "empty events", Beginning: ok + "\r\n", Piece: "\n"},
		{Name: "JSON string", Beginning: ok + "\r\n{\"rows\": \"", Piece: "x"},
		{Name: "JSON white space", Beginning: ok + "\r\n{", Piece: " "},
		{Name: "JSON depth", Beginning: ok + "\r\n", Piece: "["},
		{Name: "failure", Beginning: "HTTP/1.1 500 No\r\n" + headers + "\r\n", Piece: "x"},
		{Name: "refusal", Beginning: "HTTP/1.1 503 No\r\n" + headers + "\r\n", Piece: "x"},
		{Name: "refusal with a large length", Beginning: "HTTP/1.1 503 No\r\n" + headers + "Content-Length: 1000000000000\r\n\r\n", Piece: "x"},
	}
}

// Write writes until the connection is closed, and returns how many bytes went out.
func (b Bytes) Write(conn net.Conn) (written int) {
	piece := []byte(strings.Repeat(b.Piece, max(1, pieceBytes/len(b.Piece))))
	for out := []byte(b.Beginning); ; out = piece {
		AwaitTurn()
		n, err := conn.Write(out)
		if written += n; err != nil {
			return written
		}
	}
}

// boundBuffers bounds what the kernel takes of the bytes that are written to a connection and not read. The reader is in this
// process too; its socket is the one with the connection's other address.
func boundBuffers(conn net.Conn) {
	_ = conn.(*net.TCPConn).SetWriteBuffer(kernelBuffer) // On an error more goes out.
	reader := conn.RemoteAddr().(*net.TCPAddr)
	for fd := range maxDescriptors {
		address, err := unix.Getsockname(fd)
		if err != nil {
			continue
		}
		if a, ok := address.(*unix.SockaddrInet4); ok && a.Port == reader.Port && net.IP(a.Addr[:]).Equal(reader.IP) {
			_ = unix.SetsockoptInt(fd, unix.SOL_SOCKET, unix.SO_RCVBUF, kernelBuffer) // On an error more goes out.
			return
		}
	}
}

// Serve starts a server that writes the bytes to each connection until the test ends. wrote returns how many bytes went
// out at most on one connection, once all that were accepted are closed.
func (b Bytes) Serve(t testing.TB) (address string, wrote func() int) {
	t.Helper()
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	var serving, writing sync.WaitGroup
	var most atomic.Int64
	stop := sync.OnceFunc(func() { l.Close(); serving.Wait() })
	t.Cleanup(stop)
	serving.Go(func() {
		for {
			conn, err := l.Accept()
			if err != nil {
				return
			}
			writing.Go(func() {
				defer conn.Close()
				boundBuffers(conn)
				n := int64(b.Write(conn))
				for old := most.Load(); n > old && !most.CompareAndSwap(old, n); old = most.Load() {
				}
			})
		}
	})
	return l.Addr().String(), func() int {
		stop()
		writing.Wait()
		return int(most.Load())
	}
}

// AwaitTurn blocks while the heap is measured. What sends without end calls it before each write.
func AwaitTurn() {
	for ended := measuring.Load(); ended != nil; ended = measuring.Load() {
		<-*ended
	}
}

// inUse returns what a collection found in use. What is allocated while it marks counts as in use, so that it is repeated until
// the readers have read what was sent, and are at rest.
func inUse() (least int) {
	ended := make(chan struct{})
	measuring.Store(&ended)
	defer func() {
		measuring.Store(nil)
		close(ended)
	}()
	samples := []metrics.Sample{{Name: "/gc/heap/allocs:bytes"}, {Name: "/gc/heap/live:bytes"}}
	least = math.MaxInt
	for range maxCollections {
		metrics.Read(samples)
		before := samples[0].Value.Uint64()
		runtime.GC()
		metrics.Read(samples)
		least = min(least, int(samples[1].Value.Uint64()))
		if samples[0].Value.Uint64()-before < restBytes {
			break
		}
	}
	return least
}

// Held calls f and returns by how many bytes the heap in use grew at most meanwhile. Nothing else may run in the process.
func Held(f func()) (most int) {
	before, ended := inUse(), make(chan struct{})
	var sampler sync.WaitGroup
	sampler.Go(func() {
		for rest := sampleInterval; ; {
			select {
			case <-ended:
				return
			case <-time.After(rest):
				began := clock.Now()
				most = max(most, inUse()-before)
				rest = max(sampleInterval, clock.Since(began)*restShare)
			}
		}
	})
	f()
	close(ended)
	sampler.Wait()
	return most
}
