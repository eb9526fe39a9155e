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

// FleetDay makes a fleet of the sidecars before the first tier. They are started on operators' files.
type FleetDay struct {
	Voters       int            `toml:"voters"`
	ProbeEvery   time.Duration  `toml:"probe_every"`   // 0: the daemon's own
	ProbeTimeout time.Duration  `toml:"probe_timeout"` //
	Suspicion    time.Duration  `toml:"suspicion"`     //
	Clock        tomlfile.Range `toml:"clock"`         // how fast each sidecar's clock runs, drawn for each; only programs built with the race detector heed it
	Detect       time.Duration  `toml:"detect"`        // until all others know of one that is gone, where nothing else is wrong
	Settle       time.Duration  `toml:"settle"`        // after the last fault, until all views are right
	Agreed       bool           `toml:"agreed"`        // they agree on endpoints out by hand, and one is taken out and given back all day
}

// LinkTrouble is something that goes wrong between sidecars.
type LinkTrouble struct {
	Kind   string         `toml:"kind"`
	At     tomlfile.Span  `toml:"at"`
	For    tomlfile.Span  `toml:"for"`
	Parts  int            `toml:"parts"`  // into which the sidecars are dealt by the seed; what passes from one to another is hit
	Alone  bool           `toml:"alone"`  // one sidecar against all others, in place of parts
	Bridge bool           `toml:"bridge"` // one sidecar is well with all
	OneWay bool           `toml:"one_way"`
	Every  tomlfile.Span  `toml:"every"` // it comes and goes, for so long each
	Size   tomlfile.Range `toml:"size"`
}

// linkKinds tells of each kind whether it has a size.
var linkKinds = map[string]bool{
	"cut":       false, // datagrams vanish, streams stall
	"reset":     false, // streams are reset
	"loss":      true,  // size: share of datagrams that vanish
	"duplicate": true,  // size: share that comes twice
	"delay":     true,  // size: seconds on top, and as much at random: later ones overtake
}

// LinkStrike is a LinkTrouble with all that it draws.
type LinkStrike struct {
	Kind    string
	At, For time.Duration
	Parts   [][]string
	OneWay  bool
	Every   time.Duration // 0: without a break
	Size    float64
}

func (d *Day) checkFleet(f *tomlfile.File) error {
	if t := d.Fleet; t != nil {
		if t.Detect == 0 {
			t.Detect = defaultDetect
		}
		if t.Settle == 0 {
			t.Settle = defaultSettle
		}
		if err := f.Check("fleet", []tomlfile.Must{
			tomlfile.Need("voters", t.Voters >= 0 && float64(t.Voters) <= d.Sidecars.Count.Lo && (t.Voters == 0 || t.Voters%2 == 1), "0 or an odd number, of the sidecars"),
			tomlfile.Need("agreed", !t.Agreed || t.Voters > 0 && t.Clock.Hi <= 1+agreedDrift && t.Clock.Lo >= 1-agreedDrift, fmt.Sprintf("beside voters, and clocks within %v", agreedDrift)),
			tomlfile.Need("clock", t.Clock.Hi == 0 || t.Clock.Lo >= 0.5 && t.Clock.Hi <= 2, "from 0.5 to 2"),
			tomlfile.Need("detect", t.Detect > 0, "over 0"),
			tomlfile.Need("settle", t.Settle > 0, "over 0"),
		}); err != nil {
			return err
		}
	}
	for i, t := range d.LinkTrouble {
		size, ok := linkKinds[t.Kind]
		if err := f.Check(fmt.Sprintf("link_trouble[%d]", i), []tomlfile.Must{
			tomlfile.Need("kind", ok, "cut, reset, loss, duplicate or delay"),
			tomlfile.Need("kind", d.Fleet != nil, "of a day with a fleet"),
			tomlfile.Need("at", t.At.Hi < d.Length, "before the day's end"),
			tomlfile.Need("for", t.For.Lo > 0, "over 0"),
			tomlfile.Need("parts", t.Parts == 0 || t.Parts >= 2 && !t.Alone && float64(t.Parts) <= d.Sidecars.Count.Lo, "2 at least, one sidecar each, and not beside alone"),
			tomlfile.Need("size", (t.Size.Lo > 0) == size, "over 0 where the trouble has a size, and only there"),
			tomlfile.Need("size", t.Kind == "delay" || t.Size.Hi <= 1, "a share"),
		}); err != nil {
			return err
		}
	}
	return nil
}

// The bounds that the daemon's default times are to keep.
const (
	defaultDetect = 6 * time.Second
	defaultSettle = 3 * time.Second
	peersLook     = 50 * time.Millisecond // between two looks at what a sidecar holds
	peersWait     = time.Second           // for its answer

	// What a day's sidecars promise one another, where they agree.
	agreedDrift    = 0.1
	agreedConflict = 2 * time.Second
	agreedLease    = 6 * time.Second
	handEvery      = 1500 * time.Millisecond // somebody takes an endpoint out, or gives it back
)

