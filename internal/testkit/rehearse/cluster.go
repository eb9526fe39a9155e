package rehearse

import (
	"context"
	"fmt"
	"net/netip"
	"path/filepath"
	"strings"
	"sync"
	"time"

	"tuliprock/internal/cluster/transport"
	"tuliprock/internal/testkit/clusterinvariant"
	"tuliprock/internal/testkit/faultnet"
)

// The bounds that the daemon's default times are to keep.
const (
	defaultDetectWithin = 6 * time.Second
	defaultSettleWithin = 3 * time.Second
	clusterPollInterval = 50 * time.Millisecond // between two looks at what a sidecar holds
	clusterPollTimeout  = time.Second           // for its answer

	// What a day's sidecars promise one another, where they agree.
	maxClockDrift       = 0.1
	maxConflictDuration = 2 * time.Second
	leaseDuration       = 6 * time.Second
	overrideInterval    = 1500 * time.Millisecond // somebody takes an endpoint out, or gives it back
)

// clusterMember is where a sidecar is heard by the others.
type clusterMember struct {
	clockEnv    string // of the environment; empty: its own
	incarnation int    // of its process; guarded by fleetWorld.mu
	config      string // [fleet], and the operators' address, as its file has them
	adminAddr   string
}

// cluster is a fleet that is being played; nil: there is none.
type cluster struct {
	w       *rehearsal
	net     *faultnet.Net
	members map[string]*clusterMember
	pollers sync.WaitGroup

	mu           sync.Mutex
	events       []clusterinvariant.Event
	acts         []clusterinvariant.Act
	activeFaults int
}

// buildCluster makes a place for each sidecar before the first tier.
func (w *rehearsal) buildCluster() error {
	day := w.plan.Day.Cluster
	if day == nil {
		return nil
	}
	f := &cluster{w: w, net: faultnet.New(w.plan.Seed, nil), members: map[string]*clusterMember{}}
	w.cluster = f
	var listens, told []netip.AddrPort
	var voters []string
	for i := range w.plan.Sidecars {
		at, err := freeLoopbackAddr(firstClusterAddr + i)
		if err != nil {
			return err
		}
		listen := netip.MustParseAddrPort(at)
		relay, err := f.net.Relay(sidecarName(i), listen)
		if err != nil {
			return err
		}
		listens, told = append(listens, listen), append(told, relay)
		if i < day.Voters {
			voters = append(voters, fmt.Sprintf("%q", sidecarName(i)))
		}
	}
	for i := range w.plan.Sidecars {
		admin, err := freeLoopbackAddr(firstClusterAddr + i)
		if err != nil {
			return err
		}
		text := fmt.Sprintf("admin_addr = %q\n[fleet]\ncluster = %q\nlisten = %q\nadvertise = %q\njoin = [%q, %q]\nvoters = [%s]\n", admin, w.plan.Day.Name,
			listens[i], told[i], told[0], told[len(told)/2], strings.Join(voters, ", "))
		for name, d := range map[string]time.Duration{"probe_every": day.ProbeInterval, "probe_timeout": day.ProbeTimeout, "suspicion": day.SuspicionTimeout} {
			if d > 0 {
				text += fmt.Sprintf("%s = %q\n", name, d)
			}
		}
		if day.HasConsensus {
			text += fmt.Sprintf("agreed = true\nconflict_within = %q\nlease = %q\nclock_drift = %v\n", maxConflictDuration, leaseDuration, maxClockDrift)
			if i < day.Voters {
				text += fmt.Sprintf("data_dir = %q\n", filepath.Join(w.workDir, sidecarName(i)+".data"))
			}
		}
		place := &clusterMember{config: text, adminAddr: admin}
		if day.ClockRate.Hi > 0 {
			place.clockEnv = fmt.Sprintf("%s=%v", transport.ClockRate, day.ClockRate.At(w.drawShare("clock", sidecarName(i))))
		}
		f.members[sidecarName(i)] = place
	}
	return nil
}

// firstClusterAddr is the number of the first loopback address of a fleet: beyond those of the sidecars.
const firstClusterAddr = 2000

func (f *cluster) member(name string) *clusterMember {
	if f == nil {
		return nil
	}
	return f.members[name]
}

// recordFact notes what was done to a sidecar.
func (f *cluster) recordFact(k clusterinvariant.Kind, of string) {
	if f == nil {
		return
	}
	f.mu.Lock()
	defer f.mu.Unlock()
	if k == clusterinvariant.Up {
		f.members[of].incarnation++
	}
	f.record(clusterinvariant.Event{Kind: k, Of: of})
}

// record notes an event. f.mu is held.
func (f *cluster) record(e clusterinvariant.Event) {
	e.At = f.w.recorder.Now()
	if len(f.events) < maxEvents/10 {
		f.events = append(f.events, e)
	}
}

// beginFault and calm say that something is wrong with links or processes, and that it is over.
func (f *cluster) beginFault() { f.countFault(1) }

func (f *cluster) endFault()   { f.countFault(-1) }

func (f *cluster) countFault(by int) {
	if f == nil {
		return
	}
	f.mu.Lock()
	defer f.mu.Unlock()
	was := f.activeFaults
	f.activeFaults += by
	switch {
	case was == 0:
		f.record(clusterinvariant.Event{Kind: clusterinvariant.Trouble})
	case f.activeFaults == 0:
		f.record(clusterinvariant.Event{Kind: clusterinvariant.Calm})
	}
}

// inject plays a trouble of links.
func (f *cluster) inject(ctx context.Context, start time.Time, s LinkFault) {
	if !sleep(ctx, time.Until(start.Add(s.At))) {
		return
	}
	f.beginFault()
	defer f.endFault()
	end := time.Now().Add(s.For)
	for on := true; time.Until(end) > 0; on = !on {
		l := s.linkState()
		if !on {
			l = faultnet.Link{}
		}
		f.setLinks(s, l)
		wait := time.Until(end)
		if s.Period > 0 {
			wait = min(wait, s.Period)
		}
		if !sleep(ctx, wait) {
			break
		}
	}
	f.setLinks(s, faultnet.Link{})
}

func (f *cluster) setLinks(s LinkFault, l faultnet.Link) {
	for i, part := range s.Parts {
		for _, other := range s.Parts[i+1:] {
			f.net.OneWay(part, other, l)
			if !s.IsOneWay {
				f.net.OneWay(other, part, l)
			}
		}
	}
}

func (f *cluster) close() {
	if f == nil {
		return
	}
	f.pollers.Wait()
	f.net.Close()
}
