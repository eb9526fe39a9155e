package sidecar

import (
	"tuliprock/internal/cluster/swim"
	"tuliprock/internal/metrics"
)

// gauges returns the cluster's metrics, and none without a cluster. Dashboards read the metrics by name, so the names
// never change.
func (n *clusterNode) gauges() []metrics.Sample {
	if n == nil {
		return nil
	}
	var gauges []metrics.Sample
	if n.hasConsensus() {
		gauges = n.settingsGauges()
	}
	view := n.transport.View()
	count := map[swim.State]int64{}
	for _, m := range view.Members {
		count[m.State]++
	}
	for s := swim.Alive; s.Valid(); s++ {
		gauges = append(gauges, metrics.Sample{Name: "peers_" + s.String(), Value: count[s]})
	}
	gauges = append(gauges, metrics.Sample{Name: "peers_standing", Value: int64(view.Connectivity)})
	transportMetrics := n.transport.Metrics()
	for _, c := range []struct {
		name  string
		value uint64
	}{
		{"received", transportMetrics.Received},
		{"sent", transportMetrics.Sent},
		{"bytes", transportMetrics.BytesSent},
		{"damaged", transportMetrics.Malformed},
		{"foreign", transportMetrics.Foreign},
		{"forged", transportMetrics.Unauthenticated},
		{"replayed", transportMetrics.Replayed},
		{"flooded", transportMetrics.RateLimited},
		{"full", transportMetrics.QueueFull},
	} {
		gauges = append(gauges, metrics.Sample{Name: "peers_" + c.name, Value: int64(c.value), IsCounter: true})
	}
	return gauges
}

// settingsGauges returns the metrics of the agreed settings and of this daemon's lease.
func (n *clusterNode) settingsGauges() []metrics.Sample {
	s, _ := n.settingsStatus()
	return []metrics.Sample{
		{Name: "settings_version", Value: int64(s.ActiveVersion)},
		{Name: "settings_all", Value: int64(s.OldestActiveVersion)},
		{Name: "settings_lease_ms", Value: s.LeaseMs},
		{Name: "settings_term", Value: int64(s.Term)},
		{Name: "settings_leads", Value: boolGauge(s.IsLeader)},
		{Name: "settings_lagging", Value: int64(len(s.LaggingDaemons))},
		{Name: "settings_refused", Value: int64(s.RejectedRequests), IsCounter: true},
	}
}

// boolGauge returns a gauge's value for a boolean: 1 for true, 0 for false.
func boolGauge(isSet bool) int64 {
	if isSet {
		return 1
	}
	return 0
}
