package rehearse

import (
	"cmp"
	"context"
	"errors"
	"fmt"
	"io"
	"math/rand/v2"
	"net"
	"net/netip"
	"path/filepath"
	"slices"
	"strings"
	"sync"
	"time"

	"tuliprock/internal/cluster/status"
	"tuliprock/internal/cluster/transport"
	"tuliprock/internal/testkit/clusterinvariant"
	"tuliprock/internal/testkit/faultnet"
	"tuliprock/internal/tomlfile"
)

// ClusterConfig makes a fleet of the sidecars before the first tier. They are started on operators' files.
type ClusterConfig struct {
	Voters           int            `toml:"voters"`
	ProbeInterval    time.Duration  `toml:"probe_every"`   // 0: the daemon's own
	ProbeTimeout     time.Duration  `toml:"probe_timeout"` //
	SuspicionTimeout time.Duration  `toml:"suspicion"`     //
	ClockRate        tomlfile.Range `toml:"clock"`         // how fast each sidecar's clock runs, drawn for each; only programs built with the race detector heed it
	DetectWithin     time.Duration  `toml:"detect"`        // until all others know of one that is gone, where nothing else is wrong
	SettleWithin     time.Duration  `toml:"settle"`        // after the last fault, until all views are right
	HasConsensus     bool           `toml:"agreed"`        // they agree on endpoints out by hand, and one is taken out and given back all day
}

// LinkFaultSpec is something that goes wrong between sidecars.
type LinkFaultSpec struct {
	Kind        string         `toml:"kind"`
	At          tomlfile.Span  `toml:"at"`
	For         tomlfile.Span  `toml:"for"`
	Parts       int            `toml:"parts"`  // into which the sidecars are dealt by the seed; what passes from one to another is hit
	IsolatesOne bool           `toml:"alone"`  // one sidecar against all others, in place of parts
	HasBridge   bool           `toml:"bridge"` // one sidecar is well with all
	IsOneWay    bool           `toml:"one_way"`
	Period      tomlfile.Span  `toml:"every"` // it comes and goes, for so long each
	Magnitude   tomlfile.Range `toml:"size"`
}

// linkFaultHasMagnitude tells of each kind whether it has a size.
var linkFaultHasMagnitude = map[string]bool{
	"cut":       false, // datagrams vanish, streams stall
	"reset":     false, // streams are reset
	"loss":      true,  // size: share of datagrams that vanish
	"duplicate": true,  // size: share that comes twice
	"delay":     true,  // size: seconds on top, and as much at random: later ones overtake
}

// LinkFault is a LinkTrouble with all that it draws.
type LinkFault struct {
	Kind      string
	At, For   time.Duration
	Parts     [][]string
	IsOneWay  bool          `json:"OneWay"`
	Period    time.Duration `json:"Every"` // 0: without a break
	Magnitude float64       `json:"Size"`
}

func (d *Day) checkCluster(f *tomlfile.File) error {
	if t := d.Cluster; t != nil {
		if t.DetectWithin == 0 {
			t.DetectWithin = defaultDetectWithin
		}
		if t.SettleWithin == 0 {
			t.SettleWithin = defaultSettleWithin
		}
		if err := f.Check("fleet", []tomlfile.Must{
			tomlfile.Need("voters", t.Voters >= 0 && float64(t.Voters) <= d.Sidecars.Count.Lo && (t.Voters == 0 || t.Voters%2 == 1), "0 or an odd number, of the sidecars"),
			tomlfile.Need("agreed", !t.HasConsensus || t.Voters > 0 && t.ClockRate.Hi <= 1+maxClockDrift && t.ClockRate.Lo >= 1-maxClockDrift, fmt.Sprintf("beside voters, and clocks within %v", maxClockDrift)),
			tomlfile.Need("clock", t.ClockRate.Hi == 0 || t.ClockRate.Lo >= 0.5 && t.ClockRate.Hi <= 2, "from 0.5 to 2"),
			tomlfile.Need("detect", t.DetectWithin > 0, "over 0"),
			tomlfile.Need("settle", t.SettleWithin > 0, "over 0"),
		}); err != nil {
			return err
		}
	}
	for i, t := range d.LinkFaults {
		size, ok := linkFaultHasMagnitude[t.Kind]
		if err := f.Check(fmt.Sprintf("link_trouble[%d]", i), []tomlfile.Must{
			tomlfile.Need("kind", ok, "cut, reset, loss, duplicate or delay"),
			tomlfile.Need("kind", d.Cluster != nil, "of a day with a fleet"),
			tomlfile.Need("at", t.At.Hi < d.Length, "before the day's end"),
			tomlfile.Need("for", t.For.Lo > 0, "over 0"),
			tomlfile.Need("parts", t.Parts == 0 || t.Parts >= 2 && !t.IsolatesOne && float64(t.Parts) <= d.Sidecars.Count.Lo, "2 at least, one sidecar each, and not beside alone"),
			tomlfile.Need("size", (t.Magnitude.Lo > 0) == size, "over 0 where the trouble has a size, and only there"),
			tomlfile.Need("size", t.Kind == "delay" || t.Magnitude.Hi <= 1, "a share"),
		}); err != nil {
			return err
		}
	}
	return nil
}

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

// drawLinkFaults deals the sidecars to parts.
func (p *Plan) drawLinkFaults() {
	rng := newSource(p.Seed, sourceLinkFaults)
	for _, t := range p.Day.LinkFaults {
		s := LinkFault{Kind: t.Kind, At: t.At.At(rng.Float64()), For: t.For.At(rng.Float64()), IsOneWay: t.IsOneWay, Period: t.Period.At(rng.Float64()), Magnitude: t.Magnitude.At(rng.Float64())}
		s.Parts = p.partition(rng, t)
		p.LinkFaults = append(p.LinkFaults, s)
	}
}

