package sidecar

import (
	"context"
	"errors"
	"fmt"
	"io"
	"log/slog"
	"maps"
	"slices"
	"strings"
	"sync"
	"sync/atomic"
	"time"

	"tuliprock/internal/cluster/consensus"
	"tuliprock/internal/cluster/ordinal"
	"tuliprock/internal/cluster/raftnode"
	"tuliprock/internal/cluster/status"
	"tuliprock/internal/cluster/swim"
	"tuliprock/internal/cluster/transport"
	"tuliprock/internal/config"
	"tuliprock/internal/metrics"
	"tuliprock/internal/wal"
)

// clusterNode is this daemon's part among the others that an operators' file names; nil: it knows of none, listens for none and
// runs nothing for them.
type clusterNode struct {
	transport  *transport.Transport
	log        *slog.Logger
	spec       config.FleetSpec // as it was started
	stop       func()
	goroutines sync.WaitGroup

	raft             *raftnode.Node              // nil: nothing is agreed on
	ownFile          atomic.Pointer[config.File] // this daemon's own file, as it was read last
	rejectedRequests atomic.Uint64               // requests, since it was not sure which version others act on

	agreedEjections map[string]bool // endpoints that are out by agreement, as heed saw them last

	mu             sync.Mutex
	dividesPools   bool
	daemons, index int // as pools are told; 0: nothing yet
	pools          map[*pool]bool
}

var errClusterNeedsRestart = errors.New("fleet: whether there is one changes with a restart")

func transportOptions(f *config.FleetSpec, log *slog.Logger) (transport.Options, error) {
	o := transport.Options{Cluster: f.Cluster, Name: f.Name, Listen: f.Listen, Advertise: f.Advertise, Join: f.Join, Voters: f.Voters, Times: f.Times, Log: log}
	if f.KeyFile == "" {
		return o, nil
	}
	keys, err := transport.ReadKeys(f.KeyFile)
	if err != nil {
		return o, fmt.Errorf("fleet.key_file: %w", err)
	}
	o.Keys = keys
	return o, nil
}

func startCluster(c config.Service, log *slog.Logger) (*clusterNode, error) {
	f := c.Fleet
	if f == nil {
		return nil, nil
	}
	o, err := transportOptions(f, log)
	if err != nil {
		return nil, err
	}
	l, err := transport.Start(o)
	if err != nil {
		return nil, err
	}
	log.Info("in a fleet", "cluster", f.Cluster, "addr", l.Addr())
	t := &clusterNode{transport: l, log: log, spec: *f, dividesPools: f.Divide, pools: map[*pool]bool{}}
	t.ownFile.Store(c.File)
	if f.Agreed != nil {
		if t.raft, err = t.startRaft(); err != nil {
			return nil, errors.Join(fmt.Errorf("fleet.data_dir: %w", err), l.Abort())
		}
	}
	ctx, stop := context.WithCancel(context.Background())
	t.stop = stop
	t.goroutines.Go(func() { t.watchMembers(ctx) })
	return t, nil
}

func (t *clusterNode) startRaft() (*raftnode.Node, error) {
	f := t.spec
	o := raftnode.Options{Name: f.Name, Voters: f.Voters, Lease: f.Agreed.Terms, Transport: t.transport, Now: t.transport.Now, Log: t.log, Installs: true,
		Check: func(docs map[string]consensus.Document) error {
			return t.ownFile.Load().CheckDocuments(documentBodies(docs))
		}}
	if f.Agreed.DataDir != "" {
		disk, err := wal.Dir(f.Agreed.DataDir)
		if err != nil {
			return nil, err
		}
		o.Disk = disk
	}
	return raftnode.Start(o)
}

// firstGrantTimeout is how long a daemon that starts waits to hear what is agreed before it takes callers: two elections.
const firstGrantTimeout = 2 * time.Second

// awaitFirstGrant waits for what is agreed, and makes what is out by it be out here, before the first caller is taken.
func (t *clusterNode) awaitFirstGrant(h *overrides) {
	if !t.hasConsensus() {
		return
	}
	select {
	case <-t.raft.FirstGrant():
	case <-time.After(firstGrantTimeout):
		a, _ := t.raft.Valid()
		t.log.Warn("no voter has said what is agreed; what is known from before holds", "after", firstGrantTimeout, "version", a.Version)
	}
	t.agreedEjections = h.applyAgreed(context.Background(), nil, t.ejectedIDs())
}

