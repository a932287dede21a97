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
	first     int             // first is the block's first port; 0 until a block is claimed.
	listener  net.Listener    // listener prevents other processes from claiming the block.
	allocated int             // allocated counts the allocated ports.
	reserved  map[string]bool // reserved holds the addresses that are not allocated again.
}

// Address returns a loopback address with a free port, for TCP or UDP. Ports repeat only
// after all of this process's block were allocated.
func Address() (string, error) { return processBlock.next() }

// Reserve returns an address as Address does. Until release is called, neither function returns it
// again, so that a fake can close its listener there and listen again later.
func Reserve() (address string, release func(), err error) { return processBlock.reserve() }

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

// reserve allocates an address that is not allocated again before release.
func (b *portBlock) reserve() (address string, release func(), err error) {
	b.mu.Lock()
	defer b.mu.Unlock()
	if address, err = b.allocate(); err != nil {
		return "", nil, err
	}
	if b.reserved == nil {
		b.reserved = map[string]bool{}
	}
	b.reserved[address] = true
	return address, func() {
		b.mu.Lock()
		defer b.mu.Unlock()
		delete(b.reserved, address)
	}, nil
}

// next returns the address of the next free port, claiming a block on first use.
func (b *portBlock) next() (string, error) {
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.allocate()
}

// allocate is next for a caller that holds b.mu.
func (b *portBlock) allocate() (string, error) {
	if b.listener == nil {
		if err := b.claim(); err != nil {
			return "", err
		}
	}
	for range portsPerBlock {
		b.allocated++
		address := loopback(b.first + 1 + b.allocated%(portsPerBlock-1))
		if b.reserved[address] {
			continue
		}
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
