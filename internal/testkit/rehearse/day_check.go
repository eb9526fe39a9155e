package rehearse

import (
	"fmt"
	"slices"
	"time"

	"tuliprock/internal/tomlfile"
)

// Bounds of a day, which keep it small enough to run on one machine.
const (
	maxDayLength = time.Hour
	maxNodes     = 400 // largest number of nodes in all tiers together
	maxTiers     = 5
)

// isFraction reports whether both bounds of a range lie in [0, 1].
func isFraction(r tomlfile.NumberRange) bool { return r.Lo >= 0 && r.Hi <= 1 }

// checkGeneralKeys checks the keys outside the lists of tiers, classes, tenants and faults.
func (d *Day) checkGeneralKeys(f *tomlfile.File) error {
	return f.Check("", []tomlfile.Requirement{
		tomlfile.Require("format", d.Format == 1, "1"),
		tomlfile.Require("name", d.Name != "", "a name"),
		tomlfile.Require("length", d.Length >= time.Second && d.Length <= maxDayLength, "from 1s to 1h"),
		tomlfile.Require("load.use", d.Load.Utilization.Lo > 0 && d.Load.Utilization.Hi <= 10, "over 0, and 10 at most"),
		tomlfile.Require("load.quota", d.Load.TotalQuotaFraction.Lo > 0, "over 0"),
		tomlfile.Require("load.over_share_worth", d.Load.OverQuotaValueFactor >= 0 && d.Load.OverQuotaValueFactor <= 1, "from 0 to 1"),
		tomlfile.Require("sidecars.count", d.Sidecars.Count.Lo >= 1 && d.Sidecars.Count.Hi <= 50, "from 1 to 50"),
		tomlfile.Require("sidecars.cores", d.Sidecars.Cores > 0, "over 0"),
		tomlfile.Require("sidecars.memory_mb", d.Sidecars.MemoryMB >= 32, "32 at least"),
		tomlfile.Require("sidecars.sockets", d.Sidecars.MaxDescriptors >= 64, "64 at least"),
		tomlfile.Require("clients.retries", d.Clients.MaxRetries.Lo >= 0 && d.Clients.MaxRetries.Hi < 10, "from 0 to under 10"),
		tomlfile.Require("clients.try_share", d.Clients.AttemptTimeoutFraction.Lo > 0 && isFraction(d.Clients.AttemptTimeoutFraction),
			"over 0, and 1 at most"),
		tomlfile.Require("clients.at_once", d.Clients.ImmediateRetryFraction >= 0 && d.Clients.ImmediateRetryFraction <= 1, "from 0 to 1"),
		tomlfile.Require("clients.honour", isFraction(d.Clients.HonourRetryAfterFraction), "from 0 to 1"),
		tomlfile.Require("clients.hang_up", isFraction(d.Clients.EarlyDisconnectFraction), "from 0 to 1"),
		tomlfile.Require("rules.attempts", d.Rules.MaxAttempts >= 1, "1 at least"),
		tomlfile.Require("rules.drain_grace", d.Rules.DrainGrace > 0, "over 0"),
		tomlfile.Require("rules.fall_multiple", d.Rules.ColdOverloadFactor > 0, "over 0"),
		tomlfile.Require("rules.fall_after", d.Rules.ColdOverloadWindow > 0, "over 0"),
	})
}

// checkTiers checks the tiers with their kinds of nodes, and sets the defaults of a tier.
func (d *Day) checkTiers(f *tomlfile.File) error {
	if n := len(d.Tiers); n < 1 || n > maxTiers {
		return f.Errorf("tier", "must be given from 1 to %d times", maxTiers)
	}
	maxNodeCount := 0.0 // highest possible number of nodes in the tiers checked so far
	for i := range d.Tiers {
		t, at := &d.Tiers[i], fmt.Sprintf("tier[%d]", i)
		maxNodeCount += t.NodeCount.Hi
		if t.CallsPerRequest.Hi == 0 {
			t.CallsPerRequest = tomlfile.NumberRange{Lo: 1, Hi: 1}
		}
		if t.CellSize.Hi == 0 {
			t.CellSize = tomlfile.NumberRange{Lo: 4, Hi: 4}
		}
		if err := f.Check(at, []tomlfile.Requirement{
			tomlfile.Require("name", t.Name != "", "a name"),
			tomlfile.Require("nodes", t.NodeCount.Lo >= 1 && maxNodeCount <= maxNodes,
				fmt.Sprintf("1 at least, and %d in all tiers together", maxNodes)),
			tomlfile.Require("work", t.WorkFraction > 0, "over 0"),
			tomlfile.Require("calls", t.CallsPerRequest.Lo >= 1 && t.CallsPerRequest.Hi <= 10, "from 1 to 10"),
			tomlfile.Require("cell", t.CellSize.Lo >= 1, "1 at least"),
			tomlfile.Require("errors", isFraction(t.ErrorRate), "from 0 to 1"),
			tomlfile.Require("kind", len(t.Kinds) > 0, "given"),
		}); err != nil {
			return err
		}
		for k := range t.Kinds {
			if err := t.Kinds[k].check(f, fmt.Sprintf("%s.kind[%d]", at, k)); err != nil {
				return err
			}
		}
		if o := t.Overload; o != nil {
			at += ".choke"
			if err := f.Check(at, []tomlfile.Requirement{
				tomlfile.Require("at", o.Threshold.Lo > 0, "over 0"),
				tomlfile.Require("over", o.AveragedOver.Lo >= 100*time.Millisecond, "100ms at least"),
				tomlfile.Require("slower", o.Slowdown.Lo >= 1, "1 at least"),
				tomlfile.Require("below", isFraction(o.IdleBelow), "from 0 to 1"),
				tomlfile.Require("most", o.MaxDuration.Lo > 0, "over 0"),
			}); err != nil {
				return err
			}
		}
	}
	return nil
}