// watchAgreement takes up what is agreed from then on.
func (t *clusterNode) watchAgreement(s *Sidecar) {
	if !t.hasConsensus() {
		return
	}
	ctx, stop := context.WithCancel(context.Background())
	was := t.stop
	t.stop = func() { stop(); was() }
	t.goroutines.Go(func() {
		for {
			select {
			case <-ctx.Done():
				return
			case <-t.raft.Changed():
				t.agreedEjections = s.overrides.applyAgreed(ctx, t.agreedEjections, t.ejectedIDs())
				if err := s.installAgreedSettings(); err != nil && !errors.Is(err, errShuttingDown) {
					t.log.Error("what is agreed on is not taken up", "err", err)
				}
			}
		}
	})
}

// ejectedIDs are the endpoints that are agreed to be out. Where the lease has run out the last word stands: it only forbids.
func (t *clusterNode) ejectedIDs() map[string]bool {
	out := map[string]bool{}
	a, _ := t.raft.Valid()
	for name := range a.Docs {
		if id, ok := strings.CutPrefix(name, config.OutPrefix); ok {
			out[id] = true
		}
	}
	return out
}

// proposeEjection has what a call has done here done on all, and says what became of that.
func (t *clusterNode) proposeEjection(ctx context.Context, id string, out bool) string {
	if !t.hasConsensus() {
		return ""
	}
	c := consensus.Command{By: t.spec.Name, At: time.Now().UnixMilli(), Remove: config.OutPrefix + id}
	if out {
		c.Remove, c.Put = "", &consensus.DocumentPut{Name: config.OutPrefix + id}
	}
	version, err := t.raft.ProposeVersion(ctx, c)
	if err != nil {
		return fmt.Sprintf(" here; for the others: %v", err)
	}
	return fmt.Sprintf(", on all daemons with version %d", version)
}

// writeSettings writes what is agreed, as this daemon acts on it.
func (t *clusterNode) writeSettings(w io.Writer) error {
	if !t.hasConsensus() {
		return errNoConsensus
	}
	s, a := t.settingsStatus()
	for _, name := range slices.Sorted(maps.Keys(a.Docs)) {
		d := a.Docs[name]
		s.Documents = append(s.Documents, status.Document{Name: name, Version: d.Version, By: d.By, Bytes: len(d.Body), SHA256: fmt.Sprintf("%x", d.Digest)})
	}
	return s.Write(w)
}

// writeVersions is settings without the documents.
func (t *clusterNode) writeVersions(w io.Writer) error {
	if !t.hasConsensus() {
		return errNoConsensus
	}
	s, _ := t.settingsStatus()
	return s.Write(w)
}

func (t *clusterNode) settingsStatus() (*status.Settings, *consensus.LeasedVersion) {
	a, _ := t.raft.Valid()
	is := t.raft.Status()
	s := &status.Settings{Version: a.Version, Acting: t.raft.CoversVersion(a.Version), LeaseMs: t.raft.LeaseRemaining().Milliseconds(), Votes: is.Votes, Leads: is.Leads, Leader: is.Leader,
		Term: is.Term, Committed: is.Committed, Coming: is.Coming, All: is.All, Declined: is.Declined, Why: is.Why, Refused: t.rejectedRequests.Load(), Voters: strings.Join(is.Voters, ","), Sitting: strings.Join(is.Sitting, ",")}
	for _, l := range is.Lagging {
		s.Lags = append(s.Lags, status.Lag{Daemon: l.Daemon, Why: l.Why})
	}
	return s, a
}

// prepareReload takes up what a reload may change. Keys are read before anything is changed.
func (t *clusterNode) prepareReload(f *config.FleetSpec) (commit func(), _ error) {
	switch {
	case t == nil && f == nil:
		return func() {}, nil
	case t == nil || f == nil:
		return nil, errClusterNeedsRestart
	}
	o, err := transportOptions(f, t.log)
	if err != nil {
		return nil, err
	}
	return func() {
		was := t.spec
		if was.Name != f.Name || was.Cluster != f.Cluster || was.Listen != f.Listen || was.Advertise != f.Advertise || was.Divide != f.Divide {
			t.log.Warn("fleet: name, cluster, listen, advertise, and whether daemons and index are given, change with a restart only")
		}
		if t.raft != nil && !slices.Equal(was.Voters, f.Voters) {
			t.log.Warn("fleet: voters stay as they are where settings are agreed on")
			o.Voters = was.Voters
		}
		t.transport.Reconfigure(o) // always: the key file may hold others than before under the same name
	}, nil
}

