package sidecar

import (
	"tuliprock/internal/config"
	"tuliprock/internal/frontend"
	"tuliprock/internal/metrics"
)

// newRouteConfig converts a configuration's routes for the frontend. Targets of the same class share one frontend.Class.
func newRouteConfig(c config.Service, pools map[string]*pool, registry *metrics.Registry) *frontend.RouteConfig {
	classes := map[*config.Class]*frontend.Class{}
	routes := &frontend.RouteConfig{Table: c.Table}
	for _, t := range c.Targets {
		if classes[t.Class] == nil {
			classes[t.Class] = newClass(t.Class)
			classes[t.Class].Metrics = registry.Class(t.Class.Name)
		}
		target := frontend.Target{
			Loop:          pools[t.Pool].loop,
			Class:         classes[t.Class],
			DefaultTenant: t.Tenant,
			Prefix:        t.PathPrefix,
			PrefixRewrite: t.ReplacePrefix,
			RemoveHeaders: t.RemoveHeaders,
		}
		for _, h := range t.SetHeaders {
			target.SetHeaders = append(target.SetHeaders, [2]string{h.Name, h.Value})
		}
		routes.Targets = append(routes.Targets, target)
	}
	return routes
}

// newClass converts a request class's settings for the frontend; newRouteConfig adds the metrics.
func newClass(c *config.Class) *frontend.Class {
	return &frontend.Class{
		Name:                  c.Name,
		Idempotency:           config.IdempotencyByName[c.Idempotency],
		IDHeader:              c.IDHeader,
		KeyHeader:             c.KeyHeader,
		TenantHeader:          c.TenantHeader,
		DeadlineHeader:        c.DeadlineHeader,
		RetryHeader:           c.RetryHeader,
		RequiresID:            c.RequiresID(),
		RequiresDeadline:      c.RequiresDeadline(),
		DefaultDeadline:       c.Deadline,
		MaxDeadline:           c.MaxDeadline,
		Methods:               c.Methods,
		ForbidsBody:           c.ForbidsBody,
		MaxStreamDuration:     c.MaxStreamDuration,
		DeadlineCoversStreams: c.DeadlineCoversStreaming(),
	}
}
