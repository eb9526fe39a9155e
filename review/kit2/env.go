package kit2

import (
	"bufio"
	"encoding/json"
	"fmt"
	"net"
	"os"
	"os/exec"
	"os/signal"
	"path/filepath"
	"strings"
	"sync"
	"syscall"
	"time"
)

// env is one run of a case: its record, the processes that it started, and what it found.
type env struct {
	dir     string // folder of the case, which gets record.txt
	root    string // root of the repository, where the processes are started
	tmp     string // temporary folder, removed at the end
	run     string // command "run" of the deploy file
	trouble bool   // whether the disruption is played

	start time.Time

	mu      sync.Mutex
	record  *os.File
	broken  int
	servers []net.Listener
	started []*sidecar
}

// newEnv prepares a run. It ends the process with code 2 if the run can't begin.
func newEnv(dir string) *env {
	e := &env{dir: dir, trouble: os.Getenv("TROUBLE") != "0", start: time.Now()}
	var err error
	if e.root, err = os.Getwd(); err != nil {
		fail(err)
	}
	if e.record, err = os.Create(filepath.Join(dir, "record.txt")); err != nil {
		fail(err)
	}
	if e.tmp, err = os.MkdirTemp("", "review2-"); err != nil {
		fail(err)
	}
	text, err := os.ReadFile("deploy/balancer.toml")
	if err != nil {
		fail(err)
	}
	for line := range strings.Lines(string(text)) {
		if value, ok := strings.CutPrefix(strings.TrimSpace(line), "run = "); ok {
			e.run = strings.Trim(value, `"`)
		}
	}
	if e.run == "" {
		fail(fmt.Errorf("deploy/balancer.toml has no run command"))
	}
	e.note("trouble=%v run=%q", e.trouble, e.run)
	signals := make(chan os.Signal, 1)
	signal.Notify(signals, syscall.SIGINT, syscall.SIGTERM)
	go func() { e.cannot("signal %v", <-signals) }()
	time.AfterFunc(112*time.Second, func() { e.cannot("the case did not end in time") })
	return e
}

func fail(err error) {
	fmt.Fprintln(os.Stderr, "can't run:", err)
	os.Exit(2)
}

// now returns the time since the start of the case.
func (e *env) now() time.Duration { return time.Since(e.start) }

// note writes a line with the time to the record.
func (e *env) note(format string, args ...any) {
	e.mu.Lock()
	defer e.mu.Unlock()
	fmt.Fprintf(e.record, "%8.3f %s\n", e.now().Seconds(), fmt.Sprintf(format, args...))
}

// violation records that the rule was broken.
func (e *env) violation(format string, args ...any) {
	text := fmt.Sprintf(format, args...)
	e.note("BROKEN %s", text)
	e.mu.Lock()
	defer e.mu.Unlock()
	if e.broken++; e.broken <= 5 {
		fmt.Println("broken:", text)
	}
}

// cannot ends the case with code 2.
func (e *env) cannot(format string, args ...any) {
	text := fmt.Sprintf(format, args...)
	e.note("CAN'T RUN %s", text)
	fmt.Println("can't run:", text)
	e.cleanUp()
	os.Exit(2)
}

// finish ends all processes and the case: with code 1 if the rule was broken, else with 0.
func (e *env) finish(summary string, args ...any) {
	text := fmt.Sprintf(summary, args...)
	e.note("%s; violations: %d", text, e.broken)
	fmt.Printf("%s; violations: %d\n", text, e.broken)
	e.cleanUp()
	if e.broken > 0 {
		os.Exit(1)
	}
	os.Exit(0)
}

func (e *env) cleanUp() {
	e.mu.Lock()
	started := e.started
	e.mu.Unlock()
	for _, s := range started {
		s.kill()
	}
	_ = os.RemoveAll(e.tmp)
}

// sleepUntil waits until the given time since the start of the case.
func (e *env) sleepUntil(at time.Duration) { time.Sleep(at - e.now()) }

// listen opens a port on loopback.
func (e *env) listen() net.Listener {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		e.cannot("listen: %v", err)
	}
	return l
}

// freeAddress returns a loopback address that was free a moment ago.
func (e *env) freeAddress() string {
	l := e.listen()
	defer l.Close()
	return l.Addr().String()
}

// limits are the limits that the platform tells a sidecar.
type limits struct {
	Cores    float64 `json:"cores"`
	MemoryMB int     `json:"memory_mb"`
	Sockets  int     `json:"sockets"`
}

// lane is a request class in the settings.
type lane struct {
	Name, Semantics, Group          string
	OnTimeUs, HardLimitUs, WindowUs int64
	Credit                          float64
}

