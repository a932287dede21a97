package soak

import (
	"bytes"
	"errors"
	"fmt"
	"io"
	"net/http"
	"os"
	"os/exec"
	"path/filepath"
	"strings"
	"sync"
	"syscall"
	"testing"
	"time"

	"golang.org/x/sys/unix"

	"github.com/croftturn/croftturn/lab/cluster"
	"github.com/croftturn/croftturn/lab/relay"
)

const (
	// endlessRun is how long a request runs that no stop can wait for.
	endlessRun = 12 * time.Second

	// lastPart is how long before the end of its grace a node may end answers.
	lastPart = stopGrace / 6
)

// ask sends a request that runs for some time to a node, and returns its answer.
func ask(t *testing.T, n *node, route, id string, work time.Duration) (status int, body string, err error) {
	t.Helper()
	req, err := newRequest(t.Context(), n.callerAddress, fmt.Sprintf("%s/%d", route, work.Milliseconds()), id, "key-1", id+":100", "body of "+id)
	if err != nil {
		return 0, "", err
	}
	req.Header.Set("Deadline-Ms", fmt.Sprint(endlessRun.Milliseconds()))
	resp, err := http.DefaultClient.Do(req)
	if err != nil {
		return 0, "", err
	}
	defer resp.Body.Close()
	text, err := io.ReadAll(resp.Body)
	return resp.StatusCode, string(text), err
}

// askWhole sends a request that runs for some time to a node, and reports an answer that is not whole.
func askWhole(t *testing.T, n *node, route, id string, work time.Duration) {
	t.Helper()
	if status, body, err := ask(t, n, route, id, work); err != nil || status != success || versionLine.ReplaceAllString(body, "") != expectedBody(route, id) {
		t.Errorf("%s got status %d, %q, %v", id, status, body, err)
	}
}

// TestStopAtOddMoments guards against answers that a stop ends before the last part of its grace, and against processes that
// have not ended by then, where the signal comes beside other things.
func TestStopAtOddMoments(t *testing.T) {
	for name, around := range map[string]func(env *Environment, n *node) (before, after error){
		"a reload before": func(_ *Environment, n *node) (before, after error) {
			return n.Signal(syscall.SIGHUP), n.Signal(syscall.SIGTERM)
		},
		"twice, and a reload": func(_ *Environment, n *node) (before, after error) {
			before = n.Signal(syscall.SIGTERM)
			time.Sleep(time.Second)
			return before, errors.Join(n.Signal(syscall.SIGTERM), n.Signal(syscall.SIGHUP))
		},
		"an evacuation": func(env *Environment, n *node) (before, after error) {
			return env.write(row{"op", "evacuate/" + hallOf(0), map[string]any{}}), n.Signal(syscall.SIGTERM)
		},
		"a process that stands still": func(_ *Environment, n *node) (before, after error) {
			before = errors.Join(n.Signal(syscall.SIGSTOP), n.Signal(syscall.SIGTERM))
			time.Sleep(900 * time.Millisecond)
			return before, n.Signal(syscall.SIGCONT)
		},
		"a process that stands still at the cut": func(_ *Environment, n *node) (before, after error) {
			before = n.Signal(syscall.SIGTERM)
			time.Sleep(stopGrace - lastPart)
			stop := n.Signal(syscall.SIGSTOP)
			time.Sleep(900 * time.Millisecond)
			return before, errors.Join(stop, n.Signal(syscall.SIGCONT))
		},
		"a store that is silent": func(env *Environment, n *node) (before, after error) {
			n.store.Set(relay.Hold)
			return nil, n.Signal(syscall.SIGTERM)
		},
	} {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			env, n := startTwoNodes(t, endlessRun)
			env.expectExit(n)
			var callers sync.WaitGroup
			var cut time.Time // cut is when the endless request ended.
			for _, route := range routes {
				callers.Go(func() { askWhole(t, n, route, longID(route), longRun) })
			}
			callers.Go(func() {
				_, _, _ = ask(t, n, routeUnsafe, "endless", endlessRun) // How it ends does not matter, but when.
				cut = time.Now()
			})
			time.Sleep(standstill / 2)
			begin := time.Now()
			if before, after := around(env, n); before != nil || after != nil {
				t.Fatal(before, after)
			}
			if err := cluster.Wait("the node has ended", stopGrace-time.Since(begin), n.Exited); err != nil {
				t.Error(err)
			}
			callers.Wait()
			if after := cut.Sub(begin); after < stopGrace-lastPart || after > stopGrace {
				t.Errorf("the endless request ended %v after the signal", after)
			}
		})
	}
}

// TestStopDuringTheStart guards against processes that do not end when the signal comes before they are ready.
func TestStopDuringTheStart(t *testing.T) {
	env, n := startTwoNodes(t, 0)
	env.expectExit(n)
	n.Kill()
	n.store.Set(relay.Hold)
	for _, after := range []time.Duration{0, 5 * time.Millisecond, 50 * time.Millisecond, 500 * time.Millisecond} {
		if err := env.launch(n); err != nil {
			t.Fatal(err)
		}
		time.Sleep(after)
		if err := n.Signal(syscall.SIGTERM); err != nil {
			t.Fatal(err)
		}
		if err := cluster.Wait(fmt.Sprint("a node that got the signal ", after, " after its start has ended"), stopGrace, n.Exited); err != nil {
			t.Error(err)
			n.Kill()
		}
	}
}

