// Package kit has what the cases share: a record, stand-ins of the platform's discovery agent, and processes of the project.
package kit

import (
	"encoding/json"
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
)

// Record writes lines with the time since the start to record.txt. It is safe for concurrent use.
type Record struct {
	mu    sync.Mutex
	file  *os.File
	start time.Time
}

// NewRecord creates record.txt in a folder.
func NewRecord(folder string) *Record {
	f, err := os.Create(filepath.Join(folder, "record.txt"))
	if err != nil {
		CannotRun(err)
	}
	return &Record{file: f, start: time.Now()}
}

// Now returns the time since the start of the record.
func (r *Record) Now() time.Duration { return time.Since(r.start) }

// Line writes one line.
func (r *Record) Line(format string, args ...any) {
	r.mu.Lock()
	defer r.mu.Unlock()
	fmt.Fprintf(r.file, "%9.4f  %s\n", time.Since(r.start).Seconds(), fmt.Sprintf(format, args...))
}

// Say writes one line to the record and to standard output.
func (r *Record) Say(format string, args ...any) {
	r.Line(format, args...)
	fmt.Printf(format+"\n", args...)
}

// CannotRun ends the case with exit code 2.
func CannotRun(reason any) {
	fmt.Fprintln(os.Stderr, "the case could not run:", reason)
	StopAll()
	os.Exit(2)
}

// Process is a process that the case has started.
type Process struct {
	Cmd    *exec.Cmd
	Exited chan struct{} // closed when the process has ended
}

var (
	processesMu sync.Mutex
	processes   []*Process
)

// Start runs a shell command in a folder, with additional environment variables and files from descriptor 3 on, and its output in
// a log file. The command should end in exec, so that the process id is that of the program.
func Start(folder, command, logFile string, env []string, files ...*os.File) *Process {
	log, err := os.OpenFile(logFile, os.O_CREATE|os.O_WRONLY|os.O_APPEND, 0o600)
	if err != nil {
		CannotRun(err)
	}
	cmd := exec.Command("/bin/sh", "-c", command)
	cmd.Dir, cmd.Stdout, cmd.Stderr, cmd.ExtraFiles = folder, log, log, files
	cmd.Env = append(os.Environ(), env...)
	cmd.SysProcAttr = &syscall.SysProcAttr{Pdeathsig: syscall.SIGKILL}
	if err := cmd.Start(); err != nil {
		CannotRun(err)
	}
	log.Close()
	p := &Process{Cmd: cmd, Exited: make(chan struct{})}
	go func() { _ = cmd.Wait(); close(p.Exited) }()
	processesMu.Lock()
	defer processesMu.Unlock()
	processes = append(processes, p)
	return p
}

// Signal sends a signal to the process.
func (p *Process) Signal(s syscall.Signal) { _ = p.Cmd.Process.Signal(s) }

// IsRunning reports whether the process has not ended.
func (p *Process) IsRunning() bool {
	select {
	case <-p.Exited:
		return false
	default:
		return true
	}
}

// StopAll kills all processes that Start has started, and waits for their ends.
func StopAll() {
	processesMu.Lock()
	defer processesMu.Unlock()
	for _, p := range processes {
		if p.IsRunning() {
			p.Signal(syscall.SIGCONT)
			p.Signal(syscall.SIGKILL)
			<-p.Exited
		}
	}
}

// FreePort returns a loopback address with a port that was free a moment ago.
func FreePort() string {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		CannotRun(err)
	}
	defer l.Close()
	return l.Addr().String()
}

// WaitHealthy waits until GET /_health at an address is answered with 200.
func WaitHealthy(addr string, limit time.Duration) bool {
	client := http.Client{Timeout: time.Second, Transport: &http.Transport{DisableKeepAlives: true}}
	for deadline := time.Now().Add(limit); time.Now().Before(deadline); time.Sleep(50 * time.Millisecond) {
		if resp, err := client.Get("http://" + addr + "/_health"); err == nil {
			resp.Body.Close()
			if resp.StatusCode == 200 {
				return true
			}
		}
	}
	return false
}

// Admin sends one line to an operators' address and returns the answer.
func Admin(addr, line string) string {
	nc, err := net.DialTimeout("tcp", addr, time.Second)
	if err != nil {
		return "no connection: " + err.Error()
	}
	defer nc.Close()
	_ = nc.SetDeadline(time.Now().Add(4 * time.Second))
	fmt.Fprintf(nc, "%s\n", line)
	var text []byte
	b := make([]byte, 4096)
	for {
		n, err := nc.Read(b)
		text = append(text, b[:n]...)
		if err != nil {
			return strings.TrimSpace(string(text))
		}
	}
}

// Member is an endpoint in the form of the discovery agent.
type Member struct {
	ID      string  `json:"id"`
	Addr    string  `json:"addr"`
	Zone    string  `json:"zone"`
	Kind    string  `json:"kind"`
	Cell    int     `json:"cell"`
	State   string  `json:"state"`
	Weight  float64 `json:"weight"`
	Started int64   `json:"started_ms"`
}

// ListText returns a message of the discovery agent.
func ListText(version int, full bool, members []Member) string {
	if members == nil {
		members = []Member{}
	}
	text, _ := json.Marshal(map[string]any{"version": version, "full": full, "servers": members})
	return string(text)
}

// StartAgent starts a discovery agent with a list that does not change, and returns its address.
func StartAgent(version int, members []Member) string {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		CannotRun(err)
	}
	mux := http.NewServeMux()
	mux.HandleFunc("/catalog/members", func(w http.ResponseWriter, r *http.Request) {
		if r.URL.Query().Get("watch") == "" {
			fmt.Fprintln(w, ListText(version, true, members))
			return
		}
		if r.URL.Query().Get("after") != fmt.Sprint(version) {
			fmt.Fprintln(w, ListText(version, true, members))
		}
		w.(http.Flusher).Flush()
		for {
			select {
			case <-r.Context().Done():
				return
			case <-time.After(2 * time.Second):
				fmt.Fprintln(w)
				w.(http.Flusher).Flush()
			}
		}
	})
	go func() { _ = http.Serve(l, mux) }()
	return l.Addr().String()
}
