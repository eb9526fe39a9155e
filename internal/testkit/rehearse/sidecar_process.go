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
	readyTimeout      = 30 * time.Second // as the platform waits
	readyPollInterval = 10 * time.Millisecond
	termGrace         = 700 * time.Millisecond // after SIGTERM, in which new requests must still be answered
	maxLogTail        = 2000                   // bytes of a sidecar's log of which an error quotes the last line
)

// sidecarProcess is a sidecar that runs as a real process, which can be ended and started again under its name and address.
// Its methods are safe for concurrent use. While a process runs, a goroutine waits for its exit.
type sidecarProcess struct {
	name          string
	addr          string
	agent         *fake.Agent
	recorder      *fake.Recorder
	workDir       string
	command       func() *exec.Cmd
	settings      json.RawMessage
	operatorsFile func(seed uint64) string // in place of the platform's configuration; nil: none
	env           []string                 // added to the environment of the rehearsal
	day           *Day
	nextSeed      func() uint64 // of each incarnation; called with mu held
	onCrash       func(*sidecarProcess)

	mu             sync.Mutex
	cmd            *exec.Cmd     // nil: no process runs
	exited         chan struct{} // of the present process; closed after its exit
	isExitExpected bool
	peakMemoryMB   float64 // of all processes that were ended; 0 where the system does not state it
	isStopped      bool    // no process is started any more
}

// freeLoopbackAddr finds a free port on a loopback address that depends on i. On an address of its own no outgoing
// connection of this machine can take the port while the sidecar is down.
func freeLoopbackAddr(i int) (string, error) {
	host := fmt.Sprintf("127.%d.%d.%d", 64+os.Getpid()%64, 1+i/200, 1+i%200)
	listener, err := net.Listen("tcp", host+":0")
	if err != nil { // a machine with only the first address of the loopback network
		if listener, err = net.Listen("tcp", "127.0.0.1:0"); err != nil {
			return "", err
		}
	}
	defer listener.Close()
	return listener.Addr().String(), nil
}

// routerConfig is the file that ROUTER_CONFIG names, as the platform writes it.
func (p *sidecarProcess) routerConfig(known fake.MemberList) ([]byte, error) {
	return json.Marshal(map[string]any{
		"name": p.name, "listen": p.addr, "discovery": p.agent.Addr, "seed": fmt.Sprintf("%016x", p.nextSeed()),
		"limits": map[string]any{"cores": p.day.Sidecars.Cores, "memory_mb": p.day.Sidecars.MemoryMB,
			"sockets": p.day.Sidecars.Sockets},
		"known":    known,
		"settings": p.settings,
	})
}

// newCommand writes the configuration of the next process and returns its command.
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
	cmd.Env = append(cmd.Environ(), "ROUTER_CONFIG="+path, "ROUTER_NAME="+p.name, "ROUTER_LISTEN="+p.addr,
		"ROUTER_DISCOVERY="+p.agent.Addr)
	return cmd, os.WriteFile(path, text, 0o600)
}

// start starts a process with the endpoint list that the former one was last notified of, and nothing else of its state. It
// does nothing while a process runs, and after stop.
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
	defer func() { _ = log.Close() }() // nothing was written through it: the process has a descriptor of its own
	cmd.Stdout, cmd.Stderr = log, log
	cmd.SysProcAttr = &syscall.SysProcAttr{Setpgid: true} // an interrupt at the terminal must not reach the process
	p.recorder.Add(invariant.Event{Kind: invariant.SidecarStarted, Sidecar: p.name})
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

// awaitExit waits for the exit of a process and records it.
func (p *sidecarProcess) awaitExit(cmd *exec.Cmd, exited chan struct{}) {
	_ = cmd.Wait() // whether it was asked to exit matters, not its status
	p.mu.Lock()
	isCrash := !p.isExitExpected
	p.cmd = nil
	p.mu.Unlock()
	p.recorder.Add(invariant.Event{Kind: invariant.SidecarExited, Sidecar: p.name, Crash: isCrash})
	close(exited)
	if isCrash {
		p.onCrash(p)
	}
}

