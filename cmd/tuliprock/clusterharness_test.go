package main

import (
	"fmt"
	"io"
	"net"
	"net/http"
	"net/netip"
	"path/filepath"
	"slices"
	"strings"
	"sync/atomic"
	"syscall"
	"testing"
	"time"

	"tuliprock/internal/testkit/faultnet"
	"tuliprock/internal/testkit/testpeer"
)

// councilDaemons are daemons on links that break, some of them voters, before two nodes that count who comes.
type councilDaemons struct {
	t     *testing.T
	net   *faultnet.Net
	ds    []*fleetDaemon
	nodes [2]*testpeer.Endpoint
	came  [2]atomic.Int64
	saw   func(r *http.Request) // of each request that comes; may be nil
	dir   string                // of the daemons' data, by name
}

const conflictWithin = time.Second

// councilOf says what daemons there are.
type councilOf struct {
	daemons, voters int
	remember        bool   // all have a data_dir
	shared          string // what else their files have
	saw             func(r *http.Request)
}

func newCouncil(t *testing.T, o councilOf) *councilDaemons {
	t.Helper()
	c := &councilDaemons{t: t, net: faultnet.New(1, func(text string) { t.Log(text) }), dir: t.TempDir(), saw: o.saw}
	t.Cleanup(c.net.Close)
	for i := range c.nodes {
		c.nodes[i] = testpeer.NewEndpoint(t, func(nc net.Conn, r *http.Request, _ int) bool {
			if c.came[i].Add(1); c.saw != nil {
				c.saw(r)
			}
			_, err := io.WriteString(nc, testpeer.Served)
			return err == nil
		})
	}
	told, listens, voters := map[string]string{}, []string{}, []string{}
	for i := range o.daemons {
		name, listen := fmt.Sprint("s", i), own(t, 60+i)
		relay, err := c.net.Relay(name, netip.MustParseAddrPort(listen))
		if err != nil {
			t.Fatal(err)
		}
		told[name] = relay.String()
		listens = append(listens, listen)
		if i < o.voters {
			voters = append(voters, name)
		}
	}
	fleetNode = c.nodes[0].Addr + "\" }, { address = \"" + c.nodes[1].Addr
	fleetShared = o.shared
	fleetMore = func(name string) string {
		more := fmt.Sprintf(`, advertise = %q, agreed = true, voters = ["%s"], conflict_within = %q, lease = "2s"`, told[name], strings.Join(voters, `", "`), conflictWithin)
		if o.remember || slices.Contains(voters, name) {
			more += fmt.Sprintf(", data_dir = %q", filepath.Join(c.dir, name))
		}
		return more
	}
	defer func() { fleetNode, fleetShared, fleetMore = nobody, "", func(string) string { return "" } }()
	key := keyFile(t, 1)
	for i := range o.daemons {
		c.ds = append(c.ds, inFleet(t, fmt.Sprint("s", i), "c", listens[i], key, told["s0"], told["s1"], told["s2"]))
	}
	return c
}

// call makes one call at a daemon's operators' address.
func (d *fleetDaemon) call(line string) string {
	nc, err := net.DialTimeout("tcp", d.admin, reportTimeout)
	if err != nil {
		return err.Error()
	}
	defer nc.Close()
	_ = nc.SetDeadline(time.Now().Add(reportTimeout))
	_, _ = io.WriteString(nc, line+"\n")
	text, _ := io.ReadAll(nc)
	return string(text)
}

// agrees calls until the answer is that all daemons act on it: while voters are elected nothing is agreed on.
func (c *councilDaemons) agrees(d *fleetDaemon, line string) {
	c.t.Helper()
	const want = "on all daemons with version"
	testpeer.Until(c.t, line+": "+want, func() bool { return strings.Contains(d.call(line), want) })
}

// holds waits until daemons act on an endpoint being out, or not.
func (c *councilDaemons) holds(ds []*fleetDaemon, node int, out bool) {
	c.t.Helper()
	began := time.Now()
	for _, d := range ds {
		testpeer.Until(c.t, fmt.Sprintf("%s holds node %d for out: %v", d.listen, node, out), func() bool {
			text := d.call("settings")
			return strings.Contains(text, "acting=true") && strings.Contains(text, "name=out/"+c.nodes[node].Addr+" ") == out
		})
	}
	c.t.Logf("after %v all hold node %d for out: %v", time.Since(began).Round(time.Millisecond), node, out)
}

