// Package hangup receives SIGHUP from its initialization until the process exits. The signal would end the process otherwise,
// also one that gets little processor time and has not come to the function main yet, or has only its exit left. Packages are
// initialized in the order of their import paths, so this one comes before all larger ones as long as it imports nothing but
// packages of the standard library.
package hangup

import (
	"os"
	"os/signal"
	"syscall"
)

// received receives a value after each SIGHUP. Signals that come before it is read count once.
var received = notify()

// notify returns a channel that receives each SIGHUP.
func notify() <-chan os.Signal {
	c := make(chan os.Signal, 1)
	signal.Notify(c, syscall.SIGHUP)
	return c
}

// Received returns a channel that receives a value after each SIGHUP of the process.
func Received() <-chan os.Signal { return received }
