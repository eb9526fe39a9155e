package frontend

import (
	"sync"
	"time"

	"tuliprock/balance"
	"tuliprock/internal/eventloop"
	"tuliprock/internal/metrics"
	"tuliprock/internal/route"
)

// Class is a class of requests: what repeating one may do, and where its particulars are found.
type Class struct {
	Name                                              string
	Effect                                            balance.Effect
	IDHeader, KeyHeader, TenantHeader, DeadlineHeader string
	MustHaveID, MustHaveDeadline                      bool // else an id is made, and Deadline holds
	Deadline, DeadlineMost                            time.Duration
	RetryHeader                                       string   // "1" there: the caller has asked before; empty: that is never believed
	Methods                                           []string // that are served; none: all
	NoBody                                            bool     // requests bring none

	Figures *metrics.Class

	FlowMost    time.Duration // that a body may flow, each way
	DeadlineAll bool          // the deadline rules bodies that flow, too
}

// Target is where a rule leads.
type Target struct {
	Pool            *eventloop.Loop
	Class           *Class
	Tenant          string // of requests that name none
	Prefix, Replace string // of the path; an empty Replace: left alone
	Set             [][2]string
	Remove          []string
}

// Service is what requests are routed by. It never changes.
type Service struct {
	Table   *route.Table
	Targets []Target // by rule of the table

	// Guard tells, at any time, whether new requests may be decided by this Service; nil: always. One that may not is refused, to come
	// back after Unsure.
	Guard  func() bool
	Unsure time.Duration

	inFlight sync.WaitGroup // requests that it took
}

// Current holds the Service that takes new requests. It is safe for concurrent use.
type Current struct {
	mu     sync.RWMutex
	active *Service
}

// Swap puts a Service in the present one's place, which takes no new request from then on.
func (c *Current) Swap(s *Service) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.active = s
}

// Wait returns when all requests that the Service took have been answered. It must have been swapped out before.
func (s *Service) Wait() { s.inFlight.Wait() }

// acquire gives the Service for one request, which has to call inUse.Done.
func (c *Current) acquire() *Service {
	c.mu.RLock()
	defer c.mu.RUnlock()
	c.active.inFlight.Add(1)
	return c.active
}
