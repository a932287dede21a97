package soak

import (
	"context"
	"fmt"
	"io"
	"math/rand/v2"
	"net"
	"sync"
	"syscall"
	"time"

	"github.com/croftturn/croftturn/internal/pause"
)

const (
	// leftWithin is how long after its caller has left, or its deadline has passed, a request may still begin to
	// run at an engine.
	leftWithin = 500 * time.Millisecond

	// leaversInterval is the mean time between two callers of a node that leave.
	leaversInterval = 8 * time.Millisecond

	// maxBehind is how many nodes are behind at once.
	maxBehind = 3
)

// dutyCycles are how long a node that is behind runs, and how long it does not, in turn.
var dutyCycles = [][2]time.Duration{{100 * time.Millisecond, 900 * time.Millisecond}, {300 * time.Millisecond, 1200 * time.Millisecond}, {12 * time.Millisecond, 88 * time.Millisecond}}

// putNodesBehind makes one or more nodes run for a part of the time only, while callers ask them and leave.
func putNodesBehind(ctx context.Context, env *Environment, r *rand.Rand, d time.Duration) error {
	var nodes sync.WaitGroup
	defer nodes.Wait()
	for range 1 + r.IntN(maxBehind) {
		n := env.reserveNode(r)
		if n == nil {
			continue
		}
		cycle, seed := dutyCycles[r.IntN(len(dutyCycles))], r.Uint64()
		nodes.Go(func() {
			defer env.releaseNode(n)
			defer env.ledger.beginOutage(n.name)()
			var leavers sync.WaitGroup
			defer leavers.Wait()
			leavers.Go(func() { env.askAndLeave(ctx, n, rand.New(rand.NewPCG(seed, 68)), d, "left") })
			for end := time.Now().Add(d); time.Now().Before(end) && ctx.Err() == nil; {
				if err := n.Signal(syscall.SIGSTOP); err != nil {
					env.ledger.recordExit(err.Error())
					return
				}
				pause.For(ctx, cycle[1])
				if err := n.Signal(syscall.SIGCONT); err != nil {
					env.ledger.recordExit(err.Error())
					return
				}
				pause.For(ctx, cycle[0])
			}
		})
	}
	return nil
}

// askAndLeave sends requests to a node whose callers leave soon.
func (env *Environment) askAndLeave(ctx context.Context, n *node, r *rand.Rand, d time.Duration, body string) {
	var leavers sync.WaitGroup
	defer leavers.Wait()
	for end := time.Now().Add(d); time.Now().Before(end) && ctx.Err() == nil; {
		id, random := fmt.Sprintf("left-%s-%d", n.name, r.Uint64()), rand.New(rand.NewPCG(r.Uint64(), 1))
		leavers.Go(func() { env.leaver(ctx, n.callerAddress, id, body, random) })
		pause.For(ctx, leaversInterval/2+time.Duration(r.Int64N(int64(leaversInterval))))
	}
}

// leaver sends one request, maybe after another on the same connection, and closes the connection or its writing
// side, resets it, or stays beyond its deadline.
func (env *Environment) leaver(ctx context.Context, address, id, body string, r *rand.Rand) {
	conn, err := (&net.Dialer{Timeout: 3 * time.Second}).DialContext(ctx, "tcp", address)
	if err != nil {
		return // The node may be down, too.
	}
	defer conn.Close()
	key, _ := env.randomKey(r)
	route, stay, how := routes[r.IntN(len(routes))], 50*time.Millisecond+time.Duration(r.Int64N(int64(350*time.Millisecond))), r.IntN(4)
	deadline := stay
	if how > 0 {
		deadline = requestTimeoutMs * time.Millisecond
	}
	if r.IntN(3) == 0 {
		fmt.Fprintf(conn, "GET /none/x HTTP/1.1\r\nHost: %s\r\nAttempt-Id: %s-before\r\n\r\n", host, id)
	}
	if _, err := io.WriteString(conn, fmt.Sprintf("POST /%s/x HTTP/1.1\r\nHost: %s\r\nAttempt-Id: %s\r\nDeadline-Ms: %d\r\nAuthorization: Bearer %s\r\nModel: m\r\nToken-Counts: 100,10\r\nPrompt-Prefix: a:50,b:50\r\nContent-Length: %d\r\n\r\n%s",
		route, host, id, deadline.Milliseconds(), key, len(body), body)); err != nil {
		return
	}
	pause.For(ctx, stay)
	if how > 0 {
		tcp := conn.(*net.TCPConn)
		switch how {
		case 1:
			_ = tcp.CloseWrite() // The node may have closed it already.
		case 2:
			_ = tcp.SetLinger(0)
		}
		if how != 1 {
			_ = conn.Close()
		}
	}
	env.ledger.recordTime(env.ledger.left, id, time.Now())
	pause.For(ctx, 2*leftWithin)
}

// runsWithoutCaller returns the runs that began after their callers had left, but for those held back on the way
// to their engine.
func (l *Ledger) runsWithoutCaller() []string {
	var cuts []interval
	for _, c := range l.cuts {
		cuts = append(cuts, c.interval)
	}
	var out []string
	for id, left := range l.left {
		for _, r := range l.runs[id] {
			from := left.Add(-leftWithin)
			if late := r.at.Sub(left); late > leftWithin && !l.hadOutage(r.engine, from, r.at) && !overlaps(cuts, from, r.at) {
				out = append(out, fmt.Sprintf("%s began to run at %s %v after its caller had left", id, r.engine, late))
			}
		}
	}
	return out
}
