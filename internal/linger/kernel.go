package linger

import (
	"errors"
	"fmt"
	"syscall"

	"golang.org/x/sys/unix"
)

// States of a TCP socket, as in Linux's tcp_states.h.
const (
	tcpEstablished = 1
	tcpSynRecv     = 3
	tcpFinWait1    = 4
	tcpFinWait2    = 5
	tcpListen      = 10
)

type rawConn = syscall.RawConn

// errNoSocket means that the socket of a connection or a listener is not known.
var errNoSocket = errors.New("linger: no socket")

// rawOf returns the socket of a connection or a listener, or nil if it is not known.
func rawOf(c any) rawConn {
	socket, ok := c.(syscall.Conn)
	if !ok {
		return nil
	}
	raw, err := socket.SyscallConn()
	if err != nil {
		return nil
	}
	return raw
}

// control calls a function with the descriptor of a socket.
func control(raw rawConn, f func(fd int) error) error {
	if raw == nil {
		return errNoSocket
	}
	var inner error
	if err := raw.Control(func(fd uintptr) { inner = f(int(fd)) }); err != nil {
		return fmt.Errorf("use socket: %w", err)
	}
	return inner
}

// tcpInfo asks the kernel for the state of a socket, zero if it is closed or not known.
func tcpInfo(raw rawConn) unix.TCPInfo {
	var info unix.TCPInfo
	err := control(raw, func(fd int) error {
		i, err := unix.GetsockoptTCPInfo(fd, unix.IPPROTO_TCP, unix.TCP_INFO)
		if err == nil {
			info = *i
		}
		return err
	})
	if err != nil {
		return unix.TCPInfo{}
	}
	return info
}

// backlog returns how many connections a listener holds that were not accepted, 0 if that is not known.
func backlog(raw rawConn) int {
	if info := tcpInfo(raw); info.State == tcpListen {
		return int(info.Unacked) // Of a listener, the kernel tells the length of the backlog here.
	}
	return 0
}

// unread returns how many bytes lie unread in a connection, 0 if that is not known.
func unread(raw rawConn) int {
	n := 0
	err := control(raw, func(fd int) error {
		var err error
		n, err = unix.IoctlGetInt(fd, unix.SIOCINQ)
		return err
	})
	if err != nil {
		return 0
	}
	return n
}

// open reports whether the caller has not closed the connection.
func open(raw rawConn) bool {
	switch tcpInfo(raw).State {
	case tcpEstablished, tcpSynRecv, tcpFinWait1, tcpFinWait2:
		return true
	}
	return false
}

// halfClose closes the writing side of a connection.
func halfClose(raw rawConn) error {
	return control(raw, func(fd int) error { return unix.Shutdown(fd, unix.SHUT_WR) })
}

// refuseHandshakes makes the kernel ignore the packets that open a connection to a listener; what it holds already can
// still be accepted. Callers send theirs again, to the port without a listener.
func refuseHandshakes(raw rawConn) error {
	const flags, syn, synAck = 13, 0x02, 0x12 // The byte of the flags in a TCP header, and two of them.
	filter := []unix.SockFilter{
		{Code: unix.BPF_LD | unix.BPF_B | unix.BPF_ABS, K: flags},
		{Code: unix.BPF_ALU | unix.BPF_AND | unix.BPF_K, K: synAck},
		{Code: unix.BPF_JMP | unix.BPF_JEQ | unix.BPF_K, K: syn, Jf: 1},
		{Code: unix.BPF_RET | unix.BPF_K, K: 0},
		{Code: unix.BPF_RET | unix.BPF_K, K: 0xffff},
	}
	program := &unix.SockFprog{Len: uint16(len(filter)), Filter: &filter[0]}
	return control(raw, func(fd int) error {
		return unix.SetsockoptSockFprog(fd, unix.SOL_SOCKET, unix.SO_ATTACH_FILTER, program)
	})
}
