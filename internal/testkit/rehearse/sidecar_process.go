package rehearse

import (
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"net"
	"net/http"
	"os"
	"os/exec"
	"path/filepath"
	"strings"
	"sync"
	"syscall"
	"time"

	"tuliprock/internal/testkit/fake"
	"tuliprock/internal/testkit/invariant"
)

const (
	readyTimeout      = 30 * time.Second       // as the platform waits
	readyPollInterval = 10 * time.Millisecond  // between two looks at a sidecar's health
	termGrace         = 700 * time.Millisecond // after SIGTERM, for which what comes must still be answered
	maxLogTail        = 2000                   // bytes of a sidecar's log that an error quotes
)

// sidecarProcess is a sidecar: a real process, ended and started again under its name and address.
type sidecarProcess struct {
	name          string
	addr          string
	agent         *fake.Agent
	recorder      *fake.Recorder
	workDir       string
	command       func() *exec.Cmd
	settings      json.RawMessage
	operatorsFile func(seed uint64) string // an operators' file in place of what the platform tells; nil: none
	env           []string                 // on top of the rehearsal's own
	day           *Day
	nextSeed      func() uint64
	onCrash       func(*sidecarProcess)

	mu             sync.Mutex
	cmd            *exec.Cmd
	exited         chan struct{} // of the present life; closed when it has ended
	isExitExpected bool          // its end was asked for
	peakMemoryMB   float64       // the most memory of any life that was ended, in MB; 0 where the system does not tell
	isStopped      bool          // for good
}

// freeLoopbackAddr finds a port that is free on a loopback address of the sidecar's own. On its own address no connection that
// leaves this machine's callers can take the port while the sidecar is down.
func freeLoopbackAddr(i int) (string, error) {
	host := fmt.Sprintf("127.%d.%d.%d", 64+os.Getpid()%64, 1+i/200, 1+i%200)
	l, err := net.Listen("tcp", host+":0")
	if err != nil { // a machine with no more of the loopback network than its first address
		if l, err = net.Listen("tcp", "127.0.0.1:0"); err != nil {
			return "", err
		}
	}
	defer l.Close()
	return l.Addr().String(), nil
}

// routerConfig is what the platform would put where ROUTER_CONFIG points.
func (p *sidecarProcess) routerConfig(known fake.MemberList) ([]byte, error) {
	return json.Marshal(map[string]any{
		"name": p.name, "listen": p.addr, "discovery": p.agent.Addr, "seed": fmt.Sprintf("%016x", p.nextSeed()),
		"limits":   map[string]any{"cores": p.day.Sidecars.Cores, "memory_mb": p.day.Sidecars.MemoryMB, "sockets": p.day.Sidecars.Sockets},
		"known":    known,
		"settings": p.settings,
	})
}

// newCommand is the command of a life, and what that is told.
func (p *sidecarProcess) newCommand(known fake.MemberList) (*exec.Cmd, error) {
	cmd := p.command()
	cmd.Env = append(cmd.Environ(), p.env...)
	if p.operatorsFile != nil {
		path := filepath.Join(p.workDir, p.name+".toml")
		cmd.Args = append(cmd.Args, "serve", "--config", path)
		return cmd, os.WriteFile(path, []byte(p.operatorsFile(p.nextSeed())), 0o600)
	}
	text, err := p.routerConfig(known)
	if err != nil {
		return nil, err
	}
	path := filepath.Join(p.workDir, p.name+".json")
	cmd.Env = append(cmd.Environ(), "ROUTER_CONFIG="+path, "ROUTER_NAME="+p.name, "ROUTER_LISTEN="+p.addr, "ROUTER_DISCOVERY="+p.agent.Addr)
	return cmd, os.WriteFile(path, text, 0o600)
}

// start runs the program with the list that it was last told, and nothing else of its former life.
func (p *sidecarProcess) start() error {
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.isStopped || p.cmd != nil {
		return nil
	}
	known := p.agent.NotifiedList()
	cmd, err := p.newCommand(known)
	if err != nil {
		return err
	}
	log, err := os.OpenFile(filepath.Join(p.workDir, p.name+".log"), os.O_CREATE|os.O_APPEND|os.O_WRONLY, 0o600)
	if err != nil {
		return err
	}
	defer func() { _ = log.Close() }() // nothing was written by way of it: the process has a descriptor of its own
	cmd.Stdout, cmd.Stderr = log, log
	cmd.SysProcAttr = &syscall.SysProcAttr{Setpgid: true} // an interrupt at the terminal is ours to pass on
	p.recorder.Add(invariant.Event{Kind: invariant.Up, Sidecar: p.name})
	for _, m := range known.Servers {
		p.recorder.Add(fake.NotificationEvent(p.name, m, p.recorder))
	}
	if err := cmd.Start(); err != nil {
		return fmt.Errorf("%s: %w", p.name, err)
	}
	p.cmd, p.exited, p.isExitExpected = cmd, make(chan struct{}), false
	go p.awaitExit(cmd, p.exited)
	return nil
}

