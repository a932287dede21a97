// Package testport allocates unused loopback addresses for tests and their fakes. It must
// not be used elsewhere.
package testport

import (
	"fmt"
	"net"
	"os"
	"sync"
)

// Ports are allocated below the system's ephemeral range, so that none is taken by an outgoing
// connection or a listener on port 0 between allocation and use. Concurrent test processes use
// separate blocks; each listens on the first port of its block for its lifetime. Two processes
// with the same block start nodes that fail to listen or that talk to each other's fakes.
const (
	firstPort     = 10000
	portsPerBlock = 400
	portBlocks    = 50
)

// processBlock is this process's block of ports.
var processBlock portBlock

// portBlock allocates ports from a block that belongs to one process.
type portBlock struct {
	mu        sync.Mutex
	first     int          // first is the block's first port; 0 until a block is claimed.
	listener  net.Listener // listener prevents other processes from claiming the block.
	allocated int          // allocated counts the allocated ports.
}

// Address returns a loopback address with a free port, for TCP or UDP. Ports repeat only
// after all of this process's block were allocated.
func Address() (string, error) { return processBlock.next() }

// claim reserves the first free block; the caller holds b.mu.
func (b *portBlock) claim() error {
	for i := range portBlocks {
		first := firstPort + (os.Getpid()+i)%portBlocks*portsPerBlock
		held, err := net.Listen("tcp", loopback(first))
		if err != nil {
			continue // Another process holds the block.
		}
		b.first, b.listener = first, held
		return nil
	}
	return fmt.Errorf("no block of ports is free, of %d", portBlocks)
}

// next returns the address of the next free port, claiming a block on first use.
func (b *portBlock) next() (string, error) {
	b.mu.Lock()
	defer b.mu.Unlock()
	if b.listener == nil {
		if err := b.claim(); err != nil {
			return "", err
		}
	}
	for range portsPerBlock {
		b.allocated++
		address := loopback(b.first + 1 + b.allocated%(portsPerBlock-1))
		l, err := net.Listen("tcp", address)
		if err != nil {
			continue
		}
		if err := l.Close(); err != nil {
			return "", fmt.Errorf("free a port: %w", err)
		}
		return address, nil
	}
	return "", fmt.Errorf("no port is free among the %d from %d", portsPerBlock, b.first)
}

// loopback returns the loopback address of a port.
func loopback(port int) string { return fmt.Sprintf("127.0.0.1:%d", port) }
