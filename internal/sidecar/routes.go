package sidecar

import (
	"tuliprock/internal/config"
	"tuliprock/internal/frontend"
	"tuliprock/internal/metrics"
)

// newService translates a configuration's routes for the frontend. Targets of the same class share one frontend.Class.
func newService(c config.Service, pools map[string]*pool, registry *metrics.Registry) *frontend.Service {
	classes := map[*config.Class]*frontend.Class{}
	service := &frontend.Service{Table: c.Table}
	for _, t := range c.Targets {
		if classes[t.Class] == nil {
			classes[t.Class] = newClass(t.Class)
			classes[t.Class].Figures = registry.Class(t.Class.Name)
		}
		target := frontend.Target{
			Pool:    pools[t.Pool].loop,
			Class:   classes[t.Class],
			Tenant:  t.Tenant,
			Prefix:  t.Prefix,
			Replace: t.Replace,
			Remove:  t.Remove,
		}
		for _, h := range t.Set {
			target.Set = append(target.Set, [2]string{h.Name, h.Value})
		}
		service.Targets = append(service.Targets, target)
	}
	return service
}

func newClass(c *config.Class) *frontend.Class {
	return &frontend.Class{
		Name:             c.Name,
		Effect:           config.Effects[c.Effect],
		IDHeader:         c.IDHeader,
		KeyHeader:        c.KeyHeader,
		TenantHeader:     c.TenantHeader,
		DeadlineHeader:   c.DeadlineHeader,
		RetryHeader:      c.RetryHeader,
		MustHaveID:       c.MustHaveID(),
		MustHaveDeadline: c.MustHaveDeadline(),
		Deadline:         c.Deadline,
		DeadlineMost:     c.DeadlineMost,
		Methods:          c.Methods,
		NoBody:           c.NoBody,
		FlowMost:         c.FlowMost,
		DeadlineAll:      c.DeadlineAll(),
	}
}