// asks sends requests through daemons, and tells how many came to a node meanwhile.
func (c *councilDaemons) asks(ds []*fleetDaemon, node int) int64 {
	c.t.Helper()
	before := c.came[node].Load()
	for _, d := range ds {
		for range 20 {
			resp, err := http.Get("http://" + d.http + "/x")
			if err != nil {
				c.t.Fatal(err)
			}
			resp.Body.Close()
		}
	}
	return c.came[node].Load() - before
}

func (c *councilDaemons) leader() int {
	for i, d := range c.ds[:3] {
		if strings.Contains(d.call("settings"), "leads=true") {
			return i
		}
	}
	return -1
}

// Five real processes: what is taken out at any holds on all; through a cut, a leader killed, a leader stopped, and all killed
// at once nothing that was agreed is lost, and nothing goes where it is out.
func TestWhatIsOutIsOutOnAll(t *testing.T) {
	c := newCouncil(t, councilOf{daemons: 5, voters: 3})
	first, second := c.nodes[0].Addr, c.nodes[1].Addr
	c.agrees(c.ds[3], "set-down "+first)
	c.holds(c.ds, 0, true)
	if n := c.asks(c.ds, 0); n > 0 {
		t.Errorf("%d requests came to what is out", n)
	}

	if code, out, errs := run(t, program("settings", "--at", c.ds[0].admin, "--json", "-")); code != exitOK || !strings.Contains(out, `"format":1,"version":`) || !strings.Contains(out, `"name":"out/`+first) {
		t.Errorf("settings: %d %s %s", code, out, errs)
	}

	away := c.ds[4]
	c.net.Between([]string{"s4"}, []string{"s0", "s1", "s2", "s3"}, faultnet.Link{Cut: true})
	testpeer.Until(t, "who is cut off has no lease", func() bool { return strings.Contains(away.call("settings"), "acting=false") })
	c.agrees(c.ds[0], "set-up "+first)
	c.holds(c.ds[:4], 0, false)
	if n := c.asks([]*fleetDaemon{away}, 0); n > 0 {
		t.Errorf("%d requests by who was cut off came to what is out for it", n)
	}
	if said := away.call("set-down " + second); !strings.HasPrefix(said, "SUCCESS") || !strings.Contains(said, "here; for the others: no majority") {
		t.Errorf("a call at who is cut off: %q", said)
	}
	if n := c.asks([]*fleetDaemon{away}, 1); n > 0 {
		t.Errorf("%d requests came to what was taken out here", n)
	}
	c.net.Heal()
	c.holds(c.ds, 0, false)
	c.agrees(away, "set-up "+second)

	leads := c.leader()
	if leads < 0 {
		t.Fatal("nobody leads")
	}
	killed := c.ds[leads]
	killed.signal(t, syscall.SIGKILL)
	_ = killed.ended()
	c.agrees(c.ds[3], "set-down "+second)
	var rest []*fleetDaemon
	for _, d := range c.ds {
		if d != killed {
			rest = append(rest, d)
		}
	}
	c.holds(rest, 1, true)
	killed.begin(t)
	if n := c.asks([]*fleetDaemon{killed}, 1); n > 0 {
		t.Errorf("%d requests came to what is out by who was away", n)
	}

	if leads = c.leader(); leads < 0 {
		t.Fatal("nobody leads")
	}
	stopped := c.ds[leads]
	stopped.signal(t, syscall.SIGSTOP)
	other := c.ds[(leads+1)%3]
	c.agrees(other, "set-up "+second)
	stopped.signal(t, syscall.SIGCONT)
	c.holds(c.ds, 1, false)
	c.agrees(stopped, "set-down "+first)
	c.holds(c.ds, 0, true)

	for _, d := range c.ds {
		d.signal(t, syscall.SIGKILL)
		_ = d.ended()
	}
	for _, d := range c.ds {
		d.daemonRun = start(t, "serve", "--config", d.path)
	}
	for _, d := range c.ds {
		d.await(t, "msg=listening")
	}
	c.holds(c.ds, 0, true)
	if n := c.asks(c.ds, 0); n > 0 {
		t.Errorf("%d requests came to what was out before all were killed", n)
	}
}
