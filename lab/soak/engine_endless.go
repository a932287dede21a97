package soak

import (
	"net"
	"net/http"
	"time"

	"github.com/croftturn/croftturn/internal/testendless"
)

// endlessInterval is the time between two writes of 64 KB of a body. Faster ones take the processor from the nodes.
const endlessInterval = 10 * time.Millisecond

// pacedConn is a connection that pauses before each write.
type pacedConn struct{ net.Conn }

// Write pauses and writes.
func (c pacedConn) Write(p []byte) (int, error) {
	time.Sleep(endlessInterval)
	return c.Conn.Write(p)
}

// writeEndless writes bytes without end in place of an answer, until the node closes the connection.
func (e *engine) writeEndless(w http.ResponseWriter, id string) {
	kinds := testendless.Heads()
	bodies := e.endlessBodies.Load()
	if bodies {
		kinds = testendless.Bodies("Attempt-Id: " + id + "\r\nResponse-Seal: seal-" + id + "\r\n")
	}
	conn, _, err := http.NewResponseController(w).Hijack()
	if err != nil {
		return
	}
	defer conn.Close()
	if bodies {
		conn = pacedConn{conn}
	}
	kinds[int(e.received.Load())%len(kinds)].Write(conn)
}
