package kit2

import (
	"bufio"
	"errors"
	"fmt"
	"io"
	"net"
	"net/http"
	"os"
	"strconv"
	"strings"
	"sync"
	"sync/atomic"
	"syscall"
	"time"
)

// tally counts how the requests of a case ended.
type tally struct {
	mu     sync.Mutex
	counts map[string]int
}

func (t *tally) add(kind string) {
	t.mu.Lock()
	defer t.mu.Unlock()
	if t.counts == nil {
		t.counts = map[string]int{}
	}
	t.counts[kind]++
}

func (t *tally) String() string {
	t.mu.Lock()
	defer t.mu.Unlock()
	return fmt.Sprint(t.counts)
}

// every calls f at a fixed rate until the given time, each call on a goroutine of its own, and waits for all calls.
func (e *env) every(interval, until time.Duration, f func(i int)) {
	var calls sync.WaitGroup
	for i := 0; e.now() < until; i++ {
		calls.Go(func() { f(i) })
		time.Sleep(interval)
	}
	calls.Wait()
}

// judgeAnswer records a violation if a request got no final answer in time, or one that no endpoint made for it.
func (e *env) judgeAnswer(a ask, r result) {
	switch r.kind {
	case "unanswered":
		e.violation("request %s (deadline %v) was written completely and got no final answer within %v", a.id, a.deadline, r.waited)
	case "wrong":
		e.violation("request %s got a foreign answer: %s", a.id, r.detail)
	}
}

// crowd: some thousand clients connect and stop half way in the head, or send nothing; other clients send requests meanwhile.
func crowd(e *env) {
	_, members := e.startEndpoints(4, 20*time.Millisecond)
	discovery := e.startAgent("discovery", 1, members)
	s := e.startSidecar("n1", discovery.addr, discovery.known(), limits{1, 96, 512}, settings("automatic"))
	const end = 20 * time.Second
	var ended tally
	var requests sync.WaitGroup
	requests.Go(func() {
		e.every(200*time.Millisecond, end, func(int) {
			a := ask{newID("look"), "item-lookup", 2300 * time.Millisecond, -1}
			r := e.send(s.addr, a)
			ended.add(r.kind)
			e.judgeAnswer(a, r)
		})
	})
	e.sleepUntil(3 * time.Second)
	var connected, left atomic.Int64
	if e.trouble {
		for i := range 1500 {
			conn, err := net.DialTimeout("tcp", s.addr, 5*time.Second)
			if err != nil {
				e.note("crowd client %d can't connect: %v", i, err)
				continue
			}
			connected.Add(1)
			if i%3 != 0 { // two in three stop half way, the others say nothing
				fmt.Fprintf(conn, "GET /item-lookup HTTP/1.1\r\nHost: api.internal\r\nReq-Id: crowd-%d\r\nReq-Dead", i)
			}
			go func() {
				_, _ = io.Copy(io.Discard, conn)
				conn.Close()
				left.Add(1)
			}()
		}
		e.note("crowd: %d clients have connected", connected.Load())
	}
	requests.Wait()
	e.note("crowd: %d of %d were answered or closed", left.Load(), connected.Load())
	if !s.isRunning() {
		e.violation("the sidecar has ended")
	}
	e.finish("requests: %v", &ended)
}

// judgeForwarded records a violation for each request that an endpoint got and that no client has sent.
func (e *env) judgeForwarded(endpoints []*endpoint, prefix string) {
	for _, ep := range endpoints {
		for _, a := range ep.got() {
			if strings.HasPrefix(a.id, prefix) {
				e.violation("%s got the request %s, which stood in the body of another request", ep.id, a.id)
			}
		}
	}
}

// talk writes parts to a new connection, and reads what comes for a while after each of them.
func (e *env) talk(addr string, parts ...string) {
	conn, err := net.DialTimeout("tcp", addr, 2*time.Second)
	if err != nil {
		e.cannot("%v", err)
	}
	defer conn.Close()
	for _, part := range parts {
		e.note("bad client sends %q", part)
		_, _ = io.WriteString(conn, part)
		_ = conn.SetReadDeadline(time.Now().Add(time.Second))
		text, _ := io.ReadAll(io.LimitReader(conn, 64<<10))
		e.note("bad client reads %q", text)
	}
}