// partition makes parts of the sidecars: without a word of it each is a part of its own.
func (p *Plan) partition(rng *rand.Rand, t LinkFaultSpec) [][]string {
	var names []string
	for _, i := range rng.Perm(p.Sidecars) {
		names = append(names, sidecarName(i))
	}
	if t.HasBridge {
		names = names[1:]
	}
	n := t.Parts
	switch {
	case t.IsolatesOne:
		return [][]string{names[:1], names[1:]}
	case n == 0:
		n = len(names)
	}
	parts := make([][]string, n)
	for i, name := range names {
		parts[i%n] = append(parts[i%n], name)
	}
	for _, part := range parts {
		slices.Sort(part)
	}
	return parts
}

// linkState is what becomes of the links that are hit.
func (s *LinkFault) linkState() faultnet.Link {
	switch s.Kind {
	case "cut":
		return faultnet.Link{Cut: true}
	case "reset":
		return faultnet.Link{Reset: true}
	case "loss":
		return faultnet.Link{Loss: s.Magnitude}
	case "duplicate":
		return faultnet.Link{Duplicate: s.Magnitude}
	}
	d := time.Duration(s.Magnitude * float64(time.Second))
	return faultnet.Link{Delay: d, Jitter: d}
}

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

func (f *cluster) close() {
	if f == nil {
		return
	}
	f.pollers.Wait()
	f.net.Close()
}

// ClusterResult is what a day with a fleet showed of it.
type ClusterResult struct {
	Held             bool                `json:"held"`
	Rules            []ClusterRuleResult `json:"rules"`
	DetectionSeconds float64             `json:"detect_s"` // the longest time until all others knew of one that was gone, where nothing else was wrong
	SettleSeconds    float64             `json:"settle_s"` // the longest time after the last fault until all views were right
	Events           int                 `json:"events"`

	Acts                 int     `json:"acts,omitempty"`            // that a sidecar was asked which version it acts on, and had a lease
	Versions             int     `json:"versions,omitempty"`        // that were acted on
	ContradictionSeconds float64 `json:"contradiction_s,omitempty"` // the longest that is certain
}

// ClusterRuleResult is the finding on one rule of a fleet.
type ClusterRuleResult struct {
	Name       string                    `json:"name"`
	Verdict    string                    `json:"verdict"` // held, broken or not put to the test
	Tests      int                       `json:"tests"`
	Violations []clusterinvariant.Breach `json:"breaches"`
}

// check holds the day's timeline against the rules of a fleet.
func (f *cluster) check(dayStart, end time.Duration) *ClusterResult {
	if f == nil {
		return nil
	}
	f.pollers.Wait()
	f.mu.Lock()
	defer f.mu.Unlock()
	day := f.w.plan.Day.Cluster
	v := clusterinvariant.Judge(f.events, clusterinvariant.Limits{Detect: day.DetectWithin, Settle: day.SettleWithin, End: end})
	p := &ClusterResult{Held: len(v.Breaches) == 0, DetectionSeconds: v.Detect.Seconds(), SettleSeconds: v.Settle.Seconds(), Events: len(f.events)}
	rules := clusterinvariant.Rules
	if day.HasConsensus {
		slices.SortStableFunc(f.acts, func(a, b clusterinvariant.Act) int { return cmp.Compare(a.Said, b.Said) })
		versions := clusterinvariant.JudgeVersions(f.acts, maxConflictDuration)
		p.Acts, p.Versions, p.ContradictionSeconds = versions.Acts, versions.Versions, versions.Longest.Seconds()
		v.Breaches = append(v.Breaches, versions.Breaches...)
		p.Held = len(v.Breaches) == 0
		rules = append(slices.Clone(rules), clusterinvariant.VersionRules...)
		for _, rule := range clusterinvariant.VersionRules {
			v.Tested[rule] = max(versions.Versions-1, 0)
		}
	}
	for _, rule := range rules {
		r := ClusterRuleResult{Name: string(rule), Verdict: "held", Tests: v.Tested[rule], Violations: []clusterinvariant.Breach{}}
		for _, b := range v.Breaches {
			if b.Rule == rule && len(r.Violations) < maxReportedViolations {
				b.At -= dayStart
				r.Violations = append(r.Violations, b)
			}
		}
		switch {
		case len(r.Violations) > 0:
			r.Verdict = "broken"
		case r.Tests == 0:
			r.Verdict = "not put to the test"
		}
		p.Rules = append(p.Rules, r)
	}
	return p
}

const maxReportedViolations = 20

// writeText writes the finding in words.
func (p *ClusterResult) writeText(b *strings.Builder) {
	if p == nil {
		return
	}
	for _, r := range p.Rules {
		fmt.Fprintf(b, "fleet   %s: %s (%d)\n", r.Name, r.Verdict, r.Tests)
		for _, x := range r.Violations[:min(len(r.Violations), 3)] {
			fmt.Fprintf(b, "  at %.3f s: %s\n", x.At.Seconds(), x.Text)
		}
	}
	if p.Acts > 0 {
		fmt.Fprintf(b, "fleet   %d versions acted on, %d acts; the longest contradiction that is certain %.2f s of %v\n", p.Versions, p.Acts, p.ContradictionSeconds, maxConflictDuration)
	}
	fmt.Fprintf(b, "fleet   the longest until all knew of one that was gone %.1f s, until views were right after the last fault %.1f s\n", p.DetectionSeconds, p.SettleSeconds)
}