// awaitExit notices the end of a life.
func (p *sidecarProcess) awaitExit(cmd *exec.Cmd, ended chan struct{}) {
	_ = cmd.Wait()
	p.mu.Lock()
	crash := !p.isExitExpected
	p.cmd = nil
	p.mu.Unlock()
	p.recorder.Add(invariant.Event{Kind: invariant.Exited, Sidecar: p.name, Crash: crash})
	close(ended)
	if crash {
		p.onCrash(p)
	}
}

// signal sends one to the present life, and gives what closes at its end; nil if there is none.
func (p *sidecarProcess) signal(s syscall.Signal, kind invariant.Kind) <-chan struct{} {
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.cmd == nil {
		return nil
	}
	p.isExitExpected = true
	p.peakMemoryMB = max(p.peakMemoryMB, peakResidentMB(p.cmd.Process.Pid))
	p.recorder.Add(invariant.Event{Kind: kind, Sidecar: p.name})
	_ = p.cmd.Process.Signal(s)
	return p.exited
}

// peakResidentMB is the most memory that a process has had resident, in MB. What the system tells of ended children won't do: it
// counts what their parent had when it made them.
func peakResidentMB(pid int) float64 {
	text, err := os.ReadFile(fmt.Sprintf("/proc/%d/status", pid))
	if err != nil {
		return 0
	}
	_, after, _ := strings.Cut(string(text), "VmHWM:")
	var kb float64
	if _, err := fmt.Sscan(after, &kb); err != nil {
		return 0
	}
	return kb / 1024
}

// pause stops the process for a while, and wakes it.
func (p *sidecarProcess) pause(ctx context.Context, d time.Duration) {
	p.mu.Lock()
	if p.cmd == nil {
		p.mu.Unlock()
		return
	}
	it, ended := p.cmd.Process, p.exited
	_ = it.Signal(syscall.SIGSTOP)
	p.recorder.Add(invariant.Event{Kind: invariant.Paused, Sidecar: p.name}) // what comes of it comes later
	p.mu.Unlock()
	began := time.Now()
	sleep(ctx, d)
	p.recorder.Add(invariant.Event{Kind: invariant.Resumed, Sidecar: p.name, For: time.Since(began)})
	select {
	case <-ended: // it was killed meanwhile
	default:
		_ = it.Signal(syscall.SIGCONT)
	}
}

// kill ends the process outright and waits for its end.
func (p *sidecarProcess) kill() {
	if ended := p.signal(syscall.SIGKILL, invariant.Killed); ended != nil {
		<-ended
	}
}

// terminate ends it as a planned restart does: SIGTERM, and SIGKILL once the longest deadline and a little more are over.
func (p *sidecarProcess) terminate(patience time.Duration) {
	ended := p.signal(syscall.SIGTERM, invariant.TermSent)
	if ended == nil {
		return
	}
	select {
	case <-ended:
	case <-time.After(patience):
		p.kill()
	}
}

// stop ends the process for good.
func (p *sidecarProcess) stop() {
	p.mu.Lock()
	p.isStopped = true
	p.mu.Unlock()
	p.kill()
}

// awaitReady waits until the sidecar answers for its health.
func (p *sidecarProcess) awaitReady(ctx context.Context) error {
	ctx, cancel := context.WithTimeout(ctx, readyTimeout)
	defer cancel()
	client := http.Client{Timeout: time.Second, Transport: &http.Transport{DisableKeepAlives: true}}
	for {
		p.mu.Lock()
		down := p.cmd == nil
		p.mu.Unlock()
		if down {
			return fmt.Errorf("%s ended before it was ready: %s", p.name, p.lastLogLine())
		}
		if resp, err := client.Get("http://" + p.addr + "/_health"); err == nil {
			resp.Body.Close()
			if resp.StatusCode == http.StatusOK {
				return nil
			}
		}
		if !sleep(ctx, readyPollInterval) {
			if errors.Is(ctx.Err(), context.DeadlineExceeded) {
				return fmt.Errorf("%s is not ready after %v: %s", p.name, readyTimeout, p.lastLogLine())
			}
			return ctx.Err()
		}
	}
}

// lastLogLine is the end of the sidecar's log, on one line.
func (p *sidecarProcess) lastLogLine() string {
	text, err := os.ReadFile(filepath.Join(p.workDir, p.name+".log"))
	if err != nil {
		return err.Error()
	}
	text = text[max(len(text)-maxLogTail, 0):]
	lines := strings.Split(strings.TrimSpace(string(text)), "\n")
	return lines[len(lines)-1]
}

func sleep(ctx context.Context, d time.Duration) bool {
	t := time.NewTimer(d)
	defer t.Stop()
	select {
	case <-ctx.Done():
		return false
	case <-t.C:
		return true
	}
}