// hiddenRequest is a request that stands in the body of another one.
func hiddenRequest(id string) string {
	return fmt.Sprintf("POST /bag-dispatch HTTP/1.1\r\nHost: api.internal\r\nReq-Id: %s\r\nReq-Deadline-Ms: 2500\r\n"+
		"Idempotency-Key: key-%s\r\nContent-Length: 3\r\n\r\nabc", id, id)
}

// smuggle: bad clients send requests to /_health that have a Content-Length and a Transfer-Encoding, so that another request may stand
// in their bodies: in HTTP/1.0, and in HTTP/1.1 right behind another request. Without trouble they send the same bytes as bodies that
// are framed in one way.
func smuggle(e *env) {
	endpoints, members := e.startEndpoints(4, 20*time.Millisecond)
	discovery := e.startAgent("discovery", 1, members)
	s := e.startSidecar("n1", discovery.addr, discovery.known(), limits{1, 128, 512}, settings("automatic"))
	const end = 11 * time.Second
	var ended tally
	var requests sync.WaitGroup
	requests.Go(func() {
		e.every(100*time.Millisecond, end, func(int) {
			a := ask{newID("look"), "item-lookup", 2300 * time.Millisecond, -1}
			r := e.send(s.addr, a)
			ended.add(r.kind)
			e.judgeAnswer(a, r)
		})
	})
	for range 2 {
		time.Sleep(500 * time.Millisecond)
		e.talk(s.addr, framedTwiceInHTTP10(hiddenRequest(newID("hidden-a")), e.trouble))
		e.talk(s.addr, framedTwiceBehindAnother(hiddenRequest(newID("hidden-b")), e.trouble))
	}
	requests.Wait()
	e.judgeForwarded(endpoints, "hidden-")
	if !s.isRunning() {
		e.violation("the sidecar has ended")
	}
	e.finish("requests: %v", &ended)
}

// framedTwiceInHTTP10 returns a request of HTTP/1.0 whose only chunk is the hidden request. Its Content-Length covers the line with the
// size of the chunk alone or, without trouble, the whole body, and there is no Transfer-Encoding.
func framedTwiceInHTTP10(hidden string, isTrouble bool) string {
	size := fmt.Sprintf("%x\r\n", len(hidden))
	body := size + hidden + "\r\n0\r\n\r\n"
	head := "POST /_health HTTP/1.0\r\nHost: api.internal\r\nConnection: keep-alive\r\n"
	if !isTrouble {
		return head + fmt.Sprintf("Content-Length: %d\r\n\r\n%s", len(body), body)
	}
	return head + fmt.Sprintf("Content-Length: %d\r\nTransfer-Encoding: chunked\r\n\r\n%s", len(size), body)
}

// framedTwiceBehindAnother returns a chunked request and, right behind it, one with a Content-Length and a Transfer-Encoding. By the
// Content-Length the hidden request stands in the body of the latter. Without trouble that one has no Content-Length, and the hidden
// request is its only chunk.
func framedTwiceBehindAnother(hidden string, isTrouble bool) string {
	const head, lastChunk = "POST /_health HTTP/1.1\r\nHost: api.internal\r\nTransfer-Encoding: chunked\r\n", "0\r\n\r\n"
	first := head + "\r\n" + lastChunk
	if !isTrouble {
		return first + head + fmt.Sprintf("\r\n%x\r\n%s\r\n%s", len(hidden), hidden, lastChunk)
	}
	return first + head + fmt.Sprintf("Content-Length: %d\r\n\r\n%s%s", len(lastChunk)+len(hidden), lastChunk, hidden)
}

