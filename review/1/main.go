// Case 1: clients that leave while their requests are retried crash the sidecar.
package main

import (
	"bufio"
	"encoding/json"
	"fmt"
	"math/rand/v2"
	"net"
	"net/http"
	"os"
	"path/filepath"
	"strings"
	"sync"
	"sync/atomic"
	"time"

	"review/kit"
)

const (
	bursts     = 15
	clients    = 64 // that send a request in each burst
	endpoints  = 8
	bodyBytes  = 2000
	workTime   = 50 * time.Millisecond
	otherEvery = 20 * time.Millisecond // a lookup of another client
)

var (
	record   *kit.Record
	troubled = os.Getenv("TROUBLE") != "0"
	lastID   atomic.Int64
	served   atomic.Int64
	lost     atomic.Int64 // lookups of other clients that got no answer

	mu    sync.Mutex
	conns = [endpoints]map[net.Conn]bool{} // connections of each endpoint that have an open request
)

func main() {
	root, folder := os.Args[1], os.Args[2]
	record = kit.NewRecord(folder)
	tmp, err := os.MkdirTemp("", "review-1-")
	if err != nil {
		kit.CannotRun(err)
	}
	var members []kit.Member
	for i := range endpoints {
		conns[i] = map[net.Conn]bool{}
		l, err := net.Listen("tcp", "127.0.0.1:0")
		if err != nil {
			kit.CannotRun(err)
		}
		go acceptAll(i, l)
		members = append(members, kit.Member{ID: fmt.Sprintf("s-%d", i), Addr: l.Addr().String(), Zone: "caboolture-depot", Kind: "front-std",
			Cell: 0, State: "Ready", Weight: 1})
	}
	agent, listen := kit.StartAgent(1, members), kit.FreePort()
	config := configuration(listen, agent, tmp, members)
	sidecarTmp := filepath.Join(tmp, "t")
	_ = os.Mkdir(sidecarTmp, 0o700)
	logFile := filepath.Join(folder, "record-sidecar.txt")
	_ = os.Remove(logFile)
	sidecar := kit.Start(root, os.Args[3], logFile, []string{"ROUTER_CONFIG=" + config, "TMPDIR=" + sidecarTmp})
	if !kit.WaitHealthy(listen, 10*time.Second) {
		kit.CannotRun("the sidecar is not ready")
	}
	record.Say("trouble: %v", troubled)
	stop := make(chan struct{})
	var others sync.WaitGroup
	others.Go(func() {
		for ticker := time.NewTicker(otherEvery); ; {
			select {
			case <-stop:
				return
			case <-ticker.C:
				others.Go(func() { lookup(listen) })
			}
		}
	})
	code, n := 0, 0
	for n = 1; n <= bursts; n++ {
		play(listen, n)
		time.Sleep(300 * time.Millisecond)
		if !sidecar.IsRunning() {
			code = 1
			break
		}
	}
	close(stop)
	others.Wait()
	if code == 0 && !kit.WaitHealthy(listen, 5*time.Second) {
		record.Say("the sidecar does not answer any more")
		code = 1
	}
	kit.StopAll()
	_ = os.RemoveAll(tmp)
	if log, err := os.ReadFile(logFile); err == nil {
		if i := strings.Index(string(log), "panic: "); i >= 0 {
			record.Say("%.1500s", log[i:])
		}
	}
	if code == 1 {
		record.Say("the sidecar's process has ended in burst %d; lookups of other clients: %d served, %d without an answer", n, served.Load(), lost.Load())
	} else {
		record.Say("the sidecar runs after %d bursts; lookups of other clients: %d served, %d without an answer", bursts, served.Load(), lost.Load())
	}
	os.Exit(code)
}
func configuration(listen, agent, tmp string, members []kit.Member) string {
	settings := map[string]any{
		"Tier": 0, "Tiers": []string{"front-desk"}, "NInstances": 1, "Me": 0, "Zone": "caboolture-depot", "Zones": []string{"caboolture-depot"},
		"Discovery": "automatic", "ResolutionUs": 5000, "Kinds": []string{"front-std"},
		"Lanes": []map[string]any{
			{"Name": "item-lookup", "Semantics": "read_like", "Group": "all", "OnTimeUs": 2000000, "HardLimitUs": 5000000, "WindowUs": 5000000, "Credit": 5.0},
			{"Name": "bag-dispatch", "Semantics": "idempotency_key", "Group": "cell", "OnTimeUs": 2500000, "HardLimitUs": 6000000, "WindowUs": 10000000, "Credit": 3.0},
		},
		"Permissions": map[string]any{"MayCancel": true, "MayProbe": false, "RetryAfter": true, "TryLimit": 4, "MaxRetryAfterUs": 2000000,
			"ConnIdleUs": 30000000, "DialTimeoutUs": 200000, "MaxOpen": 20000, "StreamsPerConn": 1, "SecondCopies": false, "Peers": false},
		"Report": map[string]any{"Fields": []string{}, "How": "silent"},
		"Rules":  map[string]any{"AnswerSlackUs": 20000, "AskWithinUs": 10000000, "ColdFrom": 0.31, "ColdUs": 9000000, "DrainGraceUs": 500000, "FallMultiple": 4.0, "TipAfterUs": 3000000},
	}
	text, _ := json.Marshal(map[string]any{"name": "n1", "listen": listen, "discovery": agent, "seed": "8c1f30d27a5be964",
		"limits": map[string]any{"cores": 1.0, "memory_mb": 192, "sockets": 1024}, "known": json.RawMessage(kit.ListText(1, true, members)), "settings": settings})
	path := filepath.Join(tmp, "config.json")
	if err := os.WriteFile(path, text, 0o600); err != nil {
		kit.CannotRun(err)
	}
	return path
}

