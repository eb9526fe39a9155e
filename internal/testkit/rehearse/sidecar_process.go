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
	readyTimeout      = 30 * time.Second       // longest time until a started sidecar must be ready, which is also the platform's limit
	readyPollInterval = 10 * time.Millisecond  // interval between two polls of a starting sidecar's health
	sigtermGrace      = 700 * time.Millisecond // time after SIGTERM in which a sidecar must still answer new requests
	maxLogTailBytes   = 2000                   // number of bytes at the end of a sidecar's log in which lastLogLine looks for the last line
)

// sidecarProcess is a sidecar that runs as a real process, which can be ended and started again with the same name and address.
// Its methods are safe for concurrent use. While the process runs, a goroutine waits for its exit.
type sidecarProcess struct {
	name           string
	addr           string      // address at which the sidecar listens for clients
	agent          *fake.Agent // discovery agent that serves only this sidecar
	recorder       *fake.Recorder
	workDir        string                   // directory of the configuration and the log
	newBaseCommand func() *exec.Cmd         // returns a command that runs one sidecar, without its configuration
	settings       json.RawMessage          // settings object of the platform's configuration
	operatorsFile  func(seed uint64) string // text of the operators' file; nil: the platform's configuration is used
	env            []string                 // environment variables (NAME=VALUE) that the process gets in addition to those of the rehearsal
	day            *Day
	nextSeed       func() uint64         // returns the seed of the next incarnation; called with mu held
	onCrash        func(*sidecarProcess) // called after the process has exited without a signal from the rehearsal

	mu             sync.Mutex
	cmd            *exec.Cmd     // command of the running process; nil: no process runs
	exited         chan struct{} // closed after the exit of the process that was last started
	isExitExpected bool          // whether the rehearsal has sent the running process a signal that ends it
	peakMemoryMB   float64       // highest peak resident memory, in MB, of this sidecar's processes that the rehearsal ended; 0: it ended none, or the system does not provide it
	isStopped      bool          // whether stop was called, after which no process is started
}

// freeLoopbackAddr returns a loopback address with a free port. The IP address depends on i. Since no other sidecar uses this IP
// address, no outgoing connection can take the port while the sidecar is down.
func freeLoopbackAddr(i int) (string, error) {
	host := fmt.Sprintf("127.%d.%d.%d", 64+os.Getpid()%64, 1+i/200, 1+i%200)
	listener, err := net.Listen("tcp", host+":0")
	if err != nil { // the machine has no loopback address but 127.0.0.1
		if listener, err = net.Listen("tcp", "127.0.0.1:0"); err != nil {
			return "", err
		}
	}
	defer listener.Close()
	return listener.Addr().String(), nil
}

// routerConfig returns the content of the file that ROUTER_CONFIG names, in the format of the platform. It contains the endpoint
// list of which the sidecar was last notified.
func (p *sidecarProcess) routerConfig(lastList fake.MemberList) ([]byte, error) {
	return json.Marshal(map[string]any{
		"name": p.name, "listen": p.addr, "discovery": p.agent.Addr, "seed": fmt.Sprintf("%016x", p.nextSeed()),
		"limits": map[string]any{"cores": p.day.Sidecars.Cores, "memory_mb": p.day.Sidecars.MemoryMB,
			"sockets": p.day.Sidecars.MaxDescriptors},
		"known":    lastList,
		"settings": p.settings,
	})
}

// newCommand writes the configuration of the next process and returns its command.
func (p *sidecarProcess) newCommand(lastList fake.MemberList) (*exec.Cmd, error) {
	cmd := p.newBaseCommand()
	cmd.Env = append(cmd.Environ(), p.env...)
	if p.operatorsFile != nil {
		path := filepath.Join(p.workDir, p.name+".toml")
		cmd.Args = append(cmd.Args, "serve", "--config", path)
		return cmd, os.WriteFile(path, []byte(p.operatorsFile(p.nextSeed())), 0o600)
	}
	text, err := p.routerConfig(lastList)
	if err != nil {
		return nil, err
	}
	path := filepath.Join(p.workDir, p.name+".json")
	cmd.Env = append(cmd.Environ(), "ROUTER_CONFIG="+path, "ROUTER_NAME="+p.name, "ROUTER_LISTEN="+p.addr,
		"ROUTER_DISCOVERY="+p.agent.Addr)
	return cmd, os.WriteFile(path, text, 0o600)
}

