package raftnode

import (
	"bytes"
	"crypto/sha256"
	"encoding/hex"
	"slices"

	"go.etcd.io/raft/v3/raftpb"
	"google.golang.org/protobuf/encoding/protowire"
)

// foundingID identifies one bootstrap of a cluster: a digest of the ids of the disks on which the initial voters created their
// logs, in hexadecimal digits. A clusterID is the same for every bootstrap with the same initial voters; if a cluster is
// bootstrapped a second time by mistake, the foundingID keeps the two from taking each other's messages. It is empty if it is not
// known, as in data and messages of earlier builds.
type foundingID string

// foundingIDBytes is the length of a foundingID in bytes, before it is written in hexadecimal digits.
const foundingIDBytes = 8

// newFoundingID returns the id of the bootstrap in which the initial voters had disks with these ids, by name. It returns an
// empty id if the disk of an initial voter is not known.
func newFoundingID(initialVoters []string, diskIDs map[string]string) foundingID {
	digest := sha256.New()
	for _, name := range slices.Sorted(slices.Values(initialVoters)) {
		if diskIDs[name] == "" {
			return ""
		}
		digest.Write([]byte(name + " " + diskIDs[name] + "\n")) // a hash's Write never fails
	}
	return foundingID(hex.EncodeToString(digest.Sum(nil)[:foundingIDBytes]))
}

// isOther reports whether the two ids are known to be those of different bootstraps.
func (id foundingID) isOther(other foundingID) bool { return id != "" && other != "" && id != other }

// isValid reports whether id has the form of a foundingID that is not empty.
func (id foundingID) isValid() bool {
	decoded, err := hex.DecodeString(string(id))
	return err == nil && len(decoded) == foundingIDBytes
}

// Messages in JSON carry the foundingID as the first field of their object. Earlier builds ignore a field that they don't know.
var (
	foundingFieldStart = []byte(`{"founding":"`)
	foundingFieldEnd   = []byte(`",`)
)

// prependFounding returns a JSON object, which must not be empty, with the id as its first field.
func prependFounding(id foundingID, object []byte) []byte {
	if id == "" || len(object) == 0 {
		return object
	}
	return slices.Concat(foundingFieldStart, []byte(id), foundingFieldEnd, object[1:])
}

// cutFounding removes the field that prependFounding has added. The id is empty if there is no such field.
func cutFounding(object []byte) (foundingID, []byte) {
	rest, hasField := bytes.CutPrefix(object, foundingFieldStart)
	text, rest, hasEnd := bytes.Cut(rest, foundingFieldEnd)
	if id := foundingID(text); hasField && hasEnd && id.isValid() {
		return id, append([]byte("{"), rest...)
	}
	return "", object
}

// raftFoundingField is the number of the protobuf field that carries the foundingID in a raft message, as bytes. raft's own
// messages have no such field, and earlier builds ignore it.
const raftFoundingField protowire.Number = 1000

// appendRaftFounding appends the id to an encoded raft message.
func appendRaftFounding(message []byte, id foundingID) []byte {
	if id == "" {
		return message
	}
	return protowire.AppendBytes(protowire.AppendTag(message, raftFoundingField, protowire.BytesType), []byte(id))
}

// takeRaftFounding removes all fields that raft does not know from a decoded raft message, and returns the id among them. The id is
// empty if there is none.
func takeRaftFounding(message *raftpb.Message) (id foundingID) {
	unknown := message.ProtoReflect().GetUnknown()
	message.ProtoReflect().SetUnknown(nil)
	for len(unknown) > 0 {
		number, kind, tagLength := protowire.ConsumeTag(unknown)
		if tagLength < 0 {
			return id
		}
		valueLength := protowire.ConsumeFieldValue(number, kind, unknown[tagLength:])
		if valueLength < 0 {
			return id
		}
		if value, n := protowire.ConsumeBytes(unknown[tagLength:]); number == raftFoundingField && kind == protowire.BytesType && n > 0 {
			id = foundingID(value)
		}
		unknown = unknown[tagLength+valueLength:]
	}
	return id
}

// acceptsFounding reports whether a message with the given id may come from this daemon's cluster. It logs the first message of
// another bootstrap.
func (n *Node) acceptsFounding(sender string, id foundingID) bool {
	if !n.foundingID().isOther(id) {
		return true
	}
	if n.otherClusterMessages++; n.otherClusterMessages == 1 {
		n.options.Log.Error("messages of another cluster with the same name and initial voters are dropped: it was bootstrapped a second time; "+
			"end its daemons and empty their data_dirs", "sender", sender, "founding", string(n.foundingID()), "other", string(id))
	}
	return false
}

// foundingID returns the id of the bootstrap of this daemon's cluster, or an empty id if this daemon does not know it.
func (n *Node) foundingID() foundingID {
	if n.localVoter != nil && n.localVoter.founding != "" {
		return n.localVoter.founding
	}
	return n.cachedEntry.Founding
}

// learnFounding records the id that a leader's grant names, if this daemon does not know one yet. A daemon keeps it with its cached
// version, and a voter that an earlier build has added to the voters writes it to its identity file.
func (n *Node) learnFounding(id foundingID) {
	if id == "" || n.foundingID() != "" {
		return
	}
	n.cachedEntry.Founding, n.isCacheOutdated = id, true
	v := n.localVoter
	if v == nil || len(v.initialVoters) > 0 {
		return
	}
	v.founding = id
	if err := v.write(n.options.Disk); err != nil {
		n.options.Log.Warn("identity file not completed", "error", err) // the daemon learns the id again after its next start
	}
}
