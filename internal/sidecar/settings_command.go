package sidecar

import (
	"context"
	"errors"
	"fmt"
	"io"
	"maps"
	"slices"
	"strconv"
	"strings"
	"time"

	"tuliprock/internal/cluster/consensus"
	"tuliprock/internal/cluster/status"
	"tuliprock/internal/cluster/swim"
	"tuliprock/internal/config"
)

// errNoConsensus is the response to a command about agreed settings on a daemon without them. Clients of the operators'
// address may match this text.
var errNoConsensus = errors.New("nothing is agreed on here")

// argumentCount gives the smallest and the largest number of arguments that a settings command takes.
type argumentCount struct{ min, max int }

// settingsCommands are the commands that may follow the word settings on a line to the admin address.
var settingsCommands = map[string]argumentCount{
	"put":           {4, 4},
	"remove":        {3, 3},
	"back":          {4, 4},
	"force":         {2, 2},
	"voters-add":    {2, 2},
	"voters-remove": {2, 2},
	"history":       {0, 0},
	"show":          {1, 2},
}

// handleSettings executes the command that follows the word settings on a line to the admin address, and writes the
// result:
//
//	put ID EXPECT NAME BYTES      stores a document; EXPECT: the version that must be the latest, or - for any
//	remove ID EXPECT NAME         removes a document
//	back ID EXPECT NAME VERSION   restores a document as it was at a version
//	force ID VERSION              activates the next version although some daemons can't install it
//	voters-add ID NAME            makes a daemon with a data_dir a voter
//	voters-remove ID NAME         makes a voter an ordinary member again
//	history                       lists all changes that are remembered
//	show NAME [VERSION]           shows a document as agreed on now, or as it was at a version
//
// Without a command it writes the settings in force. A command that is repeated with the same ID takes effect only once.
func (n *clusterNode) handleSettings(ctx context.Context, arguments string, body []byte, w io.Writer) error {
	if !n.hasConsensus() {
		return errNoConsensus
	}
	words := strings.Fields(arguments)
	if len(words) == 0 {
		return n.writeSettings(w)
	}
	c, err := n.parseSettingsCommand(words[0], words[1:], body)
	if err != nil {
		return err
	}
	if c.Put != nil {
		if err := n.checkPut(c.Put); err != nil {
			return err
		}
	}
	result, err := n.raft.Propose(ctx, *c)
	if err != nil {
		return err
	}
	if c.Read == nil {
		n.log.Info("settings command applied",
			"command", words[0], "arguments", strings.Join(words[1:], " "), "version", result.Version)
	}
	return status.WriteResult(w, result)
}

// parseSettingsCommand parses a command and its arguments. Clients of the admin address may match the texts of its
// errors.
func (n *clusterNode) parseSettingsCommand(name string, args []string, body []byte) (*consensus.Command, error) {
	count, isKnown := settingsCommands[name]
	if !isKnown {
		return nil, fmt.Errorf(
			"settings %.40q is none of put, remove, back, force, voters-add, voters-remove, history, show", name)
	}
	if len(args) < count.min || len(args) > count.max {
		return nil, fmt.Errorf("settings %s: %d words follow, not %d", name, len(args), count.min)
	}
	c := &consensus.Command{ProposedBy: n.spec.Name, AtUnixMilli: time.Now().UnixMilli()}
	var err error
	switch name {
	case "history":
		c.Read = &consensus.DocumentVersion{}
	case "show":
		c.Read = &consensus.DocumentVersion{Name: args[0]}
		if len(args) == 2 {
			c.Read.Version, err = strconv.ParseUint(args[1], 10, 64)
		}
	case "force":
		c.ID = args[0]
		c.ForceVersion, err = strconv.ParseUint(args[1], 10, 64)
	case "voters-add", "voters-remove":
		c.ID = args[0]
		if !swim.IsValidName(args[1]) {
			return nil, fmt.Errorf("%.40q is no name of a daemon", args[1])
		}
		c.ChangeVoter = &consensus.VoterChange{Name: args[1], IsRemoval: name == "voters-remove"}
	default:
		c.ID = args[0]
		err = parseDocumentChange(c, name, args, body)
	}
	return c, err
}

