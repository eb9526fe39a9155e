// Package crowd plays hundreds of clients at the level of bytes against one real daemon: clients that stop in the middle of a request,
// write or read slowly, or send heads that cost much memory, beside usual ones whose answers are checked. It measures the daemon's
// resident memory and when each request got its final answer.
//
// A Stage starts the daemon, a discovery agent and endpoints, all on loopback, and owns them until Close. Each client runs on a goroutine
// of its caller and ends with its context.
package crowd

import (
	"encoding/json"
	"errors"
	"fmt"
	"net"
	"os"
	"os/exec"
	"path/filepath"
	"strconv"
	"strings"
	"sync"
	"syscall"
	"time"

	"tuliprock/internal/testkit/testpeer"
)

// Classes of the requests, by what their settings allow to repeat.
const (
	LookupClass   = "item-lookup"  // safe to repeat
	DispatchClass = "bag-dispatch" // unsafe to repeat
)

// Options configures a Stage.
type Options struct {
	Program     func() *exec.Cmd // returns the command that runs the daemon
	Addr        string           // address for clients, at which nothing listens
	AdminAddr   string           // operators' address, at which nothing listens
	Dir         string           // directory for the configuration, which must exist
	MemoryMB    int              // memory limit that the configuration names
	Descriptors int              // limit of descriptors that the configuration names and the process gets
	Endpoints   int              // number of endpoints
	CannotStop  bool             // attempts must not be canceled
	Seed        uint64
}

// Stage is a running daemon with its surroundings.
type Stage struct {
	Addr      string // address for clients
	AdminAddr string // operators' address
	Endpoints []*Endpoint
	options   Options
	agent     *agent
	path      string // path of the configuration

	mu     sync.Mutex
	daemon *process
	log    *logFile
}

// process is one run of the daemon.
type process struct {
	cmd     *exec.Cmd
	exited  chan struct{} // closed when the process has ended
	exitErr error         // set before exited is closed
}

// logFile collects what the daemon's processes write to standard error.
type logFile struct {
	mu   sync.Mutex
	text strings.Builder
}

// maxLogBytes limits the text that a logFile keeps.
const maxLogBytes = 4 << 20

// Write implements io.Writer.
func (l *logFile) Write(p []byte) (int, error) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.text.Len() < maxLogBytes {
		l.text.Write(p)
	}
	return len(p), nil
}

func (l *logFile) String() string {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.text.String()
}

// startTimeout is how long the daemon may take until it answers a health check.
const startTimeout = 30 * time.Second

// Start starts the endpoints, the agent and the daemon, and waits until the daemon serves.
func Start(o Options) (stage *Stage, err error) {
	s := &Stage{Addr: o.Addr, AdminAddr: o.AdminAddr, options: o, log: &logFile{}}
	defer func() {
		if err != nil {
			s.Close()
		}
	}()
	var members []string
	for i := range o.Endpoints {
		e, err := StartEndpoint()
		if err != nil {
			return nil, err
		}
		s.Endpoints = append(s.Endpoints, e)
		members = append(members, testpeer.EncodeMember(fmt.Sprint("s-", i), e.Addr, "Ready"))
	}
	list := testpeer.EncodeMembers(41, true, members...)
	if s.agent, err = startAgent(list); err != nil {
		return nil, err
	}
	if err := s.writeConfig(list); err != nil {
		return nil, err
	}
	return s, s.StartDaemon()
}

// writeConfig writes the daemon's configuration in the platform's form.
func (s *Stage) writeConfig(list string) error {
	type class struct {
		Name, Semantics       string
		OnTimeUs, HardLimitUs int64
	}
	settings := map[string]any{
		"Lanes": []class{
			{LookupClass, "read_like", 2_000_000, 5_000_000},
			{DispatchClass, "non_idempotent", 2_500_000, 6_000_000},
		},
		"Permissions": map[string]any{"TryLimit": 4, "RetryAfter": true, "MaxRetryAfterUs": 2_000_000, "MayCancel": !s.options.CannotStop,
			"ConnIdleUs": 30_000_000, "DialTimeoutUs": 200_000},
		"Rules": map[string]any{"AnswerSlackUs": 20_000, "DrainGraceUs": 500_000},
	}
	text, err := json.Marshal(map[string]any{
		"name": "n0", "listen": s.Addr, "admin_addr": s.AdminAddr, "discovery": s.agent.addr, "seed": fmt.Sprintf("%016x", s.options.Seed|1),
		"limits": map[string]any{"cores": 1.0, "memory_mb": s.options.MemoryMB, "sockets": s.options.Descriptors},
		"known":  json.RawMessage(list), "settings": settings,
	})
	if err != nil {
		return err
	}
	s.path = filepath.Join(s.options.Dir, "config.json")
	return os.WriteFile(s.path, text, 0o600)
}

