package consensus

import (
	"encoding/json"
	"fmt"
)

// snapshotState is the encoded form of a State in a snapshot. Documents are encoded without their bodies, so that a body
// that several documents share is stored once.
type snapshotState struct {
	State
	Bodies map[string][]byte `json:"bodies"` // bodies of the documents, by bodyKey
}

// bodyKey returns the key of a document's body in a snapshot: its digest in hexadecimal digits.
func bodyKey(d *Document) string { return fmt.Sprintf("%x", d.Digest) }

// Encode returns the encoded form of the State for a snapshot. Equal States have equal encodings.
func (s *State) Encode() ([]byte, error) {
	out := snapshotState{State: *s, Bodies: map[string][]byte{}}
	moveBody := func(d Document) Document {
		if len(d.Body) > 0 {
			out.Bodies[bodyKey(&d)] = d.Body
		}
		d.Body = nil
		return d
	}
	for _, docs := range []*map[string]Document{&out.Docs, &out.PendingDocs, &out.ActiveDocs} {
		withoutBodies := make(map[string]Document, len(*docs))
		for name, d := range *docs {
			withoutBodies[name] = moveBody(d)
		}
		*docs = withoutBodies
	}
	out.RetainedDocs = nil
	for _, d := range s.RetainedDocs {
		out.RetainedDocs = append(out.RetainedDocs, moveBody(d))
	}
	return json.Marshal(out)
}

// DecodeState decodes the output of State.Encode.
func DecodeState(encoded []byte) (*State, error) {
	in := snapshotState{State: *NewState()}
	if err := json.Unmarshal(encoded, &in); err != nil {
		return nil, fmt.Errorf("decode state: %w", err)
	}
	restoreBody := func(d *Document) {
		if body := in.Bodies[bodyKey(d)]; len(body) > 0 {
			d.Body = body
		}
	}
	for _, docs := range []map[string]Document{in.Docs, in.PendingDocs, in.ActiveDocs} {
		for name, d := range docs {
			restoreBody(&d)
			docs[name] = d
		}
	}
	for i := range in.RetainedDocs {
		restoreBody(&in.RetainedDocs[i])
	}
	return &in.State, nil
}
