package fake

import (
	"sync"
	"time"

	"tuliprock/internal/testkit/invariant"
)

// Class holds the properties of a class of requests that clients and nodes need.
type Class struct {
	Name     string
	Effect   invariant.Effect
	Window   time.Duration // time after a request in which the nodes of a cell drop its duplicates; set for IdempotencyKeyed classes
	Deadline time.Duration // time from the start of a request until its response is due
}

// Job is the work of one request, which is drawn before the simulation starts: the work on the node that receives the request,
// and the calls that this node makes to the next tier, one after another.
type Job struct {
	Work  time.Duration // work on the node, as time on a core of speed 1
	Wait  time.Duration // time in which the request waits for other systems and occupies a slot but no core
	Calls []*Job        // calls to the next tier, in the order in which they are made; each has its own work
}

// TotalWork returns the work of the job and of all its direct and indirect calls, as time on a core of speed 1.
func (j *Job) TotalWork() time.Duration {
	sum := j.Work
	for _, c := range j.Calls {
		sum += c.TotalWork()
	}
	return sum
}

// registeredRequest holds the properties of a sent request that nodes need to execute it.
type registeredRequest struct {
	job   *Job   // work that the nodes do for the request
	class int    // index of the request's class
	key   string // idempotency key; empty: none
}

// Registry holds the properties of every request that clients have sent, by request ID. It keeps requests until the end of the
// simulation, since an attempt may reach a node long after its request ended; the schedule of the simulation bounds the number of
// requests. Registry is safe for concurrent use, and its zero value is empty.
type Registry struct{ requests sync.Map }

func (r *Registry) register(id string, request registeredRequest) { r.requests.Store(id, request) }

func (r *Registry) lookup(id string) (registeredRequest, bool) {
	request, ok := r.requests.Load(id)
	if !ok {
		return registeredRequest{}, false
	}
	return request.(registeredRequest), true
}