// upload: two of six endpoints hang while clients send requests with long bodies.
func upload(e *env) {
	endpoints, members := e.startEndpoints(6, 20*time.Millisecond)
	discovery := e.startAgent("discovery", 1, members)
	s := e.startSidecar("n1", discovery.addr, discovery.known(), limits{1, 192, 1024}, settings("automatic"))
	const hangsAt, end = 3 * time.Second, 20 * time.Second
	var ended tally
	var requests sync.WaitGroup
	sizes := []int{9 << 19, 5 << 20, 11 << 19, 6 << 20, 13 << 19, 7 << 20}
	requests.Go(func() {
		e.every(250*time.Millisecond, end, func(i int) {
			a := ask{newID("bag"), "bag-dispatch", 3 * time.Second, sizes[i%len(sizes)]}
			r := e.send(s.addr, a)
			ended.add(r.kind)
			e.judgeAnswer(a, r)
		})
	})
	e.sleepUntil(hangsAt)
	if e.trouble {
		e.note("%s and %s hang from now on", endpoints[0].id, endpoints[1].id)
		endpoints[0].isHung.Store(true)
		endpoints[1].isHung.Store(true)
	}
	requests.Wait()
	if !s.isRunning() {
		e.violation("the sidecar has ended")
	}
	e.finish("requests: %v", &ended)
}

// told and grace are the figures of the rule on drains: a change counts as told 6 s after the watch fell silent at the latest, or 4 s
// after SIGHUP; then the settings allow 500 ms, and 50 ms more on sockets.
const (
	toldAfterSilence = 6 * time.Second
	toldAfterHangup  = 4 * time.Second
	drainGrace       = 550 * time.Millisecond
)

// judgeDrain records a violation for each request whose first byte came to a draining endpoint after the given time.
func (e *env) judgeDrain(ep *endpoint, after time.Duration) (late int) {
	for _, a := range ep.got() {
		if a.beganAt > after {
			if late++; late <= 5 {
				e.violation("%s drains and got %s at %.3f, %.3f s after the last instant that is allowed", ep.id, a.id, a.beganAt.Seconds(), (a.beganAt - after).Seconds())
			}
		}
	}
	return late
}

// lookups sends requests at a steady rate over a few kept connections.
func (e *env) lookups(s *sidecar, perSecond int, end time.Duration, ended *tally) *sync.WaitGroup {
	var clients sync.WaitGroup
	const count = 4
	for range count {
		clients.Go(func() {
			c := &keptClient{env: e, addr: s.addr}
			defer c.close()
			for e.now() < end {
				began := time.Now()
				a := ask{newID("look-" + s.name), "item-lookup", 2300 * time.Millisecond, -1}
				r := c.send(a)
				ended.add(r.kind)
				e.judgeAnswer(a, r)
				time.Sleep(time.Second*count/time.Duration(perSecond) - time.Since(began))
			}
		})
	}
	return &clients
}

// silence: discovery, which has to be asked, is down for 8 s. Later the open watch falls silent, and an endpoint begins to drain.
func silence(e *env) {
	endpoints, members := e.startEndpoints(4, 10*time.Millisecond)
	discovery := e.startAgent("discovery", 1, members)
	s := e.startSidecar("n1", discovery.addr, discovery.known(), limits{1, 128, 512}, settings("subscribe"))
	const end = 45 * time.Second
	var ended tally
	clients := e.lookups(s, 40, end, &ended)
	e.sleepUntil(3 * time.Second)
	if n, _ := discovery.openWatches(); n == 0 {
		e.cannot("the sidecar does not watch")
	}
	if e.trouble {
		discovery.setDown(true)
		time.Sleep(8 * time.Second)
		discovery.setDown(false)
	}
	e.sleepUntil(22 * time.Second)
	count, sentAt := discovery.openWatches()
	if count == 0 {
		e.cannot("the sidecar does not watch 11 s after the return of discovery")
	}
	for last := sentAt; last == sentAt && e.now() < 26*time.Second; { // a heartbeat comes every 2 s: begin right after one
		time.Sleep(10 * time.Millisecond)
		_, sentAt = discovery.openWatches()
	}
	silentSince := e.now()
	if e.trouble {
		discovery.silence()
	}
	time.Sleep(100 * time.Millisecond)
	drainsAt := e.now()
	discovery.set(endpoints[0].id, "Terminating")
	clients.Wait()
	toldAt := drainsAt + toldAfterSilence
	if at, ok := discovery.toldAt(endpoints[0].id, "Terminating"); ok {
		e.note("the drain was written to the sidecar at %.3f", at.Seconds())
		toldAt = min(toldAt, at)
	}
	e.note("silent since %.3f, drains since %.3f, counts as told at %.3f", silentSince.Seconds(), drainsAt.Seconds(), toldAt.Seconds())
	late := e.judgeDrain(endpoints[0], toldAt+drainGrace)
	if !s.isRunning() {
		e.violation("the sidecar has ended")
	}
	e.finish("requests: %v, sent to the draining endpoint too late: %d", &ended, late)
}

