package tuliprock

// ClassesKept tells tests how many classes a Balancer holds.
func ClassesKept(b *Balancer) int { return len(b.classes) }