// acceptAll is an endpoint that asks for the body of each request at once, and answers when the body has come.
func acceptAll(number int, l net.Listener) {
	for {
		nc, err := l.Accept()
		if err != nil {
			return
		}
		go func() {
			defer nc.Close()
			reader := bufio.NewReader(nc)
			for {
				r, err := http.ReadRequest(reader)
				if err != nil {
					return
				}
				mu.Lock()
				conns[number][nc] = true
				mu.Unlock()
				record.Line("endpoint %d: the head of %s has come", number, r.Header.Get("Req-Id"))
				if r.Header.Get("Expect") != "" {
					fmt.Fprint(nc, "HTTP/1.1 100 Continue\r\n\r\n")
				}
				body := make([]byte, r.ContentLength)
				for n := 0; n < len(body); {
					m, err := r.Body.Read(body[n:])
					if n += m; err != nil && n < len(body) {
						mu.Lock()
						delete(conns[number], nc)
						mu.Unlock()
						return
					}
				}
				time.Sleep(workTime)
				mu.Lock()
				delete(conns[number], nc)
				mu.Unlock()
				fmt.Fprint(nc, "HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\nok")
			}
		}()
	}
}

// play lets clients send requests. When all have been asked for their bodies the connections to one endpoint are reset, and the
// clients leave. Without the trouble they send their bodies instead, and no connection is reset.
func play(listen string, burst int) {
	var asked, left sync.WaitGroup
	leave := make(chan struct{})
	for range clients {
		id := fmt.Sprintf("U%06d", lastID.Add(1))
		asked.Add(1)
		left.Go(func() {
			nc, err := net.Dial("tcp", listen)
			if err != nil {
				asked.Done()
				return
			}
			defer nc.Close()
			fmt.Fprintf(nc, "POST /bag-dispatch HTTP/1.1\r\nHost: api.internal\r\nReq-Id: %s\r\nReq-Owner: council-post\r\nReq-Deadline-Ms: 3000\r\n"+
				"Idempotency-Key: k-%s\r\nExpect: 100-continue\r\nContent-Length: %d\r\n\r\n", id, id, bodyBytes)
			_ = nc.SetReadDeadline(time.Now().Add(2 * time.Second))
			reader := bufio.NewReader(nc)
			resp, err := http.ReadResponse(reader, nil)
			if err != nil {
				record.Line("client: %s %v", id, err)
			} else {
				record.Line("client: %s got %d", id, resp.StatusCode)
			}
			asked.Done()
			<-leave
			if !troubled && err == nil {
				_, _ = nc.Write(make([]byte, bodyBytes))
				if resp, err = http.ReadResponse(reader, nil); err == nil {
					record.Line("client: %s got %d", id, resp.StatusCode)
				}
			}
		})
	}
	asked.Wait()
	time.Sleep(20 * time.Millisecond)
	if !troubled {
		close(leave)
		left.Wait()
		return
	}
	mu.Lock()
	var dying []net.Conn
	number := burst % endpoints
	for nc := range conns[number] {
		dying = append(dying, nc)
	}
	mu.Unlock()
	record.Line("endpoint %d: the connections of %d requests are reset", number, len(dying))
	for _, nc := range dying {
		_ = nc.(*net.TCPConn).SetLinger(0)
		nc.Close()
	}
	time.Sleep(time.Duration(rand.IntN(2000)) * time.Microsecond)
	record.Line("the clients leave")
	close(leave)
	left.Wait()
}

// lookup sends an ordinary request of another client and waits for its answer.
func lookup(listen string) {
	id := fmt.Sprintf("L%06d", lastID.Add(1))
	nc, err := net.Dial("tcp", listen)
	if err != nil {
		return // not taken
	}
	defer nc.Close()
	if _, err := fmt.Fprintf(nc, "GET /item-lookup HTTP/1.1\r\nHost: api.internal\r\nReq-Id: %s\r\nReq-Owner: council-post\r\nReq-Deadline-Ms: 3000\r\n\r\n", id); err != nil {
		return
	}
	_ = nc.SetReadDeadline(time.Now().Add(4 * time.Second))
	resp, err := http.ReadResponse(bufio.NewReader(nc), nil)
	switch {
	case err != nil:
		lost.Add(1)
		record.Line("client: %s has no answer: %v", id, err)
	case resp.StatusCode == 200:
		served.Add(1)
	}
}
