package soak

import (
	"context"
	"fmt"
	"math/rand/v2"
	"net"
	"sync"
	"time"

	"golang.org/x/sys/unix"

	"github.com/croftturn/croftturn/internal/pause"
)

const (
	// restingCallers is how many callers of a node that stops rest until about when it closes their connections, which is from
	// crossFrom after the SIGTERM on, for crossSpan.
	restingCallers = 8
	crossFrom      = 6 * time.Second
	crossSpan      = 2 * time.Second

	// crossPatience is how long they wait for an answer, or for the end of the connection; shorter than their deadline.
	crossPatience = 2 * time.Second

	// crossSeed tells the draws of these callers from those of others.
	crossSeed = 7
)

// crossCloses starts callers that each send a request before the SIGTERM of their node, and another over the same connection about
// when the node closes it. The packets that close it are lost, as on a full link.
func (env *Environment) crossCloses(ctx context.Context, others *sync.WaitGroup, n *node, signal time.Time, seed uint64) {
	for i := range restingCallers {
		c := &keptCaller{env: env, fault: faultStarved, node: n.name, name: fmt.Sprintf("resting-%s-%d-%d", n.name, time.Now().UnixMicro(), i), rand: rand.New(rand.NewPCG(seed+uint64(i), crossSeed))}
		others.Go(func() { c.crossClose(ctx, signal, n.callerAddress) })
	}
}

// crossClose sends the two requests of a resting caller.
func (c *keptCaller) crossClose(ctx context.Context, signal time.Time, address string) {
	defer c.hangUp()
	if !c.connect(address) {
		return
	}
	if err := loseCloses(c.conn); err != nil {
		c.env.ledger.recordExit(err.Error())
		return
	}
	c.send(ctx, address)
	pause.For(ctx, time.Until(signal.Add(crossFrom+time.Duration(c.rand.Int64N(int64(crossSpan))))))
	if c.conn != nil && ctx.Err() == nil {
		_ = c.conn.SetReadDeadline(time.Now().Add(crossPatience)) // An error shows at the read.
		c.send(ctx, address)
	}
}

// loseCloses makes the kernel drop the packets with which the other side closes a connection, unless they bring data. A reset
// still arrives.
func loseCloses(c net.Conn) error {
	const offset, flags, fin = 12, 13, 0x01 // The bytes of the header's length and of the flags in a TCP header, and one of these.
	filter := []unix.SockFilter{
		{Code: unix.BPF_LD | unix.BPF_B | unix.BPF_ABS, K: flags},
		{Code: unix.BPF_JMP | unix.BPF_JSET | unix.BPF_K, K: fin, Jf: 7},
		{Code: unix.BPF_LD | unix.BPF_B | unix.BPF_ABS, K: offset},
		{Code: unix.BPF_ALU | unix.BPF_RSH | unix.BPF_K, K: 2},
		{Code: unix.BPF_ALU | unix.BPF_AND | unix.BPF_K, K: 0x3c}, // The header's length in bytes.
		{Code: unix.BPF_MISC | unix.BPF_TAX},
		{Code: unix.BPF_LD | unix.BPF_W | unix.BPF_LEN},
		{Code: unix.BPF_JMP | unix.BPF_JEQ | unix.BPF_X, Jf: 1},
		{Code: unix.BPF_RET | unix.BPF_K, K: 0},
		{Code: unix.BPF_RET | unix.BPF_K, K: 0xffff},
	}
	program := &unix.SockFprog{Len: uint16(len(filter)), Filter: &filter[0]}
	raw, err := c.(*net.TCPConn).SyscallConn()
	if err != nil {
		return fmt.Errorf("use socket: %w", err)
	}
	var inner error
	if err := raw.Control(func(fd uintptr) {
		inner = unix.SetsockoptSockFprog(int(fd), unix.SOL_SOCKET, unix.SO_ATTACH_FILTER, program)
	}); err != nil {
		return fmt.Errorf("use socket: %w", err)
	}
	if inner != nil {
		return fmt.Errorf("attach filter: %w", inner)
	}
	return nil
}
