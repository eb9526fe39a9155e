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

// openAdmin starts the admin server at a configuration's address for operators. It returns nil if no address is
// configured, or if the running server has the same address. s.mu is held.
func (s *Sidecar) openAdmin(c config.Service) (*admin.Server, error) {
	if c.AdminAddress == "" || s.admin != nil && s.adminAddr == c.AdminAddress {
		return nil, nil
	}
	l, err := net.Listen("tcp", c.AdminAddress)
	if err != nil {
		return nil, fmt.Errorf("admin_addr: %w", err)
	}
	handlers := admin.Handlers{
		IsReady:             s.isReady.Load,
		WriteMetrics:        s.writeMetrics,
		WritePeers:          s.cluster.writePeers,
		WriteSettingsStatus: s.cluster.writeSettingsStatus,
		HandleSettings:      s.cluster.handleSettings,
		SetEjected:          s.setEjected,
	}
	if s.cluster.hasConsensus() {
		handlers.MaxBodyBytes = consensus.MaxDocumentBytes
	}
	server := admin.New(l, c.MaxOperatorConnections, handlers, s.log)
	go server.Serve()
	return server, nil
}

// adoptAdmin replaces the admin server by the one that openAdmin has opened for a new configuration. The old server is
// closed in the background: the reload holds s.mu and must not wait for a command that waits for s.mu. s.mu is held.
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

// setEjected ejects an endpoint manually, or ends its ejection: on this daemon at once, and then on all members of a
// cluster that agrees on settings. It logs the command unless the endpoint's ID is unknown: anyone who can connect to the
// admin address could fill the log with unknown IDs.
func (s *Sidecar) setEjected(ctx context.Context, id string, isEjected bool) (string, error) {
	outcome, err := s.applyEjectionCommand(ctx, id, isEjected)
	switch {
	case errors.Is(err, errUnknownEndpoint):
	case err != nil:
		s.log.Warn("manual ejection failed", "endpoint", id, "ejected", isEjected, "error", err)
	default:
		s.log.Info("manual ejection changed", "endpoint", id, "ejected", isEjected, "outcome", outcome)
	}
	return outcome, err
}

// applyEjectionCommand applies an operator's command on this daemon and, if the cluster agrees on ejections, proposes it to the
// cluster. While it is proposed, versions that the cluster agreed on before do not undo it.
func (s *Sidecar) applyEjectionCommand(ctx context.Context, id string, isEjected bool) (string, error) {
	outcome, err := s.overrides.setEjected(ctx, id, isEjected)
	if err != nil {
		return outcome, err
	}
	version, scope := uint64(0), ""
	if s.cluster.hasConsensus() {
		version, scope = s.cluster.proposeEjection(ctx, id, isEjected)
	}
	s.overrides.finishCommand(id, version)
	return outcome + scope, nil
}

// writeMetrics writes all metrics, one per line.
func (s *Sidecar) writeMetrics(ctx context.Context, w io.Writer) error {
	listed, avoided := s.overrides.countEndpoints(ctx)
	gauges := []metrics.Sample{{Name: "pool_size", Value: listed}, {Name: "pool_ejected", Value: avoided}}
	gauges = append(gauges, s.resourceGauges()...)
	return s.metrics.Write(w, append(gauges, s.cluster.gauges()...)...)
}