// settings returns settings with the figures of the brief: two classes, four attempts, a grace of 500 ms.
func settings(discovery string) map[string]any {
	return map[string]any{
		"NInstances": 1, "Me": 0, "Tier": 0, "Tiers": []string{"front-desk"}, "ResolutionUs": 5000, "Discovery": discovery,
		"Lanes": []lane{
			{Name: "item-lookup", Semantics: "read_like", Group: "all", OnTimeUs: 2e6, HardLimitUs: 5e6, WindowUs: 5e6, Credit: 5},
			{Name: "bag-dispatch", Semantics: "idempotency_key", Group: "cell", OnTimeUs: 25e5, HardLimitUs: 6e6, WindowUs: 10e6, Credit: 3},
		},
		"Permissions": map[string]any{"ConnIdleUs": 30000000, "DialTimeoutUs": 200000, "MaxOpen": 20000, "MaxRetryAfterUs": 2000000,
			"MayCancel": true, "MayProbe": false, "RetryAfter": true, "TryLimit": 4, "StreamsPerConn": 1},
		"Report": map[string]any{"Fields": []string{}, "How": "silent"},
		"Rules": map[string]any{"AnswerSlackUs": 20000, "AskWithinUs": 10000000, "ColdFrom": 0.31, "ColdUs": 9000000,
			"DrainGraceUs": 500000, "FallMultiple": 4.0, "TipAfterUs": 3000000},
	}
}

// sidecar is a process of the project's daemon, started with the run command of the deploy file.
type sidecar struct {
	env    *env
	name   string
	addr   string // address for clients
	config map[string]any
	path   string // file of the configuration
	cmd    *exec.Cmd
	ended  chan struct{}
}

// startSidecar starts a sidecar and waits until it answers its health check.
func (e *env) startSidecar(name, discovery string, known memberList, l limits, settings map[string]any) *sidecar {
	s := &sidecar{env: e, name: name, addr: e.freeAddress(), ended: make(chan struct{})}
	dir := filepath.Join(e.tmp, name)
	if err := os.MkdirAll(dir, 0o700); err != nil {
		e.cannot("%v", err)
	}
	s.path = filepath.Join(e.tmp, name+".json")
	s.config = map[string]any{"name": name, "listen": s.addr, "discovery": discovery, "seed": "8c1f30d27a5be964", "limits": l,
		"known": known, "settings": settings}
	s.writeConfig()
	s.cmd = exec.Command("/bin/sh", "-c", e.run)
	s.cmd.Dir = e.root
	s.cmd.Env = []string{"PATH=" + os.Getenv("PATH"), "ROUTER_CONFIG=" + s.path, "ROUTER_NAME=" + name, "ROUTER_LISTEN=" + s.addr,
		"ROUTER_DISCOVERY=" + discovery, "TMPDIR=" + dir}
	log, err := s.cmd.StderrPipe()
	if err != nil {
		e.cannot("%v", err)
	}
	if err := s.cmd.Start(); err != nil {
		e.cannot("start: %v", err)
	}
	e.mu.Lock()
	e.started = append(e.started, s)
	e.mu.Unlock()
	go func() {
		defer close(s.ended)
		lines := bufio.NewScanner(log)
		for lines.Scan() {
			e.note("log %s: %s", name, lines.Text())
		}
		err := s.cmd.Wait()
		e.note("process of %s ended: %v", name, err)
	}()
	for range 200 {
		if status, _ := get(s.addr, "/_health"); status == 200 {
			e.note("sidecar %s is ready at %s", name, s.addr)
			return s
		}
		time.Sleep(50 * time.Millisecond)
	}
	e.cannot("sidecar %s is not ready", name)
	return nil
}

func (s *sidecar) writeConfig() {
	text, err := json.MarshalIndent(s.config, "", " ")
	if err == nil {
		err = os.WriteFile(s.path+".new", text, 0o600)
	}
	if err == nil {
		err = os.Rename(s.path+".new", s.path)
	}
	if err != nil {
		s.env.cannot("%v", err)
	}
}

// signal sends a signal to the process.
func (s *sidecar) signal(sig syscall.Signal) {
	s.env.note("signal %v to %s", sig, s.name)
	_ = s.cmd.Process.Signal(sig)
}

// isRunning reports whether the process has not ended.
func (s *sidecar) isRunning() bool {
	select {
	case <-s.ended:
		return false
	default:
		return true
	}
}

func (s *sidecar) kill() {
	_ = s.cmd.Process.Kill()
	select {
	case <-s.ended:
	case <-time.After(2 * time.Second):
	}
}