// check checks the fields of a kind of node. at is the kind's place in the file for errors, such as tier[0].kind[1].
func (k *NodeKind) check(f *tomlfile.File, at string) error {
	return f.Check(at, []tomlfile.Requirement{
		tomlfile.Require("name", k.Name != "", "a name"),
		tomlfile.Require("share", k.Proportion > 0, "over 0"),
		tomlfile.Require("cores", k.Cores >= 1 && k.Cores <= 1024, "from 1 to 1024"),
		tomlfile.Require("speed", k.Speed.Lo > 0, "over 0"),
		tomlfile.Require("slots", k.Slots.Lo > 0, "over 0"),
		tomlfile.Require("room", k.QueueLimit.Lo >= 0, "0 at least"),
		tomlfile.Require("cold_from", k.ColdCapacityFraction.Lo > 0 && isFraction(k.ColdCapacityFraction), "over 0, and 1 at most"),
	})
}

// checkClassesAndTenants checks that there are classes and tenants, and the keys of each.
func (d *Day) checkClassesAndTenants(f *tomlfile.File) error {
	if len(d.Classes) == 0 {
		return f.Errorf("class", "must be given")
	}
	names := map[string]bool{}
	for i, c := range d.Classes {
		at := fmt.Sprintf("class[%d]", i)
		_, hasEffect := effectsByName[c.Effect]
		if err := f.Check(at, []tomlfile.Requirement{
			tomlfile.Require("name", isPlainName(c.Name) && !names[c.Name], "a name of its own, of letters, digits and -"),
			tomlfile.Require("effect", hasEffect, "safe, keyed or unsafe"),
			tomlfile.Require("window", (c.Effect == "keyed") == (c.DeduplicationWindow > 0), "given for a keyed class, and only there"),
			tomlfile.Require("share", c.Proportion > 0, "over 0"),
			tomlfile.Require("work", c.Work.Lo > 0, "over 0"),
			tomlfile.Require("vary", c.WorkVariation >= 0 && c.WorkVariation <= 5, "from 0 to 5"),
			tomlfile.Require("aim", c.LatencyObjective > 0 && c.LatencyObjective <= c.Deadline, "over 0, and the deadline at most"),
			tomlfile.Require("deadline", c.Deadline <= time.Minute, "1m at most"),
			tomlfile.Require("worth", c.PriorityWeight > 0, "over 0"),
		}); err != nil {
			return err
		}
		names[c.Name] = true
	}
	if len(d.Tenants) == 0 {
		return f.Errorf("tenant", "must be given")
	}
	for i, t := range d.Tenants {
		at := fmt.Sprintf("tenant[%d]", i)
		if err := f.Check(at, []tomlfile.Requirement{
			tomlfile.Require("name", isPlainName(t.Name), "a name, of letters, digits and -"),
			tomlfile.Require("share", t.Proportion > 0, "over 0"),
			tomlfile.Require("usage", t.RelativeDemand.Lo > 0, "over 0"),
		}); err != nil {
			return err
		}
	}
	return nil
}

// isPlainName reports whether a name can be used in a URL path and a header without escaping.
func isPlainName(s string) bool {
	for _, c := range s {
		if c != '-' && (c < '0' || c > '9') && (c < 'a' || c > 'z') && (c < 'A' || c > 'Z') {
			return false
		}
	}
	return s != ""
}

// checkFaults checks that each fault has the keys that its kind uses, and no others.
func (d *Day) checkFaults(f *tomlfile.File) error {
	for i, spec := range d.Faults {
		at := fmt.Sprintf("trouble[%d]", i)
		traits, isKnown := faultKinds[spec.Kind]
		modes := faultModes[spec.Kind]
		hasTargets := traits.hitsNodes || traits.hitsSidecars
		hitsRequests := spec.Kind == "hang" || spec.Kind == "reset"
		if err := f.Check(at, []tomlfile.Requirement{
			tomlfile.Require("kind", isKnown, "slow, crash, drain, hang, reset, restart, stall, roster-late, roster-down or surge"),
			tomlfile.Require("at", f.Has(at+".at") && spec.Start.Hi < d.Length, "given, and before the day's end"),
			tomlfile.Require("for", spec.Duration.Lo > 0, "over 0"),
			tomlfile.Require("share", isFraction(spec.TargetFraction) && (spec.TargetFraction.Hi > 0) == hasTargets,
				"over 0 and 1 at most where nodes or sidecars are hit, and only there"),
			tomlfile.Require("size", (spec.Magnitude.Lo > 0) == traits.hasMagnitude, "over 0 for slow, hang, reset, roster-late and surge, and only there"),
			tomlfile.Require("size", !hitsRequests || spec.Magnitude.Hi <= 1, "a share of requests"),
			tomlfile.Require("down", (spec.Downtime.Hi > 0) == traits.hasDowntime, "over 0 for drain and restart, and only there"),
			tomlfile.Require("how", isAllowedMode(spec.Mode, modes), fmt.Sprintf("one of %q", modes)),
			tomlfile.Require("tier", spec.Tier == "" || traits.hitsNodes && d.tierIndex(spec.Tier) >= 0,
				"the name of a tier, for a trouble of nodes"),
		}); err != nil {
			return err
		}
	}
	return nil
}

// isAllowedMode reports whether a mode is one of the modes of a kind of fault. For a kind without modes it must be empty.
func isAllowedMode(mode string, modes []string) bool {
	return slices.Contains(modes, mode) || mode == "" && len(modes) == 0
}
