package balance

// StateSizes tells tests how much a Balancer holds of each sort.
func StateSizes(b *Balancer) map[string]int {
	return map[string]int{"classes": len(b.classes), "tenants": len(b.tenants), "kinds": len(b.kinds), "names": len(b.endpointByID),
		"endpoints": len(b.endpoints), "table": len(b.subset), "requests": len(b.requests), "live": len(b.live), "waiting": len(b.queue)}
}