// start starts a process. Of the state of the previous process, the new one gets only the endpoint list of which the previous one
// was last notified. start does nothing while a process runs or after stop.
func (p *sidecarProcess) start() error {
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.isStopped || p.cmd != nil {
		return nil
	}
	lastList := p.agent.NotifiedList()
	cmd, err := p.newCommand(lastList)
	if err != nil {
		return err
	}
	logFile, err := os.OpenFile(filepath.Join(p.workDir, p.name+".log"), os.O_CREATE|os.O_APPEND|os.O_WRONLY, 0o600)
	if err != nil {
		return err
	}
	defer func() { _ = logFile.Close() }() // closing loses no data: only the process writes, through its own descriptor
	cmd.Stdout, cmd.Stderr = logFile, logFile
	cmd.SysProcAttr = &syscall.SysProcAttr{Setpgid: true} // an interrupt at the terminal must not reach the process
	p.recorder.Add(invariant.Event{Kind: invariant.SidecarStarted, Sidecar: p.name})
	for _, m := range lastList.Servers {
		p.recorder.Add(fake.NotificationEvent(p.name, m, p.recorder))
	}
	if err := cmd.Start(); err != nil {
		return fmt.Errorf("%s: %w", p.name, err)
	}
	p.cmd, p.exited, p.isExitExpected = cmd, make(chan struct{}), false
	go p.awaitExit(cmd, p.exited)
	return nil
}

// awaitExit waits for the exit of a process and records it. An exit without a signal from the rehearsal is a crash.
func (p *sidecarProcess) awaitExit(cmd *exec.Cmd, exited chan struct{}) {
	_ = cmd.Wait() // the exit status does not matter, only whether the rehearsal caused the exit
	p.mu.Lock()
	isCrash := !p.isExitExpected
	p.cmd = nil
	p.mu.Unlock()
	p.recorder.Add(invariant.Event{Kind: invariant.SidecarExited, Sidecar: p.name, HasCrashed: isCrash})
	close(exited)
	if isCrash {
		p.onCrash(p)
	}
}

// signal sends the running process a signal that ends it, and records an event of the given kind. It returns the channel that
// closes after the exit, or nil if no process runs.
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

// peakResidentMB returns the peak resident memory of a process in MB, or 0 if the system does not provide it. The resource usage of
// ended children can't be used, since it includes the memory that the parent had when it forked.
func peakResidentMB(pid int) float64 {
	text, err := os.ReadFile(fmt.Sprintf("/proc/%d/status", pid))
	if err != nil {
		return 0
	}
	_, afterLabel, _ := strings.Cut(string(text), "VmHWM:")
	var kb float64
	if _, err := fmt.Sscan(afterLabel, &kb); err != nil {
		return 0
	}
	return kb / 1024
}

// pause stops the process with SIGSTOP for d or until ctx ends, and resumes it.
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
	// The event is recorded before SIGCONT, after which the process can cause further events.
	p.recorder.Add(invariant.Event{Kind: invariant.SidecarResumed, Sidecar: p.name, Duration: time.Since(pausedAt)})
	select {
	case <-exited: // the process was killed during the pause
	default:
		_ = process.Signal(syscall.SIGCONT)
	}
}

// kill ends the process with SIGKILL and waits for its exit.
func (p *sidecarProcess) kill() {
	if exited := p.signal(syscall.SIGKILL, invariant.SidecarKilled); exited != nil {
		<-exited
	}
}

// terminate ends the process as in a planned restart: with SIGTERM, and after the timeout with SIGKILL.
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

// stop kills the process and prevents further starts.
func (p *sidecarProcess) stop() {
	p.mu.Lock()
	p.isStopped = true
	p.mu.Unlock()
	p.kill()
}

// awaitReady polls the sidecar's health until it is ready. An error names the sidecar and quotes the last line of its log.
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

// lastLogLine returns the last line of the sidecar's log, or the error that reading it returned.
func (p *sidecarProcess) lastLogLine() string {
	text, err := os.ReadFile(filepath.Join(p.workDir, p.name+".log"))
	if err != nil {
		return err.Error()
	}
	text = text[max(len(text)-maxLogTailBytes, 0):]
	lines := strings.Split(strings.TrimSpace(string(text)), "\n")
	return lines[len(lines)-1]
}

// sleep waits for d and returns true, or returns false as soon as ctx ends.
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
