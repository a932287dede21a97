package dial_test

import (
	"bufio"
	"bytes"
	"fmt"
	"io"
	"net"
	"net/http"
	"testing"
	"time"

	"github.com/croftturn/croftturn/internal/dial"
)

const (
	// uploadBytes is more than the kernel's buffers hold.
	uploadBytes = 8 << 20

	unframedHead = "HTTP/1.1 200 OK\r\n\r\n"
)

// serve starts a server that passes each connection to handle after it has read the head of a request.
func serve(t *testing.T, handle func(conn *net.TCPConn, rest *bufio.Reader)) (url string) {
	t.Helper()
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { l.Close() })
	go func() {
		for {
			conn, err := l.Accept()
			if err != nil {
				return
			}
			go func() {
				defer conn.Close()
				rest := bufio.NewReader(conn)
				if _, err := http.ReadRequest(rest); err == nil {
					handle(conn.(*net.TCPConn), rest)
				}
			}()
		}
	}()
	return "http://" + l.Addr().String()
}

// reset resets a connection.
func reset(conn *net.TCPConn) {
	_ = conn.SetLinger(0) // An error means that it is closed.
	conn.Close()
}

// post posts a body of a size and returns the body of the answer.
func post(client *http.Client, url string, size int) (string, error) {
	req, err := http.NewRequest(http.MethodPost, url, io.NopCloser(bytes.NewReader(make([]byte, size))))
	if err != nil {
		return "", err
	}
	req.ContentLength = int64(size)
	resp, err := client.Do(req)
	if err != nil {
		return "", err
	}
	defer resp.Body.Close()
	body, err := io.ReadAll(resp.Body)
	return string(body), err
}

// TestAnswerThatBreaksWithItsUploadIsNotWhole guards against a part of an answer that counts as the whole of it: the server
// resets or closes the connection, or ends, while the request is still written, and the write learns of it.
func TestAnswerThatBreaksWithItsUploadIsNotWhole(t *testing.T) {
	for name, handle := range map[string]func(conn *net.TCPConn, rest *bufio.Reader, i int){
		"reset": func(conn *net.TCPConn, _ *bufio.Reader, i int) {
			time.Sleep(time.Duration(i%6) * time.Millisecond)
			reset(conn)
		},
		"reset as the upload goes on": func(conn *net.TCPConn, rest *bufio.Reader, i int) {
			_, _ = io.CopyN(io.Discard, rest, int64(300<<10*(i%4))) // What was not read is not missed.
			reset(conn)
		},
		"close": func(conn *net.TCPConn, _ *bufio.Reader, _ int) { conn.Close() },
		"end for writing, then close": func(conn *net.TCPConn, rest *bufio.Reader, i int) {
			_ = conn.CloseWrite() // An error shows in the test.
			_, _ = io.CopyN(io.Discard, rest, int64(300<<10*(i%4)))
			time.Sleep(2 * time.Millisecond)
		},
	} {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			const rounds = 60
			next := make(chan int, rounds)
			url := serve(t, func(conn *net.TCPConn, rest *bufio.Reader) {
				_, _ = io.WriteString(conn, unframedHead+"part") // The client may have gone.
				handle(conn, rest, <-next)
			})
			client := &http.Client{Transport: dial.NewTransport(&http.Transport{DisableKeepAlives: true})}
			whole := 0
			for i := range rounds {
				next <- i
				if body, err := post(client, url, uploadBytes); err == nil {
					whole++
					t.Logf("round %d: got %q as the whole answer", i, body)
				}
			}
			if whole > 0 {
				t.Errorf("%d of %d broken answers counted as whole", whole, rounds)
			}
		})
	}
}

// TestWholeAnswersBesideAnUploadAreTaken guards against whole answers that are refused for how their connection ends.
func TestWholeAnswersBesideAnUploadAreTaken(t *testing.T) {
	const body = "whole"
	for name, test := range map[string]struct {
		head   string
		upload int
		after  func(conn *net.TCPConn, rest *bufio.Reader) // after is what follows the answer.
	}{
		"no length, the upload read on": {unframedHead, uploadBytes, func(conn *net.TCPConn, rest *bufio.Reader) {
			_ = conn.CloseWrite()
			_, _ = io.CopyN(io.Discard, rest, uploadBytes)
		}},
		"no length, the upload read slowly": {unframedHead, uploadBytes, func(conn *net.TCPConn, rest *bufio.Reader) {
			_ = conn.CloseWrite()
			for range 8 {
				time.Sleep(10 * time.Millisecond)
				_, _ = io.CopyN(io.Discard, rest, uploadBytes/8)
			}
		}},
		"no length, a small upload": {unframedHead, 100, func(conn *net.TCPConn, rest *bufio.Reader) { _, _ = io.CopyN(io.Discard, rest, 100) }},
		"a length, then a reset": {"HTTP/1.1 200 OK\r\nContent-Length: 5\r\n\r\n", uploadBytes, func(conn *net.TCPConn, _ *bufio.Reader) {
			time.Sleep(50 * time.Millisecond)
			reset(conn)
		}},
		"chunks, then a close": {"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n", uploadBytes, func(conn *net.TCPConn, _ *bufio.Reader) { time.Sleep(50 * time.Millisecond) }},
	} {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			url := serve(t, func(conn *net.TCPConn, rest *bufio.Reader) {
				text := test.head + body
				if name == "chunks, then a close" {
					text = fmt.Sprintf("%s%x\r\n%s\r\n0\r\n\r\n", test.head, len(body), body)
				}
				_, _ = io.WriteString(conn, text)
				test.after(conn, rest)
			})
			client := &http.Client{Transport: dial.NewTransport(&http.Transport{DisableKeepAlives: true})}
			for range 20 {
				if got, err := post(client, url, test.upload); got != body || err != nil {
					t.Fatalf("got %q, %v", got, err)
				}
			}
		})
	}
}
