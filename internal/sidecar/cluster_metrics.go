package sidecar

import (
	"tuliprock/internal/cluster/swim"
	"tuliprock/internal/metrics"
)

// gauges returns the cluster's metrics; none without a cluster. Their names are read by dashboards and never change.
func (n *clusterNode) gauges() []metrics.Gauge {
	if n == nil {
		return nil
	}
	var gauges []metrics.Gauge
	if n.hasConsensus() {
		gauges = n.settingsGauges()
	}
	view := n.transport.View()
	count := map[swim.State]int64{}
	for _, m := range view.Members {
		count[m.State]++
	}
	for s := swim.Alive; s.Valid(); s++ {
		gauges = append(gauges, metrics.Gauge{Name: "peers_" + s.String(), Value: count[s]})
	}
	gauges = append(gauges, metrics.Gauge{Name: "peers_standing", Value: int64(view.Connectivity)})
	link := n.transport.Metrics()
	for _, c := range []struct {
		name  string
		value uint64
	}{
		{"received", link.Received},
		{"sent", link.Sent},
		{"bytes", link.Bytes},
		{"damaged", link.Damaged},
		{"foreign", link.Foreign},
		{"forged", link.Forged},
		{"replayed", link.Replayed},
		{"flooded", link.Flooded},
		{"full", link.Full},
	} {
		gauges = append(gauges, metrics.Gauge{Name: "peers_" + c.name, Value: int64(c.value), Counts: true})
	}
	return gauges
}

// settingsGauges returns the metrics of the agreed settings.
func (n *clusterNode) settingsGauges() []metrics.Gauge {
	s, _ := n.settingsStatus()
	return []metrics.Gauge{
		{Name: "settings_version", Value: int64(s.Version)},
		{Name: "settings_all", Value: int64(s.All)},
		{Name: "settings_lease_ms", Value: s.LeaseMs},
		{Name: "settings_term", Value: int64(s.Term)},
		{Name: "settings_leads", Value: boolGauge(s.Leads)},
		{Name: "settings_lagging", Value: int64(len(s.Lags))},
		{Name: "settings_refused", Value: int64(s.Refused), Counts: true},
	}
}

func boolGauge(isSet bool) int64 {
	if isSet {
		return 1
	}
	return 0
}
