package testport

import "testing"

// TestProcessesUseSeparateBlocks checks that two processes whose ids map to the same block
// don't share it. When they did, a node exited because its port was taken, or it talked to
// the other process's engine.
func TestProcessesUseSeparateBlocks(t *testing.T) {
	var a, b portBlock // They simulate two processes with the same process id.
	seen := map[string]bool{}
	for range 2 * portsPerBlock {
		for _, each := range []*portBlock{&a, &b} {
			if _, err := each.next(); err != nil {
				t.Fatal(err)
			}
		}
	}
	t.Cleanup(func() { a.listener.Close(); b.listener.Close() })
	for range portsPerBlock - 1 {
		address, err := a.next()
		if err != nil {
			t.Fatal(err)
		}
		seen[address] = true
	}
	for range portsPerBlock - 1 {
		address, err := b.next()
		if err != nil {
			t.Fatal(err)
		}
		if seen[address] {
			t.Fatalf("%s is given out to both", address)
		}
	}
}

// TestReservedAddressIsNotAllocatedAgain guards against a fake that can't listen again because its port
// was allocated while it was down.
func TestReservedAddressIsNotAllocatedAgain(t *testing.T) {
	var b portBlock
	reserved, release, err := b.reserve()
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { b.listener.Close() })
	again := func() bool {
		for range portsPerBlock {
			address, err := b.next()
			if err != nil {
				t.Fatal(err)
			}
			if address == reserved {
				return true
			}
		}
		return false
	}
	if again() {
		t.Errorf("%s is allocated again though it is reserved", reserved)
	}
	release()
	if !again() {
		t.Errorf("%s is not allocated again after its release", reserved)
	}
}
