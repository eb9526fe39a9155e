package balance

// StateSizes returns the number of elements of each collection of a Balancer.
func StateSizes(b *Balancer) map[string]int {
	return map[string]int{"classes": len(b.classes), "tenants": len(b.tenants), "kinds": len(b.kinds),
		"endpointByID": len(b.endpointByID), "endpoints": len(b.endpoints), "subset": len(b.subset),
		"requests": len(b.requests), "unfinished": len(b.unfinished), "queue": len(b.queue)}
}