// drawLinks deals the sidecars to parts.
func (p *Plan) drawLinks() {
	rng := draw(p.Seed, drawLinks)
	for _, t := range p.Day.LinkTrouble {
		s := LinkStrike{Kind: t.Kind, At: t.At.At(rng.Float64()), For: t.For.At(rng.Float64()), OneWay: t.OneWay, Every: t.Every.At(rng.Float64()), Size: t.Size.At(rng.Float64())}
		s.Parts = p.deal(rng, t)
		p.Links = append(p.Links, s)
	}
}

// deal makes parts of the sidecars: without a word of it each is a part of its own.
func (p *Plan) deal(rng *rand.Rand, t LinkTrouble) [][]string {
	var names []string
	for _, i := range rng.Perm(p.Sidecars) {
		names = append(names, sidecarName(i))
	}
	if t.Bridge {
		names = names[1:]
	}
	n := t.Parts
	switch {
	case t.Alone:
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

// link is what becomes of the links that are hit.
func (s *LinkStrike) link() faultnet.Link {
	switch s.Kind {
	case "cut":
		return faultnet.Link{Cut: true}
	case "reset":
		return faultnet.Link{Reset: true}
	case "loss":
		return faultnet.Link{Loss: s.Size}
	case "duplicate":
		return faultnet.Link{Duplicate: s.Size}
	}
	d := time.Duration(s.Size * float64(time.Second))
	return faultnet.Link{Delay: d, Jitter: d}
}

// fleetPlace is where a sidecar is heard by the others.
type fleetPlace struct {
	clock string // of the environment; empty: its own
	lives int    // of its process; guarded by fleetWorld.mu
	file  string // [fleet], and the operators' address, as its file has them
	admin string
}

// fleetWorld is a fleet that is being played; nil: there is none.
type fleetWorld struct {
	w      *world
	net    *faultnet.Net
	places map[string]*fleetPlace
	looks  sync.WaitGroup

	mu       sync.Mutex
	events   []clusterinvariant.Event
	acts     []clusterinvariant.Act
	troubles int
}

// buildFleet makes a place for each sidecar before the first tier.
func (w *world) buildFleet() error {
	day := w.plan.Day.Fleet
	if day == nil {
		return nil
	}
	f := &fleetWorld{w: w, net: faultnet.New(w.plan.Seed, nil), places: map[string]*fleetPlace{}}
	w.fleet = f
	var listens, told []netip.AddrPort
	var voters []string
	for i := range w.plan.Sidecars {
		at, err := freeAddr(fleetAddrs + i)
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
		admin, err := freeAddr(fleetAddrs + i)
		if err != nil {
			return err
		}
		text := fmt.Sprintf("admin_addr = %q\n[fleet]\ncluster = %q\nlisten = %q\nadvertise = %q\njoin = [%q, %q]\nvoters = [%s]\n", admin, w.plan.Day.Name,
			listens[i], told[i], told[0], told[len(told)/2], strings.Join(voters, ", "))
		for name, d := range map[string]time.Duration{"probe_every": day.ProbeEvery, "probe_timeout": day.ProbeTimeout, "suspicion": day.Suspicion} {
			if d > 0 {
				text += fmt.Sprintf("%s = %q\n", name, d)
			}
		}
		if day.Agreed {
			text += fmt.Sprintf("agreed = true\nconflict_within = %q\nlease = %q\nclock_drift = %v\n", agreedConflict, agreedLease, agreedDrift)
			if i < day.Voters {
				text += fmt.Sprintf("data_dir = %q\n", filepath.Join(w.dir, sidecarName(i)+".data"))
			}
		}
		place := &fleetPlace{file: text, admin: admin}
		if day.Clock.Hi > 0 {
			place.clock = fmt.Sprintf("%s=%v", transport.ClockRate, day.Clock.At(w.share("clock", sidecarName(i))))
		}
		f.places[sidecarName(i)] = place
	}
	return nil
}

// fleetAddrs is the number of the first loopback address of a fleet: beyond those of the sidecars.
const fleetAddrs = 2000

func (f *fleetWorld) place(name string) *fleetPlace {
	if f == nil {
		return nil
	}
	return f.places[name]
}

// fact notes what was done to a sidecar.
func (f *fleetWorld) fact(k clusterinvariant.Kind, of string) {
	if f == nil {
		return
	}
	f.mu.Lock()
	defer f.mu.Unlock()
	if k == clusterinvariant.Up {
		f.places[of].lives++
	}
	f.note(clusterinvariant.Event{Kind: k, Of: of})
}

// note notes an event. f.mu is held.
func (f *fleetWorld) note(e clusterinvariant.Event) {
	e.At = f.w.rec.Now()
	if len(f.events) < eventsMost/10 {
		f.events = append(f.events, e)
	}
}

// disturb and calm say that something is wrong with links or processes, and that it is over.
func (f *fleetWorld) disturb() { f.trouble(1) }
func (f *fleetWorld) calm()    { f.trouble(-1) }

func (f *fleetWorld) trouble(by int) {
	if f == nil {
		return
	}
	f.mu.Lock()
	defer f.mu.Unlock()
	was := f.troubles
	f.troubles += by
	switch {
	case was == 0:
		f.note(clusterinvariant.Event{Kind: clusterinvariant.Trouble})
	case f.troubles == 0:
		f.note(clusterinvariant.Event{Kind: clusterinvariant.Calm})
	}
}

// strike plays a trouble of links.
func (f *fleetWorld) strike(ctx context.Context, start time.Time, s LinkStrike) {
	if !sleepCtx(ctx, time.Until(start.Add(s.At))) {
		return
	}
	f.disturb()
	defer f.calm()
	end := time.Now().Add(s.For)
	for on := true; time.Until(end) > 0; on = !on {
		l := s.link()
		if !on {
			l = faultnet.Link{}
		}
		f.set(s, l)
		wait := time.Until(end)
		if s.Every > 0 {
			wait = min(wait, s.Every)
		}
		if !sleepCtx(ctx, wait) {
			break
		}
	}
	f.set(s, faultnet.Link{})
}

func (f *fleetWorld) set(s LinkStrike, l faultnet.Link) {
	for i, part := range s.Parts {
		for _, other := range s.Parts[i+1:] {
			f.net.OneWay(part, other, l)
			if !s.OneWay {
				f.net.OneWay(other, part, l)
			}
		}
	}
}

// watchAll looks at what the sidecars hold of one another, until done closes.
func (f *fleetWorld) watchAll(done <-chan struct{}) {
	if f == nil {
		return
	}
	for name, place := range f.places {
		f.looks.Go(func() { f.watch(name, place, done) })
		if f.w.plan.Day.Fleet.Agreed {
			f.looks.Go(func() { f.watchVersions(name, place, done) })
		}
	}
	if f.w.plan.Day.Fleet.Agreed {
		f.looks.Go(func() { f.hands(done) })
	}
}

// watchVersions asks a sidecar which version it acts on, until done closes.
func (f *fleetWorld) watchVersions(name string, place *fleetPlace, done <-chan struct{}) {
	for f.pause(done, peersLook) {
		f.mu.Lock()
		life := place.lives
		f.mu.Unlock()
		asked := f.w.rec.Now()
		s, err := status.FetchSettings(place.admin, peersWait)
		if err != nil || !s.Acting {
			continue
		}
		act := clusterinvariant.Act{Asked: asked, Said: f.w.rec.Now(), By: name, Life: life, Version: s.Version, Digest: fmt.Sprint(s.Documents)}
		f.mu.Lock()
		if life == place.lives && len(f.acts) < eventsMost/10 {
			f.acts = append(f.acts, act)
		}
		f.mu.Unlock()
	}
}

// hands takes an endpoint out and gives it back, again and again, at a sidecar that is drawn each time. What becomes of a call is
// for the versions to show.
func (f *fleetWorld) hands(done <-chan struct{}) {
	nodes := f.w.tiers[0]
	for n := 0; f.pause(done, handEvery); n++ {
		at := f.places[sidecarName(int(f.w.hash("hands", fmt.Sprint(n))%uint64(len(f.places))))]
		word := []string{"set-down", "set-up"}[n%2]
		if nc, err := net.DialTimeout("tcp", at.admin, peersWait); err == nil {
			_ = nc.SetDeadline(time.Now().Add(peersWait))
			_, _ = fmt.Fprintf(nc, "%s %s\n", word, nodes[len(nodes)-1].plan.Spec.ID)
			_, _ = io.Copy(io.Discard, nc)
			nc.Close()
		}
	}
}

// pause waits; false: it is over.
func (f *fleetWorld) pause(done <-chan struct{}, d time.Duration) bool {
	select {
	case <-done:
		return false
	case <-f.w.ctx.Done():
		return false
	case <-time.After(d):
		return true
	}
}

func (f *fleetWorld) watch(name string, place *fleetPlace, done <-chan struct{}) {
	held := map[string]status.Peer{}
	for f.pause(done, peersLook) {
		r, err := status.FetchFleet(place.admin, peersWait)
		if err != nil {
			if failed := (*net.OpError)(nil); errors.As(err, &failed) && failed.Op != "read" {
				clear(held) // nobody takes the call, and a process that is started again holds nothing of its former life
			}
			continue
		}
		f.saw(name, r, held)
	}
}

// saw notes what is new in a report.
func (f *fleetWorld) saw(name string, r *status.Fleet, held map[string]status.Peer) {
	f.mu.Lock()
	defer f.mu.Unlock()
	for _, p := range r.Peers {
		if was, ok := held[p.Name]; ok && was.State == p.State && was.Incarnation == p.Incarnation {
			continue
		}
		held[p.Name] = p
		f.note(clusterinvariant.Event{Kind: clusterinvariant.Saw, By: name, Of: p.Name, State: p.State, Incarnation: p.Incarnation})
	}
}

func (f *fleetWorld) close() {
	if f == nil {
		return
	}
	f.looks.Wait()
	f.net.Close()
}

// Peers is what a day with a fleet showed of it.
type Peers struct {
	Held   bool        `json:"held"`
	Rules  []PeersRule `json:"rules"`
	Detect float64     `json:"detect_s"` // the longest time until all others knew of one that was gone, where nothing else was wrong
	Settle float64     `json:"settle_s"` // the longest time after the last fault until all views were right
	Events int         `json:"events"`

	Acts          int     `json:"acts,omitempty"`            // that a sidecar was asked which version it acts on, and had a lease
	Versions      int     `json:"versions,omitempty"`        // that were acted on
	Contradiction float64 `json:"contradiction_s,omitempty"` // the longest that is certain
}

// PeersRule is the finding on one rule of a fleet.
type PeersRule struct {
	Name     string                    `json:"name"`
	Verdict  string                    `json:"verdict"` // held, broken or not put to the test
	Tests    int                       `json:"tests"`
	Breaches []clusterinvariant.Breach `json:"breaches"`
}

// judge holds the day's timeline against the rules of a fleet.
func (f *fleetWorld) judge(dayStart, end time.Duration) *Peers {
	if f == nil {
		return nil
	}
	f.looks.Wait()
	f.mu.Lock()
	defer f.mu.Unlock()
	day := f.w.plan.Day.Fleet
	v := clusterinvariant.Judge(f.events, clusterinvariant.Limits{Detect: day.Detect, Settle: day.Settle, End: end})
	p := &Peers{Held: len(v.Breaches) == 0, Detect: v.Detect.Seconds(), Settle: v.Settle.Seconds(), Events: len(f.events)}
	rules := clusterinvariant.Rules
	if day.Agreed {
		slices.SortStableFunc(f.acts, func(a, b clusterinvariant.Act) int { return cmp.Compare(a.Said, b.Said) })
		versions := clusterinvariant.JudgeVersions(f.acts, agreedConflict)
		p.Acts, p.Versions, p.Contradiction = versions.Acts, versions.Versions, versions.Longest.Seconds()
		v.Breaches = append(v.Breaches, versions.Breaches...)
		p.Held = len(v.Breaches) == 0
		rules = append(slices.Clone(rules), clusterinvariant.VersionRules...)
		for _, rule := range clusterinvariant.VersionRules {
			v.Tested[rule] = max(versions.Versions-1, 0)
		}
	}
	for _, rule := range rules {
		r := PeersRule{Name: string(rule), Verdict: "held", Tests: v.Tested[rule], Breaches: []clusterinvariant.Breach{}}
		for _, b := range v.Breaches {
			if b.Rule == rule && len(r.Breaches) < breachesTold {
				b.At -= dayStart
				r.Breaches = append(r.Breaches, b)
			}
		}
		switch {
		case len(r.Breaches) > 0:
			r.Verdict = "broken"
		case r.Tests == 0:
			r.Verdict = "not put to the test"
		}
		p.Rules = append(p.Rules, r)
	}
	return p
}

const breachesTold = 20

// tell writes the finding in words.
func (p *Peers) tell(b *strings.Builder) {
	if p == nil {
		return
	}
	for _, r := range p.Rules {
		fmt.Fprintf(b, "fleet   %s: %s (%d)\n", r.Name, r.Verdict, r.Tests)
		for _, x := range r.Breaches[:min(len(r.Breaches), 3)] {
			fmt.Fprintf(b, "  at %.3f s: %s\n", x.At.Seconds(), x.Text)
		}
	}
	if p.Acts > 0 {
		fmt.Fprintf(b, "fleet   %d versions acted on, %d acts; the longest contradiction that is certain %.2f s of %v\n", p.Versions, p.Acts, p.Contradiction, agreedConflict)
	}
	fmt.Fprintf(b, "fleet   the longest until all knew of one that was gone %.1f s, until views were right after the last fault %.1f s\n", p.Detect, p.Settle)
}