// signal sends a signal that ends the present process, and returns the channel that closes after its exit; nil: no process
// runs.
func (p *sidecarProcess) signal(s syscall.Signal, kind invariant.Kind) <-chan struct{} {
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.cmd == nil {
		return nil
	}
	p.isExitExpected = true
	p.peakMemoryMB = max(p.peakMemoryMB, peakResidentMB(p.cmd.Process.Pid))
	p.recorder.Add(invariant.Event{Kind: kind, Sidecar: p.name})
	_ = p.cmd.Process.Signal(s) // fails only for a process that has exited
	return p.exited
}

// peakResidentMB is the peak of a process's resident memory, 0 where the system does not state it. The usage of ended
// children will not do: it counts what their parent had when it forked.
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

// pause stops the process for d or until ctx ends, and resumes it.
func (p *sidecarProcess) pause(ctx context.Context, d time.Duration) {
	p.mu.Lock()
	if p.cmd == nil {
		p.mu.Unlock()
		return
	}
	process, exited := p.cmd.Process, p.exited
	_ = process.Signal(syscall.SIGSTOP) // fails only for a process that has exited
	p.recorder.Add(invariant.Event{Kind: invariant.SidecarPaused, Sidecar: p.name})
	p.mu.Unlock()
	pausedAt := time.Now()
	sleep(ctx, d)
	p.recorder.Add(invariant.Event{Kind: invariant.SidecarResumed, Sidecar: p.name, Duration: time.Since(pausedAt)}) // before its effects
	select {
	case <-exited: // it was killed meanwhile
	default:
		_ = process.Signal(syscall.SIGCONT)
	}
}

// kill ends the process by SIGKILL and waits for its exit.
func (p *sidecarProcess) kill() {
	if exited := p.signal(syscall.SIGKILL, invariant.SidecarKilled); exited != nil {
		<-exited
	}
}

// terminate ends the process as a planned restart does: by SIGTERM, and by SIGKILL where it has not exited in time.
func (p *sidecarProcess) terminate(timeout time.Duration) {
	exited := p.signal(syscall.SIGTERM, invariant.SigtermSent)
	if exited == nil {
		return
	}
	select {
	case <-exited:
	case <-time.After(timeout):
		p.kill()
	}
}

// stop kills the process, and no other is started any more.
func (p *sidecarProcess) stop() {
	p.mu.Lock()
	p.isStopped = true
	p.mu.Unlock()
	p.kill()
}

// awaitReady polls the sidecar's health until it is ready. The error names the sidecar and quotes the end of its log.
func (p *sidecarProcess) awaitReady(ctx context.Context) error {
	ctx, cancel := context.WithTimeout(ctx, readyTimeout)
	defer cancel()
	client := http.Client{Timeout: time.Second, Transport: &http.Transport{DisableKeepAlives: true}}
	for {
		p.mu.Lock()
		isDown := p.cmd == nil
		p.mu.Unlock()
		if isDown {
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

// lastLogLine is the last line of the sidecar's log, or why it cannot be read.
func (p *sidecarProcess) lastLogLine() string {
	text, err := os.ReadFile(filepath.Join(p.workDir, p.name+".log"))
	if err != nil {
		return err.Error()
	}
	text = text[max(len(text)-maxLogTail, 0):]
	lines := strings.Split(strings.TrimSpace(string(text)), "\n")
	return lines[len(lines)-1]
}

// sleep waits for d, or is false when ctx ends first.
func sleep(ctx context.Context, d time.Duration) bool {
	timer := time.NewTimer(d)
	defer timer.Stop()
	select {
	case <-ctx.Done():
		return false
	case <-timer.C:
		return true
	}
}