// parseDocumentChange parses the arguments of the commands put, remove and back. Clients of the admin address may
// match the texts of its errors.
func parseDocumentChange(c *consensus.Command, name string, args []string, body []byte) error {
	if args[1] != "-" {
		expectedVersion, err := strconv.ParseUint(args[1], 10, 64)
		if err != nil {
			return err
		}
		c.ExpectedVersion = &expectedVersion
	}
	documentName := args[2]
	if !config.IsDocumentName(documentName) {
		return fmt.Errorf("%.40q is no name of a document", documentName)
	}
	var err error
	switch name {
	case "put":
		c.Put = &consensus.DocumentPut{Name: documentName, Body: body}
	case "remove":
		c.Remove = documentName
	default:
		c.Revert = &consensus.DocumentVersion{Name: documentName}
		c.Revert.Version, err = strconv.ParseUint(args[3], 10, 64)
	}
	return err
}

// checkPut returns an error if this daemon could not install a document together with the other agreed documents.
func (n *clusterNode) checkPut(put *consensus.DocumentPut) error {
	agreed, _ := n.raft.Valid()
	docs := documentBodies(settingsDocuments(agreed.Docs))
	docs[put.Name] = put.Body
	return n.ownFile.Load().CheckDocuments(docs)
}

// writeSettings writes the status of the agreed settings on this daemon, with one line for each document.
func (n *clusterNode) writeSettings(w io.Writer) error {
	if !n.hasConsensus() {
		return errNoConsensus
	}
	s, agreed := n.settingsStatus()
	for _, name := range slices.Sorted(maps.Keys(agreed.Docs)) {
		d := agreed.Docs[name]
		s.Documents = append(s.Documents, status.Document{
			Name: name, Version: d.Version, ProposedBy: d.ProposedBy, Bytes: len(d.Body), SHA256: fmt.Sprintf("%x", d.Digest),
		})
	}
	return s.Write(w)
}

// writeSettingsStatus writes the status of the agreed settings on this daemon without the lines for the documents.
func (n *clusterNode) writeSettingsStatus(w io.Writer) error {
	if !n.hasConsensus() {
		return errNoConsensus
	}
	s, _ := n.settingsStatus()
	return s.Write(w)
}

// settingsStatus returns the status of the agreed settings on this daemon, without documents, and the settings themselves.
func (n *clusterNode) settingsStatus() (*status.Settings, *consensus.LeasedVersion) {
	agreed, _ := n.raft.Valid()
	raftStatus := n.raft.Status()
	s := &status.Settings{
		ActiveVersion:       agreed.Version,
		HasLease:            n.raft.CoversVersion(agreed.Version),
		LeaseMs:             n.raft.LeaseRemaining().Milliseconds(),
		IsVoter:             raftStatus.IsVoter,
		IsLeader:            raftStatus.IsLeader,
		Leader:              raftStatus.Leader,
		Term:                raftStatus.Term,
		AppliedVersion:      raftStatus.AppliedVersion,
		PendingVersion:      raftStatus.PendingVersion,
		OldestActiveVersion: raftStatus.OldestActiveVersion,
		RejectedVersion:     raftStatus.RejectedVersion,
		RejectionReason:     raftStatus.RejectionReason,
		RejectedRequests:    n.rejectedRequests.Load(),
		KnownVoters:         strings.Join(raftStatus.KnownVoters, ","),
		ActiveVoters:        strings.Join(raftStatus.ActiveVoters, ","),
	}
	for _, l := range raftStatus.Lagging {
		s.LaggingDaemons = append(s.LaggingDaemons, status.LaggingDaemon{Name: l.Daemon, Reason: l.Reason})
	}
	return s, agreed
}
