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
)

// writeEndless writes a message that never ends, until the connection is closed, and returns how many bytes went out.
func writeEndless(conn net.Conn) (written int) {
	head := binary.AppendUvarint(nil, 1<<40)
	chunk := bytes.Repeat([]byte("x"), 64<<10)
	for piece := append(head, '"'); ; piece = chunk {
		n, err := conn.Write(piece)
		if written += n; err != nil {
			return written
		}
	}
}

// TestEndlessMessageIsNotRead guards against a message of a peer without end.
func TestEndlessMessageIsNotRead(t *testing.T) {
	const bound = 32 << 20
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
	if n := writeEndless(conn); n > bound {
		t.Errorf("the server read a call of %d bytes", n)
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
		wrote <- writeEndless(conn)
	}()
	client := peer.NewClient(&peer.Traffic{})
	defer client.Close()
	ctx, cancel := context.WithTimeout(context.Background(), 5*time.Second)
	defer cancel()
	if err := client.Call(ctx, other.Addr().String(), "m", struct{}{}, nil); err == nil {
		t.Error("an endless answer is accepted")
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
