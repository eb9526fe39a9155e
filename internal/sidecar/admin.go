package sidecar

import (
	"context"
	"errors"
	"fmt"
	"io"
	"net"

	"tuliprock/internal/admin"
	"tuliprock/internal/cluster/consensus"
	"tuliprock/internal/config"
	"tuliprock/internal/metrics"
)

// openAdmin opens the operators' address of a configuration, if it is not the one that is open. s.mu is held.
func (s *Sidecar) openAdmin(c config.Service) (*admin.Server, error) {
	if c.AdminAddress == "" || s.admin != nil && s.adminAddr == c.AdminAddress {
		return nil, nil
	}
	l, err := net.Listen("tcp", c.AdminAddress)
	if err != nil {
		return nil, fmt.Errorf("admin_addr: %w", err)
	}
	handlers := admin.Handlers{
		IsReady:        s.isReady.Load,
		WriteMetrics:   s.writeMetrics,
		WritePeers:     s.cluster.writePeers,
		WriteVersions:  s.cluster.writeVersions,
		HandleSettings: s.cluster.handleSettings,
		SetEjected:     s.setEjected,
	}
	if s.cluster.hasConsensus() {
		handlers.MaxBodyBytes = consensus.MaxDocumentBytes
	}
	server := admin.New(l, c.OperatorConnections, handlers, s.log)
	go server.Serve()
	return server, nil
}

// adoptAdmin replaces the operators' address by that of a new configuration. The old one ends in the background: the
// reload must not wait for a command that waits for s.mu. s.mu is held.
func (s *Sidecar) adoptAdmin(c config.Service, opened *admin.Server) {
	if s.admin != nil && s.adminAddr != c.AdminAddress {
		go func(old *admin.Server) {
			if err := old.Close(); err != nil {
				s.log.Warn("admin address closed with an error", "error", err)
			}
		}(s.admin)
		s.admin = nil
	}
	if opened != nil {
		s.admin, s.adminAddr = opened, c.AdminAddress
		s.log.Info("admin address opened", "addr", opened.Addr().String())
	}
}

// setEjected ejects an endpoint manually, or ends that: here at once, and then on all members of a cluster with agreed
// settings. It logs the command, unless its ID is unknown: whoever can connect could fill the log with such lines.
func (s *Sidecar) setEjected(ctx context.Context, id string, isEjected bool) (string, error) {
	outcome, err := s.overrides.setEjected(ctx, id, isEjected)
	if err == nil {
		outcome += s.cluster.proposeEjection(ctx, id, isEjected)
	}
	switch {
	case errors.Is(err, errUnknownEndpoint):
	case err != nil:
		s.log.Warn("manual ejection failed", "endpoint", id, "ejected", isEjected, "error", err)
	default:
		s.log.Info("manual ejection changed", "endpoint", id, "ejected", isEjected, "outcome", outcome)
	}
	return outcome, err
}

// writeMetrics writes all metrics, one a line.
func (s *Sidecar) writeMetrics(ctx context.Context, w io.Writer) error {
	listed, avoided := s.overrides.countEndpoints(ctx)
	gauges := []metrics.Sample{{Name: "pool_size", Value: listed}, {Name: "pool_ejected", Value: avoided}}
	return s.metrics.Write(w, append(gauges, s.cluster.gauges()...)...)
}
