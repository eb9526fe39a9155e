package hotrestart

import "testing"

// Processes of other builds read and write the same state file, so its bytes must not change.
func TestStateEncodingIsFixed(t *testing.T) {
	const want = `{
 "format": 1,
 "name": "n1",
 "processes": [
  {
   "number": 1,
   "ready": true
  },
  {
   "number": 2,
   "ready": false
  }
 ],
 "bars": [
  {
   "id": "s-1",
   "out": true,
   "at_ms": 5
  },
  {
   "id": "s-2",
   "out": false,
   "at_ms": 6
  }
 ]
}`
	got, err := State{
		Format:    stateFormat,
		Name:      "n1",
		Processes: []Process{{Number: 1, Ready: true}, {Number: 2}},
		Ejections: []Ejection{{ID: "s-1", Ejected: true, AtMs: 5}, {ID: "s-2", AtMs: 6}},
	}.encode()
	if err != nil || string(got) != want {
		t.Errorf("encoded as %s with error %v, want %s", got, err, want)
	}
}

// ParseState accepts or rejects any text without a panic, and an accepted state can be changed, encoded and parsed again.
func FuzzParseState(f *testing.F) {
	state := State{Format: stateFormat, Name: "n1", Processes: []Process{{1, true}}, Ejections: []Ejection{{"s-1", true, 5}}}
	intact, err := state.encode()
	if err != nil {
		f.Fatal(err)
	}
	f.Add(intact)
	f.Add([]byte("{}"))
	f.Fuzz(func(t *testing.T, text []byte) {
		s, err := ParseState(text, "n1")
		if err != nil {
			return
		}
		s.addProcess(func(int) bool { return true })
		_ = s.recordEjection(Ejection{"x", true, 1}) // the error is expected if the state has MaxEjections already
		changedText, err := s.encode()
		if err != nil {
			t.Fatal(err)
		}
		if _, err := ParseState(changedText, "n1"); err != nil {
			t.Errorf("state %s, changed and encoded as %s: %v, want no error", text, changedText, err)
		}
	})
}
