package cluster

import (
	"bytes"
	"fmt"
	"net"
	"os"
	"os/exec"
	"path/filepath"
	"strings"
	"syscall"
	"time"

	"golang.org/x/sys/unix"

	"github.com/croftturn/croftturn/internal/testport"
)

// stopTimeout bounds the wait for a process to stop after SIGSTOP, and to end after SIGQUIT.
const stopTimeout = time.Second

// lookFor is how long before its time is up it is looked whether a process has ended, every lookInterval.
const (
	lookFor      = 100 * time.Millisecond
	lookInterval = 5 * time.Millisecond
)

// Build builds the programs once for this process and returns their folder.
func Build() (string, error) {
	buildOnce.Do(func() {
		if buildDir = os.Getenv("CROFTTURN_BIN"); buildDir != "" {
			return
		}
		if buildDir, buildErr = os.MkdirTemp("", "croftturn-bin"); buildErr != nil {
			return
		}
		cmd := exec.Command("go", "build", "-o", buildDir+"/", "github.com/croftturn/croftturn/cmd/...", "github.com/croftturn/croftturn/lab")
		if out, err := cmd.CombinedOutput(); err != nil {
			buildErr = fmt.Errorf("build: %w: %s", err, out)
		}
	})
	return buildDir, buildErr
}

// launch starts a program of the cluster and collects its exit.
func (c *Cluster) launch(name, program string, args ...string) (*Process, error) {
	return Launch(c.path(name+".out"), name, program, args...)
}

// Launch starts a program whose output is added to a file, and collects its exit. A
// program without a path is one of this repository's.
func Launch(output, name, program string, args ...string) (*Process, error) {
	if !filepath.IsAbs(program) {
		dir, err := Build()
		if err != nil {
			return nil, err
		}
		program = filepath.Join(dir, program)
	}
	out, err := os.OpenFile(output, os.O_CREATE|os.O_APPEND|os.O_WRONLY, 0o644)
	if err != nil {
		return nil, fmt.Errorf("open output: %w", err)
	}
	defer out.Close()
	cmd := exec.Command(program, args...)
	cmd.Stdout, cmd.Stderr = out, out
	cmd.SysProcAttr = &syscall.SysProcAttr{Pdeathsig: syscall.SIGKILL}
	p := &Process{Name: name, cmd: cmd, done: make(chan struct{})}
	if err := cmd.Start(); err != nil {
		return nil, fmt.Errorf("start %s: %w", name, err)
	}
	go func() {
		p.err = cmd.Wait()
		close(p.done)
	}()
	return p, nil
}

// FreeAddress returns a loopback address whose port is free.
func FreeAddress() (string, error) { return testport.Address() }

// waitListening waits until something listens at the address of a process, and fails at
// once where the process has ended.
func waitListening(p *Process, address string) error {
	for end := time.Now().Add(readyTimeout); time.Now().Before(end); time.Sleep(10 * time.Millisecond) {
		if p.Exited() {
			return fmt.Errorf("%s has ended instead of listening at %s: %w", p.Name, address, p.err)
		}
		conn, err := net.DialTimeout("tcp", address, time.Second)
		if err == nil {
			conn.Close()
			return nil
		}
	}
	return fmt.Errorf("nothing listens at %s, though %s runs", address, p.Name)
}

// Wait waits for an event that a condition tells of; it fails after a while.
func Wait(what string, within time.Duration, condition func() bool) error {
	for end := time.Now().Add(within); ; time.Sleep(10 * time.Millisecond) {
		if condition() {
			return nil
		}
		if time.Now().After(end) {
			return fmt.Errorf("not within %v: %s", within, what)
		}
	}
}

// Signal sends a signal to a process. After SIGSTOP it waits until all threads have stopped; the kernel stops them
// some milliseconds later.
func (p *Process) Signal(sig syscall.Signal) error {
	if err := p.cmd.Process.Signal(sig); err != nil {
		return fmt.Errorf("signal %s: %w", p.Name, err)
	}
	switch sig {
	case syscall.SIGSTOP:
		p.frozen.Store(true)
		return Wait(p.Name+" has stopped", stopTimeout, func() bool { return p.Exited() || p.stopped() })
	case syscall.SIGCONT:
		p.frozen.Store(false)
	}
	return nil
}

