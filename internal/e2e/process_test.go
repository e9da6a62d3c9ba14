package e2e

import (
	"fmt"
	"os"
	"os/exec"
	"strings"
	"sync"
	"syscall"
	"testing"
	"time"
)

// process is a host that runs as a process of the binary and can be restarted.
type process struct {
	t        *testing.T
	name     string
	domain   string
	http     string
	settings string
	logPath  string

	mu   sync.Mutex
	cmd  *exec.Cmd
	done chan struct{} // closed when the process has exited
	err  error         // exit status, valid after done is closed
}

// logTailLines is the number of lines of each log that are printed on failure.
const logTailLines = 40

// logTail returns the last lines of a log without those of level DEBUG.
func logTail(path string) string {
	data, err := os.ReadFile(path)
	if err != nil {
		return err.Error()
	}
	var lines []string
	for _, line := range strings.Split(strings.TrimSpace(string(data)), "\n") {
		if !strings.Contains(line, `"level":"DEBUG"`) {
			lines = append(lines, line)
		}
	}
	return strings.Join(lines[max(0, len(lines)-logTailLines):], "\n")
}

func (p *process) start() {
	p.t.Helper()
	log, err := os.OpenFile(p.logPath, os.O_CREATE|os.O_APPEND|os.O_WRONLY, 0o600)
	if err != nil {
		p.t.Fatal(err)
	}
	defer log.Close()
	cmd := exec.Command(binary, "run", "--settings", p.settings)
	cmd.Stdout, cmd.Stderr = log, log
	if err := cmd.Start(); err != nil {
		p.t.Fatal(err)
	}
	done := make(chan struct{})
	p.mu.Lock()
	p.cmd, p.done = cmd, done
	p.mu.Unlock()
	go func() {
		err := cmd.Wait()
		p.mu.Lock()
		p.err = err
		p.mu.Unlock()
		close(done)
	}()
}

func (p *process) signal(s syscall.Signal) {
	p.t.Helper()
	if err := p.cmd.Process.Signal(s); err != nil {
		p.t.Errorf("signal %v to %s: %v", s, p.name, err)
	}
}

// kill sends SIGKILL to the process, if it was started, and waits for its exit.
func (p *process) kill() {
	if p.cmd == nil {
		return
	}
	_ = p.cmd.Process.Kill()
	<-p.done
}

// awaitExit waits for the process to exit and returns its error, or an error after limit.
func (p *process) awaitExit(limit time.Duration) error {
	select {
	case <-p.done:
		p.mu.Lock()
		defer p.mu.Unlock()
		return p.err
	case <-time.After(limit):
		return fmt.Errorf("%s has not exited after %s", p.name, limit)
	}
}
