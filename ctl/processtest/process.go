package processtest

import (
	"bufio"
	"encoding/json"
	"errors"
	"os"
	"os/exec"
	"path/filepath"
	"syscall"
	"testing"
	"time"
)

const (
	// startTimeout is the longest wait for the first line of a process.
	startTimeout = 20 * time.Second
	// maxLogTail limits the part of a log that a failed test prints, in bytes.
	maxLogTail = 6 << 10
)

// Process is one running program.
type Process struct {
	t       testing.TB
	name    string
	cmd     *exec.Cmd
	logPath string
	// exited is closed when the process has exited.
	exited chan struct{}
}

// startProcess starts a program and decodes the JSON line that it prints when
// it is ready. The process is killed at the end of the test.
func startProcess(t testing.TB, name string, ready any, binary string, args ...string) *Process {
	t.Helper()
	p := &Process{t: t, name: name, cmd: exec.Command(binary, args...), exited: make(chan struct{})}
	p.logPath = filepath.Join(t.TempDir(), name+".log")
	log, err := os.Create(p.logPath)
	if err != nil {
		t.Fatal(err)
	}
	defer log.Close()
	p.cmd.Stderr = log
	p.cmd.SysProcAttr = killOnParentExit()
	out, err := p.cmd.StdoutPipe()
	if err != nil {
		t.Fatal(err)
	}
	if err := p.cmd.Start(); err != nil {
		t.Fatalf("%s: %v", name, err)
	}
	firstLine := make(chan []byte, 1)
	go func() {
		line, _ := bufio.NewReader(out).ReadBytes('\n')
		firstLine <- line
		_ = p.cmd.Wait()
		close(p.exited)
	}()
	t.Cleanup(p.cleanup)
	select {
	case first := <-firstLine:
		if err := json.Unmarshal(first, ready); err != nil {
			t.Fatalf("%s: first line %q is not the JSON message with its addresses: %v", name, first, err)
		}
	case <-time.After(startTimeout):
		t.Fatalf("%s: timed out waiting for the line with its addresses", name)
	}
	return p
}

// cleanup kills the process at the end of its test and prints its log if the
// test failed.
func (p *Process) cleanup() {
	p.Kill()
	if p.t.Failed() {
		p.t.Logf("end of the log of %s:\n%s", p.name, p.logTail())
	}
}

func (p *Process) logTail() []byte {
	log := p.log()
	return log[max(0, len(log)-maxLogTail):]
}

// log returns what the process has logged so far. A log that can't be read
// counts as empty.
func (p *Process) log() []byte {
	log, _ := os.ReadFile(p.logPath)
	return log
}

func (p *Process) signal(s syscall.Signal) {
	err := p.cmd.Process.Signal(s)
	if err != nil && !errors.Is(err, os.ErrProcessDone) {
		p.t.Errorf("%s: signal %v: %v", p.name, s, err)
	}
}

// Kill ends the process as a crash would (SIGKILL) and waits for its exit.
func (p *Process) Kill() {
	p.signal(syscall.SIGKILL)
	<-p.exited
}

// Pause suspends the process (SIGSTOP), which the process can't notice.
func (p *Process) Pause() { p.signal(syscall.SIGSTOP) }

// Resume continues a paused process (SIGCONT).
func (p *Process) Resume() { p.signal(syscall.SIGCONT) }

// Terminate requests a graceful stop (SIGTERM) and doesn't wait for it.
func (p *Process) Terminate() { p.signal(syscall.SIGTERM) }

// Exited reports whether the process has exited.
func (p *Process) Exited() bool {
	select {
	case <-p.exited:
		return true
	default:
		return false
	}
}

// ExitCode waits until the process has exited and returns its exit code, -1
// if a signal ended it.
func (p *Process) ExitCode() int {
	p.t.Helper()
	Eventually(p.t, p.name+" exits", p.Exited)
	return p.cmd.ProcessState.ExitCode()
}