// watchMembers tells the pools among how many they share, as views change.
func (t *clusterNode) watchMembers(ctx context.Context) {
	var seats ordinal.Tracker
	timer := time.NewTimer(0)
	defer timer.Stop()
	for {
		select {
		case <-ctx.Done():
			return
		case <-t.transport.Changed():
		case <-timer.C:
		}
		now := t.transport.Now()
		daemons, index, again := seats.Update(now, t.transport.View())
		if again > 0 {
			timer.Reset(again - now)
		}
		t.setBalancerCount(daemons, index)
	}
}

// setBalancerCount tells all pools, if that is news.
func (t *clusterNode) setBalancerCount(daemons, index int) {
	t.mu.Lock()
	news := daemons != t.daemons || index != t.index
	t.daemons, t.index = daemons, index
	var pools []*pool
	for p := range t.pools {
		pools = append(pools, p)
	}
	t.mu.Unlock()
	if !news || !t.dividesPools {
		return
	}
	t.log.Info("the pools are shared among the fleet", "daemons", daemons, "index", index)
	for _, p := range pools { // on this goroutine alone: a pool that is busy delays nobody but the other pools' news
		p.loop.Post(func(now time.Duration) { p.loop.SetBalancerCount(now, daemons, index) })
	}
}

// addPool has a new pool told like the others.
func (t *clusterNode) addPool(p *pool) {
	if t == nil {
		return
	}
	t.mu.Lock()
	t.pools[p] = true
	daemons, index := t.daemons, t.index
	t.mu.Unlock()
	if t.dividesPools && daemons > 0 {
		p.loop.Post(func(now time.Duration) { p.loop.SetBalancerCount(now, daemons, index) })
	}
}

func (t *clusterNode) removePool(p *pool) {
	if t == nil {
		return
	}
	t.mu.Lock()
	defer t.mu.Unlock()
	delete(t.pools, p)
}

// close says goodbye to the others and returns when nothing runs any more.
func (t *clusterNode) close() error {
	if t == nil {
		return nil
	}
	t.stop()
	t.goroutines.Wait()
	var err error
	if t.raft != nil {
		err = t.raft.Close()
	}
	return errors.Join(err, t.transport.Close())
}

var errNoCluster = errors.New("this daemon is in no fleet")

// writePeers writes what this daemon holds of the others: a line for itself and one for each, itself included.
func (t *clusterNode) writePeers(w io.Writer) error {
	if t == nil {
		return errNoCluster
	}
	t.mu.Lock()
	daemons, index := t.daemons, t.index
	t.mu.Unlock()
	return status.FleetFromView(t.transport.View(), t.transport.Now(), daemons, index).Write(w)
}

// gauges are the figures of the fleet; none where there is none.
func (t *clusterNode) gauges() (out []metrics.Gauge) {
	if t == nil {
		return nil
	}
	if t.hasConsensus() {
		is, _ := t.settingsStatus()
		out = append(out, metrics.Gauge{Name: "settings_version", Value: int64(is.Version)}, metrics.Gauge{Name: "settings_all", Value: int64(is.All)},
			metrics.Gauge{Name: "settings_lease_ms", Value: is.LeaseMs}, metrics.Gauge{Name: "settings_term", Value: int64(is.Term)}, metrics.Gauge{Name: "settings_leads", Value: boolGauge(is.Leads)},
			metrics.Gauge{Name: "settings_lagging", Value: int64(len(is.Lags))}, metrics.Gauge{Name: "settings_refused", Value: int64(is.Refused), Counts: true})
	}
	v := t.transport.View()
	n := [4]int64{}
	for _, m := range v.Members {
		n[m.State]++
	}
	for s := swim.Alive; s.Valid(); s++ {
		out = append(out, metrics.Gauge{Name: "peers_" + s.String(), Value: n[s]})
	}
	f := t.transport.Metrics()
	out = append(out, metrics.Gauge{Name: "peers_standing", Value: int64(v.Connectivity)})
	for _, c := range []struct {
		name  string
		value uint64
	}{{"received", f.Received}, {"sent", f.Sent}, {"bytes", f.Bytes}, {"damaged", f.Damaged}, {"foreign", f.Foreign}, {"forged", f.Forged},
		{"replayed", f.Replayed}, {"flooded", f.Flooded}, {"full", f.Full}} {
		out = append(out, metrics.Gauge{Name: "peers_" + c.name, Value: int64(c.value), Counts: true})
	}
	return out
}

func boolGauge(is bool) int64 {
	if is {
		return 1
	}
	return 0
}
