package cluster

import (
	"net"
	"os/exec"
	"strings"
	"syscall"
	"testing"
	"time"

	"github.com/croftturn/croftturn/internal/testport"
)

// TestAProcessThatEndsIsNotWaitedFor holds that the cause is told at once where a stand-in
// can't listen.
func TestAProcessThatEndsIsNotWaitedFor(t *testing.T) {
	taken, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { taken.Close() })
	c := &Cluster{opts: Options{Dir: t.TempDir()}}
	p, err := c.launch("engine", "lab", "engine", "-name", "e1", "-listen", taken.Addr().String(), "-log", c.path("executions.log"))
	if err != nil {
		t.Fatal(err)
	}
	<-p.done
	begin := time.Now()
	if err := waitListening(p, "127.0.0.1:1"); err == nil || !strings.Contains(err.Error(), "engine has ended") || time.Since(begin) > time.Second {
		t.Errorf("after %v: %v, want that the engine has ended", time.Since(begin), err)
	}
}

// TestFrozenProcessHasStopped guards against a process that still answers after Signal has returned.
func TestFrozenProcessHasStopped(t *testing.T) {
	c := &Cluster{opts: Options{Dir: t.TempDir()}}
	address, err := testport.Address()
	if err != nil {
		t.Fatal(err)
	}
	p, err := c.launch("engine", "lab", "engine", "-name", "e1", "-listen", address, "-log", c.path("executions.log"))
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(p.Kill)
	if err := waitListening(p, address); err != nil {
		t.Fatal(err)
	}
	for i := range 100 {
		if err := p.Signal(syscall.SIGSTOP); err != nil || !p.stopped() {
			t.Fatalf("round %d: %v, stopped: %v", i, err, p.stopped())
		}
		if err := p.Signal(syscall.SIGCONT); err != nil {
			t.Fatal(err)
		}
	}
}

// TestProcessHasEndedBeforeItIsWaitedFor guards against processes that count as late since this one learned late of their exit, and
// against running ones that count as ended.
func TestProcessHasEndedBeforeItIsWaitedFor(t *testing.T) {
	p := &Process{cmd: exec.Command("sleep", "0.3"), done: make(chan struct{})}
	if err := p.cmd.Start(); err != nil {
		t.Fatal(err)
	}
	if p.ended() {
		t.Error("a running process has ended")
	}
	if err := Wait("a process that nothing has waited for has ended", 10*time.Second, p.ended); err != nil || p.Exited() {
		t.Error(err, p.Exited())
	}
	if err := p.cmd.Wait(); err != nil {
		t.Error(err)
	}
}