// move: discovery, which has to be asked, goes down; some seconds later SIGHUP names another address, where discovery is up and an
// endpoint drains. Five sidecars run side by side, each with an agent of its own.
func move(e *env) {
	endpoints, members := e.startEndpoints(4, 10*time.Millisecond)
	const end = 30 * time.Second
	var ended tally
	var clients []*sync.WaitGroup
	type pair struct {
		s        *sidecar
		old, new *agent
		movedAt  atomic.Int64
	}
	var pairs []*pair
	for i := range 5 {
		p := &pair{old: e.startAgent(fmt.Sprintf("old-%d", i+1), 1, members), new: e.startAgent(fmt.Sprintf("new-%d", i+1), 1, members)}
		p.s = e.startSidecar(fmt.Sprintf("n%d", i+1), p.old.addr, p.old.known(), limits{1, 128, 512}, settings("subscribe"))
		pairs = append(pairs, p)
		p.old.onFail = func(calls int) {
			if calls == 4 { // within the 8 s for which discovery is down
				time.AfterFunc(20*time.Millisecond, func() {
					p.s.config["discovery"] = p.new.addr
					p.s.writeConfig()
					p.movedAt.Store(int64(e.now()))
					p.s.signal(syscall.SIGHUP)
				})
			}
		}
		clients = append(clients, e.lookups(p.s, 20, end, &ended))
	}
	start := e.now()
	time.Sleep(2 * time.Second)
	for _, p := range pairs {
		if e.trouble {
			p.old.setDown(true)
		}
		p.new.set(endpoints[0].id, "Terminating")
	}
	if !e.trouble {
		time.Sleep(4 * time.Second)
		for _, p := range pairs {
			p.s.config["discovery"] = p.new.addr
			p.s.writeConfig()
			p.movedAt.Store(int64(e.now()))
			p.s.signal(syscall.SIGHUP)
		}
	}
	for _, c := range clients {
		c.Wait()
	}
	late := 0
	for _, p := range pairs {
		movedAt := time.Duration(p.movedAt.Load())
		if movedAt == 0 {
			e.note("%s was not moved", p.s.name)
			continue
		}
		e.note("%s: SIGHUP at %.3f, %.3f s after the beginning", p.s.name, movedAt.Seconds(), (movedAt - start).Seconds())
		limit := movedAt + toldAfterHangup + drainGrace
		for _, a := range endpoints[0].got() {
			if a.beganAt > limit && strings.HasPrefix(a.id, "look-"+p.s.name+"-") {
				if late++; late <= 5 {
					e.violation("%s drains and got %s at %.3f, %.3f s after SIGHUP", endpoints[0].id, a.id, a.beganAt.Seconds(), (a.beganAt - movedAt).Seconds())
				}
			}
		}
		if !p.s.isRunning() {
			e.violation("the sidecar %s has ended", p.s.name)
		}
	}
	e.finish("requests: %v, sent to the draining endpoint too late: %d", &ended, late)
}

// anonymousBytes returns the anonymous memory of a process, without the pages of files.
func (s *sidecar) anonymousBytes() int {
	text, err := os.ReadFile("/proc/" + strconv.Itoa(s.cmd.Process.Pid) + "/status")
	if err != nil {
		return 0
	}
	for line := range strings.Lines(string(text)) {
		if value, ok := strings.CutPrefix(line, "RssAnon:"); ok {
			kb, _ := strconv.Atoi(strings.Fields(value)[0])
			return kb << 10
		}
	}
	return 0
}

