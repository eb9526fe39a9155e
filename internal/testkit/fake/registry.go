package fake

import (
	"sync"
	"time"

	"tuliprock/internal/testkit/invariant"
)

// Class is a class of requests as clients and nodes use it.
type Class struct {
	Name     string
	Effect   invariant.Effect
	Window   time.Duration // for keyed ones: the nodes of a cell drop duplicates within it
	Deadline time.Duration
}

// Job is the work of one request, drawn ahead: at its own tier, and the calls that it makes to the next one, in turn.
type Job struct {
	Work  time.Duration // on a core of speed 1
	Wait  time.Duration // on others: holds a slot but no core
	Calls []*Job
}

// TotalWork is the work in the whole chain of calls.
func (j *Job) TotalWork() time.Duration {
	sum := j.Work
	for _, c := range j.Calls {
		sum += c.TotalWork()
	}
	return sum
}

// registeredRequest is what nodes know of a request that a client has sent.
type registeredRequest struct {
	job   *Job
	class int
	key   string // idempotency key; empty: none
}

// Registry knows every request that clients have sent, by its ID. Requests stay to the end of the day, since a late attempt
// must still be known; the schedule bounds how many there are. It is safe for concurrent use, and its zero value is empty.
type Registry struct{ requests sync.Map }

func (r *Registry) register(id string, request registeredRequest) { r.requests.Store(id, request) }

func (r *Registry) lookup(id string) (registeredRequest, bool) {
	request, ok := r.requests.Load(id)
	if !ok {
		return registeredRequest{}, false
	}
	return request.(registeredRequest), true
}
