package rehearse

import (
	"errors"
	"fmt"
	"io"
	"net"
	"time"

	"tuliprock/internal/cluster/status"
	"tuliprock/internal/testkit/clusterinvariant"
)

// startPollers looks at what the sidecars hold of one another, until done closes.
func (f *cluster) startPollers(done <-chan struct{}) {
	if f == nil {
		return
	}
	for name, place := range f.members {
		f.pollers.Go(func() { f.pollMembership(name, place, done) })
		if f.w.plan.Day.Cluster.HasConsensus {
			f.pollers.Go(func() { f.pollVersion(name, place, done) })
		}
	}
	if f.w.plan.Day.Cluster.HasConsensus {
		f.pollers.Go(func() { f.toggleOverride(done) })
	}
}

func (f *cluster) pollMembership(name string, place *clusterMember, done <-chan struct{}) {
	held := map[string]status.Peer{}
	for f.sleep(done, clusterPollInterval) {
		r, err := status.FetchFleet(place.adminAddr, clusterPollTimeout)
		if err != nil {
			if failed := (*net.OpError)(nil); errors.As(err, &failed) && failed.Op != "read" {
				clear(held) // nobody takes the call, and a process that is started again holds nothing of its former life
			}
			continue
		}
		f.recordView(name, r, held)
	}
}

// recordView notes what is new in a report.
func (f *cluster) recordView(name string, r *status.Fleet, held map[string]status.Peer) {
	f.mu.Lock()
	defer f.mu.Unlock()
	for _, p := range r.Peers {
		if was, ok := held[p.Name]; ok && was.State == p.State && was.Incarnation == p.Incarnation {
			continue
		}
		held[p.Name] = p
		f.record(clusterinvariant.Event{Kind: clusterinvariant.Saw, By: name, Of: p.Name, State: p.State, Incarnation: p.Incarnation})
	}
}

// pollVersion asks a sidecar which version it acts on, until done closes.
func (f *cluster) pollVersion(name string, place *clusterMember, done <-chan struct{}) {
	for f.sleep(done, clusterPollInterval) {
		f.mu.Lock()
		life := place.incarnation
		f.mu.Unlock()
		asked := f.w.recorder.Now()
		s, err := status.FetchSettings(place.adminAddr, clusterPollTimeout)
		if err != nil || !s.Acting {
			continue
		}
		act := clusterinvariant.Act{Asked: asked, Said: f.w.recorder.Now(), By: name, Life: life, Version: s.Version, Digest: fmt.Sprint(s.Documents)}
		f.mu.Lock()
		if life == place.incarnation && len(f.acts) < maxEvents/10 {
			f.acts = append(f.acts, act)
		}
		f.mu.Unlock()
	}
}

// toggleOverride takes an endpoint out and gives it back, again and again, at a sidecar that is drawn each time. What becomes of a call is
// for the versions to show.
func (f *cluster) toggleOverride(done <-chan struct{}) {
	nodes := f.w.hosts[0]
	for n := 0; f.sleep(done, overrideInterval); n++ {
		at := f.members[sidecarName(int(f.w.drawHash("hands", fmt.Sprint(n))%uint64(len(f.members))))]
		word := []string{"set-down", "set-up"}[n%2]
		if nc, err := net.DialTimeout("tcp", at.adminAddr, clusterPollTimeout); err == nil {
			_ = nc.SetDeadline(time.Now().Add(clusterPollTimeout))
			_, _ = fmt.Fprintf(nc, "%s %s\n", word, nodes[len(nodes)-1].plan.Spec.ID)
			_, _ = io.Copy(io.Discard, nc)
			nc.Close()
		}
	}
}

// sleep waits; false: it is over.
func (f *cluster) sleep(done <-chan struct{}, d time.Duration) bool {
	select {
	case <-done:
		return false
	case <-f.w.ctx.Done():
		return false
	case <-time.After(d):
		return true
	}
}
