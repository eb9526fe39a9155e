// Case 2: a retry of a request that was sent with Expect: 100-continue restarts the request's time, so that the client gets no answer.
package main

import (
	"bufio"
	"encoding/json"
	"fmt"
	"io"
	"net"
	"net/http"
	"os"
	"path/filepath"
	"sync"
	"sync/atomic"
	"time"

	"review/kit"
)

const (
	playTime   = 25 * time.Second
	period     = 100 * time.Millisecond
	wait       = 3 * time.Second                            // Req-Deadline-Ms: half of the class's HardLimitUs
	late       = 500*time.Millisecond + 50*time.Millisecond // the slack of the pages
	resetAfter = 2 * time.Second                            // from the last byte of a request
	workTime   = 120 * time.Millisecond
	endpoints  = 12
	troubledN  = 3
)

var (
	record   *kit.Record
	served   atomic.Int64
	refused  atomic.Int64
	failed   atomic.Int64
	lost     atomic.Int64
	sent     atomic.Int64
	lastID   atomic.Int64
	troubled = os.Getenv("TROUBLE") != "0"
)

func main() {
	root, folder := os.Args[1], os.Args[2]
	record = kit.NewRecord(folder)
	tmp, err := os.MkdirTemp("", "review-2-")
	if err != nil {
		kit.CannotRun(err)
	}
	var members []kit.Member
	for i := range endpoints {
		l, err := net.Listen("tcp", "127.0.0.1:0")
		if err != nil {
			kit.CannotRun(err)
		}
		go func() { _ = http.Serve(l, endpoint(i)) }()
		members = append(members, kit.Member{ID: fmt.Sprintf("s-%d", i), Addr: l.Addr().String(), Zone: "caboolture-depot", Kind: "front-std",
			Cell: i / 3, State: "Ready", Weight: 1})
	}
	agent, listen := kit.StartAgent(1, members), kit.FreePort()
	config := configuration(listen, agent, tmp, members)
	sidecarTmp := filepath.Join(tmp, "t")
	_ = os.Mkdir(sidecarTmp, 0o700)
	sidecar := kit.Start(root, os.Args[3], filepath.Join(folder, "record-sidecar.txt"), []string{"ROUTER_CONFIG=" + config, "TMPDIR=" + sidecarTmp})
	if !kit.WaitHealthy(listen, 10*time.Second) {
		kit.CannotRun("the sidecar is not ready")
	}
	record.Say("trouble: %v", troubled)
	var clients sync.WaitGroup
	for end := time.Now().Add(playTime); time.Now().Before(end); time.Sleep(period) {
		clients.Go(func() { client(listen) })
	}
	clients.Wait()
	if !sidecar.IsRunning() {
		record.Say("the sidecar has ended")
	}
	kit.StopAll()
	_ = os.RemoveAll(tmp)
	record.Say("requests %d, served %d, refused %d, failed %d", sent.Load(), served.Load(), refused.Load(), failed.Load())
	record.Say("requests without a final answer 0.55 s after their time: %d", lost.Load())
	if lost.Load() > 0 {
		os.Exit(1)
	}
	if served.Load() < 50 {
		fmt.Fprintln(os.Stderr, "too few requests were served")
		os.Exit(2)
	}
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

// endpoint returns an endpoint that answers after workTime. With the trouble some endpoints hang in the middle of their work, and the
// connection is reset under the request.
func endpoint(number int) http.Handler {
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		id := r.Header.Get("Req-Id")
		if _, err := io.ReadAll(r.Body); err != nil {
			return
		}
		record.Line("endpoint %d: %s has come, told to answer in %s ms", number, id, r.Header.Get("Req-Deadline-Ms"))
		if troubled && number < troubledN {
			time.Sleep(resetAfter)
			if nc, _, err := w.(http.Hijacker).Hijack(); err == nil {
				_ = nc.(*net.TCPConn).SetLinger(0)
				nc.Close()
			}
			record.Line("endpoint %d: %s reset", number, id)
			return
		}
		time.Sleep(workTime)
		fmt.Fprintf(w, "answer %s\n", id)
	})
}

// client sends one request with Expect: 100-continue, and its body when it is asked for it.
func client(listen string) {
	id := fmt.Sprintf("U%06d", lastID.Add(1))
	nc, err := net.Dial("tcp", listen)
	if err != nil {
		return
	}
	defer nc.Close()
	body := []byte("bag 4711, run 12\n")
	fmt.Fprintf(nc, "POST /bag-dispatch HTTP/1.1\r\nHost: api.internal\r\nReq-Id: %s\r\nReq-Owner: council-post\r\nReq-Deadline-Ms: %d\r\n"+
		"Idempotency-Key: k-%s\r\nExpect: 100-continue\r\nContent-Length: %d\r\n\r\n", id, wait.Milliseconds(), id, len(body))
	reader := bufio.NewReader(nc)
	_ = nc.SetReadDeadline(time.Now().Add(wait))
	resp, err := http.ReadResponse(reader, nil)
	if err != nil {
		record.Line("client: %s is not asked for its body: %v", id, err)
		return // not taken: the last byte was not written
	}
	if resp.StatusCode != http.StatusContinue {
		finish(id, resp, 0)
		return
	}
	if _, err := nc.Write(body); err != nil {
		return
	}
	lastByte := time.Now()
	sent.Add(1)
	_ = nc.SetReadDeadline(lastByte.Add(wait + late))
	resp, err = http.ReadResponse(reader, nil)
	if err != nil {
		lost.Add(1)
		record.Line("client: %s has no answer %.2f s after its last byte: %v", id, time.Since(lastByte).Seconds(), err)
		// The rest is for the record only: when does the answer come?
		_ = nc.SetReadDeadline(time.Now().Add(20 * time.Second))
		resp, err = http.ReadResponse(reader, nil)
		if err == nil {
			record.Line("client: %s got %d after %.2f s", id, resp.StatusCode, time.Since(lastByte).Seconds())
		}
		return
	}
	finish(id, resp, time.Since(lastByte))
}

func finish(id string, resp *http.Response, after time.Duration) {
	content, _ := io.ReadAll(resp.Body)
	record.Line("client: %s got %d after %.2f s", id, resp.StatusCode, after.Seconds())
	switch {
	case resp.StatusCode == 200 && string(content) == "answer "+id+"\n":
		served.Add(1)
	case resp.StatusCode == 503 || resp.StatusCode == 429:
		refused.Add(1)
	default:
		failed.Add(1)
	}
}
