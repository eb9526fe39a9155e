// Case 2: the body of one client's request is overwritten with the response to another client that has left.
package main

import (
	"bufio"
	"bytes"
	"encoding/json"
	"fmt"
	"io"
	"net"
	"net/http"
	"os"
	"path/filepath"
	"strconv"
	"sync"
	"sync/atomic"
	"time"

	"review/kit"
)

const (
	bursts       = 15
	leavers      = 60 // clients that leave in each burst
	uploaders    = 60 // clients that send a request at the time of each burst, and stay
	leaverBody   = 100_000
	uploaderBody = 90_000
	firstPart    = 30_000 // what an uploader sends at first
	answerBytes  = 150_000
)

var (
	record   *kit.Record
	foreign  atomic.Int64 // requests whose body at the endpoint is not the one that the client sent
	runs     atomic.Int64
	served   atomic.Int64
	refused  atomic.Int64
	failed   atomic.Int64
	lost     atomic.Int64
	wrong    atomic.Int64 // answers 200 with a body that no endpoint made for the request
	lastID   atomic.Int64
	troubled = os.Getenv("TROUBLE") != "0"
)

// pattern returns a body whose every 16 bytes name the request.
func pattern(id string, n int) []byte {
	unit := fmt.Sprintf("%-15.15s\n", id)
	return bytes.Repeat([]byte(unit), n/16+1)[:n]
}

func main() {
	root, folder := os.Args[1], os.Args[2]
	record = kit.NewRecord(folder)
	tmp, err := os.MkdirTemp("", "review-2-")
	if err != nil {
		kit.CannotRun(err)
	}
	var members []kit.Member
	for i := range 4 {
		l, err := net.Listen("tcp", "127.0.0.1:0")
		if err != nil {
			kit.CannotRun(err)
		}
		go func() { _ = http.Serve(l, http.HandlerFunc(serveEndpoint)) }()
		members = append(members, kit.Member{ID: fmt.Sprintf("s-%d", i), Addr: l.Addr().String(), Zone: "caboolture-depot", Kind: "front-std",
			Cell: 0, State: "Ready", Weight: 1})
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
	play(listen)
	if !sidecar.IsRunning() {
		record.Say("the sidecar has ended")
	}
	kit.StopAll()
	_ = os.RemoveAll(tmp)
	record.Say("runs %d, served %d, refused %d, failed %d, without an answer %d", runs.Load(), served.Load(), refused.Load(), failed.Load(), lost.Load())
	record.Say("requests that ran with a body that their client did not send: %d; answers that were not made for their request: %d", foreign.Load(), wrong.Load())
	if foreign.Load()+wrong.Load() > 0 {
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

// serveEndpoint is a sound endpoint: it reads the request to its last byte, and answers with a long body in small pieces.
func serveEndpoint(w http.ResponseWriter, r *http.Request) {
	body, err := io.ReadAll(r.Body)
	if err != nil {
		return
	}
	id := r.Header.Get("Req-Id")
	runs.Add(1)
	want := pattern(id, len(body))
	if !bytes.Equal(body, want) {
		foreign.Add(1)
		at := 0
		for body[at] == want[at] {
			at++
		}
		record.Line("endpoint: %s ran with a body of %d bytes that differs from byte %d on: %q", id, len(body), at, body[at:min(at+64, len(body))])
	} else {
		record.Line("endpoint: %s ran, %d bytes", id, len(body))
	}
	if r.URL.Path == "/bag-dispatch/short" {
		_, _ = w.Write(pattern("answer "+id, 400))
		return
	}
	answer := pattern("answer "+id, answerBytes)
	w.Header().Set("Content-Length", strconv.Itoa(len(answer)))
	flusher := w.(http.Flusher)
	// Small pieces: 100 bytes every 2 ms for 2 s, then the rest.
	time.Sleep(50 * time.Millisecond)
	for i := 0; len(answer) > 0; i++ {
		n := min(100, len(answer))
		if i > 1000 {
			n = len(answer)
		}
		if _, err := w.Write(answer[:n]); err != nil {
			return
		}
		flusher.Flush()
		answer = answer[n:]
		time.Sleep(2 * time.Millisecond)
	}
}

// play lets some clients send requests that get long answers, and closes their connections before the answers have begun to reach
// them. At that time other clients send requests, and stay.
func play(listen string) {
	for range bursts {
		var clients sync.WaitGroup
		leave, start := make(chan struct{}), make(chan struct{})
		for range leavers {
			clients.Go(func() { leaver(listen, leave) })
		}
		time.Sleep(430 * time.Millisecond)
		for range uploaders {
			clients.Go(func() { uploader(listen, start) })
		}
		time.Sleep(60 * time.Millisecond)
		record.Line("the clients leave, and others send")
		close(start)
		close(leave)
		clients.Wait()
	}
}

func head(id, path string, length int) []byte {
	return fmt.Appendf(nil, "POST %s HTTP/1.1\r\nHost: api.internal\r\nReq-Id: %s\r\nReq-Owner: council-post\r\nReq-Deadline-Ms: 5000\r\n"+
		"Idempotency-Key: k-%s\r\nContent-Length: %d\r\n\r\n", path, id, id, length)
}

// leaver sends a request with a long body. With the trouble it closes its connection before the answer has come.
func leaver(listen string, leave chan struct{}) {
	id := fmt.Sprintf("L%06d", lastID.Add(1))
	nc, err := net.Dial("tcp", listen)
	if err != nil {
		return
	}
	defer nc.Close()
	if _, err := nc.Write(append(head(id, "/bag-dispatch/long", leaverBody), pattern(id, leaverBody)...)); err != nil {
		return
	}
	if troubled {
		<-leave
		return
	}
	readAnswer(nc, id, answerBytes)
}

// uploader opens a connection, sends a request in two parts when it is told to, and stays.
func uploader(listen string, start chan struct{}) {
	id := fmt.Sprintf("U%06d", lastID.Add(1))
	nc, err := net.Dial("tcp", listen)
	if err != nil {
		return
	}
	defer nc.Close()
	body := pattern(id, uploaderBody)
	<-start
	if _, err := nc.Write(append(head(id, "/bag-dispatch/short", uploaderBody), body[:firstPart]...)); err == nil {
		time.Sleep(100 * time.Millisecond)
		_, _ = nc.Write(body[firstPart:])
	}
	readAnswer(nc, id, 400)
}

func readAnswer(nc net.Conn, id string, length int) {
	_ = nc.SetReadDeadline(time.Now().Add(7 * time.Second))
	resp, err := http.ReadResponse(bufio.NewReader(nc), nil)
	if err != nil {
		lost.Add(1)
		record.Line("client: %s has no answer: %v", id, err)
		return
	}
	content, err := io.ReadAll(resp.Body)
	record.Line("client: %s got %d, %d bytes, %v", id, resp.StatusCode, len(content), err)
	switch {
	case resp.StatusCode == 200 && err == nil && bytes.Equal(content, pattern("answer "+id, length)):
		served.Add(1)
	case resp.StatusCode == 200 && err == nil:
		wrong.Add(1)
		at, want := 0, pattern("answer "+id, length)
		for at < len(content) && at < len(want) && content[at] == want[at] {
			at++
		}
		record.Line("client: %s got an answer that was not made for it, from byte %d on: %q", id, at, content[at:min(at+64, len(content))])
	case resp.StatusCode == 503 || resp.StatusCode == 429:
		refused.Add(1)
	default:
		failed.Add(1)
	}
}
