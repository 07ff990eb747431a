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
	// startCap is the longest wait for a process's first line.
	startCap = 20 * time.Second
	// logTail is how much of a log a failed test shows, in bytes.
	logTail = 6 << 10
)

// Process is one running program.
type Process struct {
	t    testing.TB
	name string
	cmd  *exec.Cmd
	log  string
	// done is closed when the process has ended.
	done chan struct{}
}

// startProcess starts a program and decodes the JSON line that it prints when
// it is ready. It ends with the test.
func startProcess(t testing.TB, name string, ready any, binary string, args ...string) *Process {
	t.Helper()
	p := &Process{t: t, name: name, cmd: exec.Command(binary, args...), done: make(chan struct{})}
	p.log = filepath.Join(t.TempDir(), name+".log")
	log, err := os.Create(p.log)
	if err != nil {
		t.Fatal(err)
	}
	defer log.Close()
	p.cmd.Stderr = log
	p.cmd.SysProcAttr = dieWithParent()
	out, err := p.cmd.StdoutPipe()
	if err != nil {
		t.Fatal(err)
	}
	if err := p.cmd.Start(); err != nil {
		t.Fatalf("%s: %v", name, err)
	}
	line := make(chan []byte, 1)
	go func() {
		first, _ := bufio.NewReader(out).ReadBytes('\n')
		line <- first
		_ = p.cmd.Wait()
		close(p.done)
	}()
	t.Cleanup(p.finish)
	select {
	case first := <-line:
		if err := json.Unmarshal(first, ready); err != nil {
			t.Fatalf("%s printed %q instead of its addresses: %v", name, first, err)
		}
	case <-time.After(startCap):
		t.Fatalf("%s printed no addresses", name)
	}
	return p
}

// finish ends the process with its test and shows the log of a failed one.
func (p *Process) finish() {
	p.Kill()
	if p.t.Failed() {
		p.t.Logf("log of %s:\n%s", p.name, p.tail())
	}
}

func (p *Process) tail() []byte {
	log, _ := os.ReadFile(p.log)
	return log[max(0, len(log)-logTail):]
}

func (p *Process) signal(s syscall.Signal) {
	err := p.cmd.Process.Signal(s)
	if err != nil && !errors.Is(err, os.ErrProcessDone) {
		p.t.Errorf("%s: signal %v: %v", p.name, s, err)
	}
}

// Kill ends the process as a crash would and waits for its end.
func (p *Process) Kill() {
	p.signal(syscall.SIGKILL)
	<-p.done
}

// Pause pauses the process; it doesn't learn of it.
func (p *Process) Pause() { p.signal(syscall.SIGSTOP) }

// Resume lets a frozen process go on.
func (p *Process) Resume() { p.signal(syscall.SIGCONT) }

// Terminate asks for a planned stop.
func (p *Process) Terminate() { p.signal(syscall.SIGTERM) }

// Exited tells whether the process has ended.
func (p *Process) Exited() bool {
	select {
	case <-p.done:
		return true
	default:
		return false
	}
}

// ExitCode waits for the end of the process and returns its exit code, -1
// after a signal.
func (p *Process) ExitCode() int {
	p.t.Helper()
	Eventually(p.t, p.name+" ends", p.Exited)
	return p.cmd.ProcessState.ExitCode()
}
