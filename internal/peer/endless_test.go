package peer_test

import (
	"bytes"
	"context"
	"encoding/binary"
	"log/slog"
	"net"
	"testing"
	"time"

	"github.com/croftturn/croftturn/internal/peer"
	"github.com/croftturn/croftturn/internal/testendless"
)

// writeEndless writes a message that never ends, until the connection is closed, and returns how many bytes went out.
func writeEndless(conn net.Conn, head []byte) (written int) {
	chunk := bytes.Repeat([]byte("x"), 64<<10)
	for piece := append(head, '"'); ; piece = chunk {
		testendless.AwaitTurn()
		n, err := conn.Write(piece)
		if written += n; err != nil {
			return written
		}
	}
}

// TestEndlessMessageIsNotRead guards against a message of a peer without end.
func TestEndlessMessageIsNotRead(t *testing.T) {
	for name, head := range map[string][]byte{
		"a large length":       binary.AppendUvarint(nil, 1<<40),
		"the largest length":   binary.AppendUvarint(nil, 24<<20),
		"a length without end": bytes.Repeat([]byte{0x80}, 64),
	} {
		t.Run(name, func(t *testing.T) { endEndlessMessage(t, head) })
	}
}

// endEndlessMessage checks that a server and a client end the connection of a message that begins with a head.
func endEndlessMessage(t *testing.T, head []byte) {
	t.Helper()
	const bound, heldBound = 32 << 20, 3 * 24 << 20 // A message has up to 24 MB, and its buffer is there twice as it grows.
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	server := peer.NewServer(l, &peer.Traffic{}, slog.New(slog.DiscardHandler))
	go server.Serve()
	conn, err := net.Dial("tcp", l.Addr().String())
	if err != nil {
		t.Fatal(err)
	}
	held := testendless.Held(func() {
		if n := writeEndless(conn, head); n > bound {
			t.Errorf("the server read a call of %d bytes", n)
		}
	})
	if held > heldBound {
		t.Errorf("the server held %d bytes", held)
	}
	conn.Close()
	if err := server.Close(); err != nil {
		t.Error(err)
	}
	other, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	defer other.Close()
	wrote := make(chan int, 1)
	go func() {
		conn, err := other.Accept()
		if err != nil {
			return
		}
		defer conn.Close()
		wrote <- writeEndless(conn, head)
	}()
	client := peer.NewClient(&peer.Traffic{})
	defer client.Close()
	ctx, cancel := context.WithTimeout(context.Background(), 5*time.Second)
	defer cancel()
	held = testendless.Held(func() {
		if err := client.Call(ctx, other.Addr().String(), "m", struct{}{}, nil); err == nil {
			t.Error("an endless answer is accepted")
		}
	})
	if held > heldBound {
		t.Errorf("the client held %d bytes", held)
	}
	if n := <-wrote; n > bound {
		t.Errorf("the client read an answer of %d bytes", n)
	}
}

// TestConnectionsDuringCloseAreClosed guards against a connection that outlives Close.
func TestConnectionsDuringCloseAreClosed(t *testing.T) {
	for range 200 {
		l, err := net.Listen("tcp", "127.0.0.1:0")
		if err != nil {
			t.Fatal(err)
		}
		server := peer.NewServer(l, &peer.Traffic{}, slog.New(slog.DiscardHandler))
		served := make(chan struct{})
		go func() { defer close(served); server.Serve() }()
		go func() {
			if conn, err := net.Dial("tcp", l.Addr().String()); err == nil {
				conn.Close()
			}
		}()
		if err := server.Close(); err != nil {
			t.Error(err)
		}
		<-served
	}
}
