package dial_test

import (
	"errors"
	"io"
	"net"
	"testing"
	"time"

	"github.com/croftturn/croftturn/internal/dial"
)

// TestWriteAfterAStandstillIsAskedAgain guards against a request that is written though its caller left while the
// process stood still between the question and the write.
func TestWriteAfterAStandstillIsAskedAgain(t *testing.T) {
	client, server := net.Pipe()
	defer server.Close()
	conn, left, asked := dial.NewRequestConn(client), errors.New("left"), 0
	_, end := conn.Begin(dial.Hooks{MayWrite: func(_ time.Time, first bool) error {
		if asked++; asked > 1 || !first {
			return left
		}
		time.Sleep(20 * time.Millisecond)
		return nil
	}})
	sent := make(chan []byte)
	go func() {
		all, _ := io.ReadAll(server) // It ends when the connection is closed.
		sent <- all
	}()
	if n, err := conn.Write([]byte("request")); n != 0 || !errors.Is(err, left) || conn.Writes() != 0 {
		t.Errorf("%d bytes were written, %v; %d writes", n, err, conn.Writes())
	}
	end()
	conn.Close()
	if all := <-sent; len(all) > 0 {
		t.Errorf("%q was sent", all)
	}
}
