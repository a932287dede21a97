package soak

import (
	"bufio"
	"fmt"
	"net"
	"net/http"
	"testing"
	"time"
)

const (
	// spareDescriptors is how many descriptors the node may open beyond those that it has, and idleConnections more.
	spareDescriptors = 20
	idleConnections  = 40
)

// TestRequestsAreServedBesideIdleConnections guards against a node that serves nobody, since idle connections take all
// its descriptors.
func TestRequestsAreServedBesideIdleConnections(t *testing.T) {
	_, n := startTwoNodes(t, 0)
	if err := n.LimitDescriptors(spareDescriptors); err != nil {
		t.Fatal(err)
	}
	dial := func() net.Conn {
		conn, err := net.Dial("tcp", n.callerAddress)
		if err != nil {
			t.Fatal(err)
		}
		t.Cleanup(func() { conn.Close() })
		return conn
	}
	for i := range idleConnections + len(routes) {
		id, route, conn := fmt.Sprint("beside-", i), routes[i%len(routes)], dial() // Each stays open.
		req, err := newRequest(t.Context(), n.callerAddress, route, id, "key-1", id+":100", "body of "+id)
		if err != nil {
			t.Fatal(err)
		}
		_ = conn.SetDeadline(time.Now().Add(time.Second)) // An error shows at the read.
		if err := req.Write(conn); err != nil {
			t.Fatal(err)
		}
		resp, err := http.ReadResponse(bufio.NewReader(conn), req)
		if err != nil || resp.StatusCode != success {
			t.Errorf("request %d, to %s, got %v, %v", i, route, resp, err)
			continue
		}
		resp.Body.Close()
	}
}
