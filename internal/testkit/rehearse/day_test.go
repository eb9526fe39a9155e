package rehearse

import (
	"strings"
	"testing"
	"time"

	"tuliprock/deploy/rehearsals"
)

// TestErrorOfInvalidDayNamesLineAndField replaces one piece of a valid day's file at a time and checks the place that the error
// names. The keys of the map are parts of the expected errors.
func TestErrorOfInvalidDayNamesLineAndField(t *testing.T) {
	for want, change := range map[string][2]string{
		"test.toml:1: format: must be 1":               {"format = 1", "format = 2"},
		"test.toml:4: length: must be":                 {`"8s"`, `"0s"`},
		"test.toml:6: load.use: must be":               {"use = 0.5", "use = 0"},
		"test.toml:20: tier[0].name":                   {`name = "front"`, `name = ""`},
		"test.toml:21: tier[0].nodes: must be":         {"nodes = 4", "nodes = 4000"},
		"test.toml:28: tier[0].kind[0].cores: must be": {"cores = 2", "cores = 0"},
		"test.toml:51: class[0].effect: must be":       {`"safe"`, `"harmless"`},
		"trouble[0].kind: must be slow":                {`kind = "reset"`, `kind = "rest"`},
		"test.toml:65: class[2].window: must be":       {"window = \"5s\"\n", ""},
		"trouble[1].down: must be":                     {"down = \"300ms\"\n", ""},
		"trouble[0].at: must be":                       {`at = "1s"`, `at = "9s"`},
		"trouble[2].how: must be":                      {`how = "kill"`, `how = "softly"`},
		"trouble[0].size: must be a share":             {"size = 0.5", "size = 1.5"},
		"trouble[0].share: must be":                    {"share = 0.5\nsize", "size"},
		"unknown field":                                {"retries = 1", "retires = 1"},
	} {
		text := strings.Replace(testDayText, change[0], change[1], 1)
		if text == testDayText {
			t.Fatalf("%s: the text to replace is missing", want)
		}
		_, err := Parse("test.toml", []byte(text))
		if err == nil || !strings.Contains(err.Error(), want) || strings.Contains(err.Error(), "\n") ||
			!strings.HasPrefix(err.Error(), "test.toml:") {
			t.Errorf("got error %v, want one line that contains %q and begins with the file's name", err, want)
		}
	}
}

func FuzzParse(f *testing.F) {
	f.Add([]byte(testDayText))
	for _, name := range rehearsals.Names() {
		text, _ := rehearsals.Text(name)
		f.Add(text)
	}
	f.Fuzz(func(t *testing.T, text []byte) {
		d, err := Parse("day.toml", text)
		if err != nil {
			if strings.Contains(err.Error(), "\n") || !strings.HasPrefix(err.Error(), "day.toml") {
				t.Errorf("error %q is not one line that begins with the file's name", err)
			}
			return
		}
		if d.Length <= 10*time.Second && d.Load.Utilization.Hi <= 1 { // only such short days at moderate load are planned; NewPlan may return an error for them, but must not panic
			_, _ = NewPlan(d, 1, 1)
		}
	})
}

func TestSetLengthScalesFaults(t *testing.T) {
	d, err := Parse("test.toml", []byte(testDayText))
	if err != nil {
		t.Fatal(err)
	}
	if err := d.SetLength(4 * time.Second); err != nil || d.Length != 4*time.Second || d.Faults[1].Start.Lo != time.Second ||
		d.Faults[1].Duration.Lo != 750*time.Millisecond {
		t.Errorf("SetLength returned %v; length %v and fault %+v, want 4s and a fault from 1s for 750ms", err, d.Length, d.Faults[1])
	}
	if d.SetLength(0) == nil || d.SetLength(48*time.Hour) == nil {
		t.Error("SetLength accepted a length of 0 or of 48 hours")
	}
}