// bodies: bad clients send bodies of 60 MB to /_health, in chunks and at full speed.
func bodies(e *env) {
	const memoryMB = 96
	_, members := e.startEndpoints(4, 20*time.Millisecond)
	discovery := e.startAgent("discovery", 1, members)
	s := e.startSidecar("n1", discovery.addr, discovery.known(), limits{1, memoryMB, 512}, settings("automatic"))
	const end = 12 * time.Second
	var ended tally
	clients := e.lookups(s, 40, end, &ended)
	go func() {
		e.sleepUntil(3 * time.Second)
		for range 6 {
			if e.trouble {
				go e.sendLongBody(s.addr)
			}
		}
	}()
	peak := 0
	for e.now() < end && s.isRunning() {
		if now := s.anonymousBytes(); now > peak {
			peak = now
			e.note("anonymous memory of the sidecar: %.1f MiB", float64(peak)/(1<<20))
		}
		time.Sleep(5 * time.Millisecond)
	}
	clients.Wait()
	if peak > memoryMB<<20 {
		e.violation("the sidecar's anonymous memory reached %.1f MiB, and its limit is %d MiB", float64(peak)/(1<<20), memoryMB)
	}
	if !s.isRunning() {
		e.violation("the sidecar has ended")
	}
	e.finish("requests: %v, peak of anonymous memory: %.1f MiB", &ended, float64(peak)/(1<<20))
}

// sendLongBody sends a request with a chunked body of 60 MB to /_health, and reads what comes.
func (e *env) sendLongBody(addr string) {
	conn, err := net.DialTimeout("tcp", addr, 2*time.Second)
	if err != nil {
		e.note("bad client: %v", err)
		return
	}
	defer conn.Close()
	began := time.Now()
	_ = conn.SetDeadline(began.Add(6 * time.Second))
	_, err = io.WriteString(conn, "POST /_health HTTP/1.1\r\nHost: api.internal\r\nTransfer-Encoding: chunked\r\n\r\n")
	chunk := []byte(fmt.Sprintf("%x\r\n%s\r\n", 1<<16, strings.Repeat("x", 1<<16)))
	sent := 0
	for ; err == nil && sent < 60_000_000; sent += 1 << 16 {
		_, err = conn.Write(chunk)
	}
	if err == nil {
		_, err = io.WriteString(conn, "0\r\n\r\n")
	}
	text, _ := io.ReadAll(io.LimitReader(conn, 200))
	e.note("bad client sent %d bytes in %v (%v) and read %.60q", sent, time.Since(began), err, text)
}

// commands: some clients send many requests at once on a connection, beside clients that send one at a time.
func commands(e *env) {
	_, members := e.startEndpoints(8, 150*time.Millisecond)
	discovery := e.startAgent("discovery", 1, members)
	s := e.startSidecar("n1", discovery.addr, discovery.known(), limits{1, 128, 512}, settings("automatic"))
	const end = 20 * time.Second
	const deadline = 2300 * time.Millisecond
	var ended tally
	clients := e.lookups(s, 40, end, &ended)
	atOnce := 4
	if e.trouble {
		atOnce = 30
	}
	e.every(2*time.Second, end-6*time.Second, func(int) {
		conn, err := net.DialTimeout("tcp", s.addr, 2*time.Second)
		if err != nil {
			e.cannot("%v", err)
		}
		defer conn.Close()
		var asks []ask
		text := ""
		for range atOnce {
			a := ask{newID("many"), "item-lookup", deadline, -1}
			asks, text = append(asks, a), text+a.head()
		}
		if _, err := io.WriteString(conn, text); err != nil {
			e.note("many at once: %v", err)
			return
		}
		writtenAt := time.Now()
		_ = conn.SetReadDeadline(writtenAt.Add(deadline + slack))
		in := bufio.NewReader(conn)
		for i, a := range asks {
			response, err := http.ReadResponse(in, &http.Request{Method: "GET"})
			if err == nil {
				_, err = io.ReadAll(response.Body)
			}
			if err != nil && errors.Is(err, os.ErrDeadlineExceeded) {
				for _, a := range asks[i:] {
					ended.add("unanswered")
					e.judgeAnswer(a, e.ended(a, result{kind: "unanswered", waited: time.Since(writtenAt)}))
				}
				return
			}
			if err != nil {
				ended.add("closed")
				e.ended(a, result{kind: "closed", waited: time.Since(writtenAt), detail: err.Error()})
				return
			}
			ended.add(response.Status[:3])
			e.ended(a, result{kind: response.Status, waited: time.Since(writtenAt)})
		}
	})
	clients.Wait()
	e.finish("requests: %v", &ended)
}