// TestStopBeforeTheFirstConfiguration guards against requests without an answer at nodes that stop before they know a configuration.
func TestStopBeforeTheFirstConfiguration(t *testing.T) {
	env, n := startTwoNodes(t, 0)
	env.expectExit(env.nodes[1])
	env.nodes[1].Kill() // It would tell the other one.
	s := signalSeries{seed: 1, restart: true, lead: time.Second, linked: 3 * time.Second, beside: []besideStop{{sendHangUp, -10 * time.Millisecond}, {sendConfig, 0}, {sendTerm, time.Second}, {sendConfig, 5 * time.Second}}}
	if err := env.stopAmidSignals(t.Context(), n, s, 0); err != nil {
		t.Fatal(err)
	}
	for _, violation := range env.ledger.Violations() {
		t.Error(violation)
	}
	before := 0
	for _, k := range env.ledger.kept {
		if k.status == unavailable && strings.Contains(k.refusal, "no_configuration") {
			before++
		}
	}
	if before == 0 {
		t.Errorf("none of %d requests came before the configuration", len(env.ledger.kept))
	}
}

// TestHangUpWhileTheSettingsAreReadDoesNotEndTheProcess guards against nodes that a reload ends while they start.
func TestHangUpWhileTheSettingsAreReadDoesNotEndTheProcess(t *testing.T) {
	env, n := startTwoNodes(t, 0)
	env.expectExit(n)
	n.Kill()
	text, err := os.ReadFile(n.settingsPath)
	if err != nil {
		t.Fatal(err)
	}
	path, output := filepath.Join(t.TempDir(), "settings"), filepath.Join(t.TempDir(), "log")
	if err := unix.Mkfifo(path, 0o600); err != nil {
		t.Fatal(err)
	}
	if n.Process, err = cluster.Launch(output, n.name, "croftturn", "edge", path); err != nil {
		t.Fatal(err)
	}
	var pipe *os.File // pipe can be opened once the process reads from it.
	if err := cluster.Wait("the process reads its settings", listenWithin, func() bool {
		pipe, err = os.OpenFile(path, os.O_WRONLY|unix.O_NONBLOCK, 0)
		return err == nil
	}); err != nil {
		t.Fatal(err)
	}
	if err := os.Rename(n.settingsPath, path); err != nil { // They are read once more for the signal.
		t.Fatal(err)
	}
	if err := n.Signal(syscall.SIGHUP); err != nil {
		t.Fatal(err)
	}
	if _, err := pipe.Write(text); err != nil {
		t.Error(err)
	}
	if err := pipe.Close(); err != nil {
		t.Error(err)
	}
	if err := cluster.Wait("the node has started and reloaded its settings", listenWithin, func() bool {
		log, err := os.ReadFile(output)
		return err == nil && bytes.Contains(log, []byte(`"settings reloaded"`)) || n.Exited()
	}); err != nil || n.Exited() {
		t.Errorf("%v, process ended: %v", err, n.Exited())
	}
}

// TestReloadDoesNotDelayAStop guards against stops that begin only once the settings are read that a signal asked for before.
func TestReloadDoesNotDelayAStop(t *testing.T) {
	env, n := startTwoNodes(t, longRun+time.Second)
	env.expectExit(n)
	pipe := filepath.Join(t.TempDir(), "settings") // Nothing is written to it, so that its reading does not end.
	if err := errors.Join(unix.Mkfifo(pipe, 0o600), os.Rename(pipe, n.settingsPath)); err != nil {
		t.Fatal(err)
	}
	var callers sync.WaitGroup
	for _, route := range routes {
		callers.Go(func() { askWhole(t, n, route, longID(route), longRun) })
	}
	time.Sleep(standstill / 2)
	if err := n.Signal(syscall.SIGHUP); err != nil {
		t.Fatal(err)
	}
	time.Sleep(standstill / 2)
	if err := n.Stop(stopGrace); err != nil {
		t.Error(err)
		n.Kill()
	}
	callers.Wait()
}

// TestHangUpIsTakenAsSoonAsSignalsAre guards against nodes that a reload ends before they read their settings.
func TestHangUpIsTakenAsSoonAsSignalsAre(t *testing.T) {
	dir, err := cluster.Build()
	if err != nil {
		t.Fatal(err)
	}
	cmd := exec.Command(filepath.Join(dir, "croftturn"), "version")
	cmd.Env = append(os.Environ(), "GODEBUG=inittrace=1")
	trace, err := cmd.CombinedOutput()
	if err != nil {
		t.Fatal(err)
	}
	_, after, _ := strings.Cut(string(trace), "init os/signal ")
	_, next, _ := strings.Cut(after, "\n")
	if !strings.HasPrefix(next, "init github.com/croftturn/croftturn/internal/hangup ") {
		next, _, _ = strings.Cut(next, "\n")
		t.Errorf("the package initialized after os/signal is another one: %q", next)
	}
}

// TestAnswersThatCameDuringAStandstillAreTaken guards against attempts that are given up as if their engines were silent, since
// the process stood still while the answers came.
func TestAnswersThatCameDuringAStandstillAreTaken(t *testing.T) {
	env, n := startTwoNodes(t, endlessRun)
	for round := range 4 {
		var callers sync.WaitGroup
		var ids []string
		for i := range callersOfEach {
			route := []string{routeSafe, routeResumable}[i%2]
			id := longID(fmt.Sprint(route, "-", round, "-", i))
			ids = append(ids, id)
			callers.Go(func() { askWhole(t, n, route, id, 300*time.Millisecond) })
		}
		time.Sleep(100 * time.Millisecond)
		if err := n.Signal(syscall.SIGSTOP); err != nil {
			t.Fatal(err)
		}
		time.Sleep(2 * standstill)
		if err := n.Signal(syscall.SIGCONT); err != nil {
			t.Fatal(err)
		}
		callers.Wait()
		env.ledger.mu.Lock()
		for _, id := range ids {
			if runs := len(env.ledger.runs[id]); runs != 1 {
				t.Errorf("%s ran %d times", id, runs)
			}
		}
		env.ledger.mu.Unlock()
	}
}