// StartDaemon starts the daemon's process, and waits until it serves.
func (s *Stage) StartDaemon() error {
	cmd := s.options.Program()
	if cmd.Env == nil {
		cmd.Env = os.Environ()
	}
	cmd.Env = append(cmd.Env, "ROUTER_CONFIG="+s.path)
	cmd.Stderr = s.log
	if err := cmd.Start(); err != nil {
		return err
	}
	p := &process{cmd: cmd, exited: make(chan struct{})}
	go func() {
		p.exitErr = cmd.Wait()
		close(p.exited)
	}()
	s.mu.Lock()
	s.daemon = p
	s.mu.Unlock()
	for end := time.Now().Add(startTimeout); time.Now().Before(end); time.Sleep(10 * time.Millisecond) {
		if conn, err := net.DialTimeout("tcp", s.Addr, time.Second); err == nil {
			conn.Close()
			return nil
		}
		if _, hasExited := s.Exited(); hasExited {
			break
		}
	}
	return fmt.Errorf("the daemon does not serve: %s", s.Log())
}

// Exited returns the error with which the daemon's present process has ended, and whether it has ended.
func (s *Stage) Exited() (err error, hasExited bool) {
	s.mu.Lock()
	p := s.daemon
	s.mu.Unlock()
	select {
	case <-p.exited:
		return p.exitErr, true
	default:
		return nil, false
	}
}

// Signal sends a signal to the daemon's present process.
func (s *Stage) Signal(sig syscall.Signal) error {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.daemon.cmd.Process.Signal(sig)
}

// AwaitExit waits until the daemon's present process has ended, for the given time at most, and reports whether it has.
func (s *Stage) AwaitExit(within time.Duration) bool {
	s.mu.Lock()
	p := s.daemon
	s.mu.Unlock()
	select {
	case <-p.exited:
		return true
	case <-time.After(within):
		return false
	}
}

// Log returns what the daemon has logged.
func (s *Stage) Log() string { return s.log.String() }

// Close ends everything that Start has started.
func (s *Stage) Close() {
	s.mu.Lock()
	p := s.daemon
	s.mu.Unlock()
	if p != nil {
		_ = p.cmd.Process.Kill() // fails only if the process has ended
		<-p.exited
	}
	if s.agent != nil {
		s.agent.close()
	}
	for _, e := range s.Endpoints {
		e.Close()
	}
}

// Memory is the resident memory of a process, in KiB, from /proc/PID/status.
type Memory struct {
	Peak      int // highest resident set so far (VmHWM)
	Resident  int // resident set (VmRSS)
	Anonymous int // part of the resident set that no file backs (RssAnon)
}

// Memory returns the memory of the daemon's present process.
func (s *Stage) Memory() (Memory, error) {
	s.mu.Lock()
	pid := s.daemon.cmd.Process.Pid
	s.mu.Unlock()
	text, err := os.ReadFile(fmt.Sprintf("/proc/%d/status", pid))
	if err != nil {
		return Memory{}, err
	}
	var m Memory
	for name, value := range map[string]*int{"VmHWM": &m.Peak, "VmRSS": &m.Resident, "RssAnon": &m.Anonymous} {
		if *value, err = statusValue(string(text), name); err != nil {
			return Memory{}, err
		}
	}
	return m, nil
}

// errNoStatusValue is returned for a value that /proc/PID/status does not have, as for a process that has ended.
var errNoStatusValue = errors.New("no such value in /proc/PID/status")

// statusValue returns a value in KiB from the text of /proc/PID/status.
func statusValue(text, name string) (int, error) {
	_, rest, ok := strings.Cut(text, name+":")
	if !ok {
		return 0, fmt.Errorf("%s: %w", name, errNoStatusValue)
	}
	line, _, _ := strings.Cut(rest, "\n")
	fields := strings.Fields(line)
	if len(fields) == 0 {
		return 0, fmt.Errorf("%s: %w", name, errNoStatusValue)
	}
	return strconv.Atoi(fields[0])
}