// stopped reports whether all threads of the process are stopped.
func (p *Process) stopped() bool {
	paths, _ := filepath.Glob(fmt.Sprintf("/proc/%d/task/*/stat", p.cmd.Process.Pid)) // The pattern is valid.
	for _, path := range paths {
		stat, err := os.ReadFile(path)
		state := stat[bytes.LastIndexByte(stat, ')')+1:]
		if err == nil && !bytes.HasPrefix(state, []byte(" T")) {
			return false
		}
	}
	return true
}

// ended reports whether no thread of the process is left. On a busy machine it may take some tenths of a second more until this
// process learns of its exit.
func (p *Process) ended() bool {
	dir := fmt.Sprintf("/proc/%d", p.cmd.Process.Pid)
	stat, err := os.ReadFile(dir + "/stat")
	threads, listErr := os.ReadDir(dir + "/task")
	if err != nil || listErr != nil {
		return p.Exited()
	}
	return len(threads) == 1 && bytes.HasPrefix(stat[bytes.LastIndexByte(stat, ')')+1:], []byte(" Z"))
}

// LimitDescriptors lets a process open some descriptors beyond those that it has.
func (p *Process) LimitDescriptors(more int) error {
	pid := p.cmd.Process.Pid
	open, err := os.ReadDir(fmt.Sprintf("/proc/%d/fd", pid))
	if err != nil {
		return fmt.Errorf("count descriptors of %s: %w", p.Name, err)
	}
	limit := uint64(len(open) + more)
	if err := unix.Prlimit(pid, unix.RLIMIT_NOFILE, &unix.Rlimit{Cur: limit, Max: limit}, nil); err != nil {
		return fmt.Errorf("limit descriptors of %s: %w", p.Name, err)
	}
	return nil
}

// PeakMemory returns the most memory that a process has had resident, in bytes.
func (p *Process) PeakMemory() (int64, error) {
	status, err := os.ReadFile(fmt.Sprintf("/proc/%d/status", p.cmd.Process.Pid))
	if err != nil {
		return 0, fmt.Errorf("read the memory of %s: %w", p.Name, err)
	}
	_, rest, _ := strings.Cut(string(status), "VmHWM:")
	var kilobytes int64
	if _, err := fmt.Sscan(rest, &kilobytes); err != nil {
		return 0, fmt.Errorf("read the memory of %s: %w", p.Name, err)
	}
	return kilobytes << 10, nil
}

// Frozen reports whether a process was stopped and not yet continued.
func (p *Process) Frozen() bool { return p.frozen.Load() }

// Kill ends a process at once and waits for it.
func (p *Process) Kill() {
	p.cmd.Process.Kill()
	<-p.done
}

// Stop asks a process to stop and returns how it exited. One that takes longer is made to print its stacks.
func (p *Process) Stop(within time.Duration) error {
	begin := time.Now()
	if err := p.Signal(syscall.SIGTERM); err != nil {
		return err
	}
	select {
	case <-p.done:
		return p.err
	case <-time.After(within - lookFor):
	}
	for time.Since(begin) < within {
		if p.ended() && time.Since(begin) < within {
			<-p.done
		}
		select {
		case <-p.done:
			return p.err
		case <-time.After(lookInterval):
		}
	}
	_ = p.Signal(syscall.SIGQUIT) // It may have ended. If not, its output tells what it waited for.
	late := time.Now()
	select {
	case <-p.done:
		return fmt.Errorf("%s did not stop within %v, but %v later: %v", p.Name, within, time.Since(late), p.err)
	case <-time.After(stopTimeout):
		return fmt.Errorf("%s did not stop within %v", p.Name, within)
	}
}

// Exited reports whether a process has ended.
func (p *Process) Exited() bool {
	select {
	case <-p.done:
		return true
	default:
		return false
	}
}
