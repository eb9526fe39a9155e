package tomlfile

import (
	"strings"
	"testing"
	"time"
)

type kindTable struct {
	Name  string `toml:"name"`
	Cores int    `toml:"cores"`
}

type tierTable struct {
	Name string      `toml:"name"`
	Size NumberRange `toml:"size"`
	Kind []kindTable `toml:"kind"`
}

type sampleFile struct {
	Name     string        `toml:"name"`
	Seed     uint64        `toml:"seed"`
	Delay    DurationRange `toml:"late"`
	Interval time.Duration `toml:"every"`
	Share    float64       `toml:"share"`
	On       bool          `toml:"on"`
	Load     struct {
		Rate float64 `toml:"rate"`
	} `toml:"load"`
	Tier []tierTable `toml:"tier"`
}

const sampleText = `name = "x"
seed = 7
late = ["1s", "2.5s"]
every = "10ms"
share = 1
on = true
load = { rate = 2.5 }

[[tier]]
name = "a"
size = [8, 10]

[[tier.kind]]
name = "k"
cores = 2

[[tier]]
name = "b"
size = 3
[[tier.kind]]
name = "l"
cores = 4
[[tier.kind]]
name = "m"
cores = 8
`

func TestDecodeFillsStructAndFindsLines(t *testing.T) {
	var s sampleFile
	f, err := Decode("day.toml", []byte(sampleText), &s)
	if err != nil {
		t.Fatal(err)
	}
	if s.Name != "x" || s.Seed != 7 || s.Delay != (DurationRange{time.Second, 2500 * time.Millisecond}) || s.Interval != 10*time.Millisecond ||
		s.Share != 1 || !s.On || s.Load.Rate != 2.5 || len(s.Tier) != 2 || s.Tier[0].Size != (NumberRange{8, 10}) ||
		s.Tier[1].Size != (NumberRange{3, 3}) || s.Tier[1].Kind[1].Cores != 8 {
		t.Errorf("decoded %+v, want the values of sampleText", s)
	}
	for field, want := range map[string]string{
		"tier[1].kind[1].cores": "day.toml:25: tier[1].kind[1].cores: too many",
		"tier[1].kind[1].speed": "day.toml:23: tier[1].kind[1].speed: too many", // speed is not in the file, so the error has the line of tier[1].kind[1]
		"load.rate":             "day.toml:7: load.rate: too many",
		"nowhere":               "day.toml: nowhere: too many",
	} {
		t.Run(field, func(t *testing.T) {
			if got := f.Errorf(field, "too %s", "many").Error(); got != want {
				t.Errorf("got %q, want %q", got, want)
			}
		})
	}
}

func TestDecodeErrorNamesFileLineAndField(t *testing.T) {
	for want, change := range map[string]struct{ from, to string }{
		"day.toml:1: nam: unknown field":             {`name = "x"`, `nam = "x"`},
		"day.toml:2: seed:":                          {`seed = 7`, `seed = -7`},
		"day.toml:3: late:":                          {`["1s", "2.5s"]`, `["2s", "1s"]`},
		"day.toml:4: every:":                         {`"10ms"`, `10`},
		"day.toml:5: share:":                         {`share = 1`, `share = nan`},
		"day.toml:7: load.rate:":                     {`rate = 2.5`, `rate = "2.5"`},
		"day.toml:11: tier[0].size:":                 {`[8, 10]`, `[8, 10, 12]`},
		"day.toml:25: tier[1].kind[1].cores:":        {`cores = 8`, `cores = 8.5`},
		"day.toml:25: tier[1].kind[1].core: unknown": {`cores = 8`, `core = 8`},
		"day.toml:3:":                                {`late = `, `late = = `},
		"day.toml:6: on:":                            {`on = true`, `on = "yes"`},
	} {
		t.Run(want, func(t *testing.T) {
			text := strings.Replace(sampleText, change.from, change.to, 1)
			if text == sampleText {
				t.Fatalf("the sample file does not contain %q", change.from)
			}
			var s sampleFile
			_, err := Decode("day.toml", []byte(text), &s)
			if err == nil || !strings.HasPrefix(err.Error(), want) || strings.Contains(err.Error(), "\n") {
				t.Errorf("got error %v, want one line that begins with %q", err, want)
			}
		})
	}
}

func TestDecodeReturnsFirstErrorOfFile(t *testing.T) {
	var s sampleFile
	for range 20 { // repeated since the decoder iterates over maps in random order
		_, err := Decode("day.toml", []byte("a = 1\nb = 2\nc = 3\n"), &s)
		if err == nil || err.Error() != "day.toml:1: a: unknown field" {
			t.Fatalf("got error %v, want the one in line 1", err)
		}
	}
}

func FuzzDecode(f *testing.F) {
	f.Add([]byte(sampleText))
	f.Add([]byte("[[tier]]\n[tier.kind]\nx = 1"))
	f.Add([]byte("a.b.c = {x = {y = [1, {z = 2}]}}"))
	f.Fuzz(func(t *testing.T, text []byte) {
		var s sampleFile
		if _, err := Decode("day.toml", text, &s); err != nil && (strings.Contains(err.Error(), "\n") || !strings.HasPrefix(err.Error(), "day.toml")) {
			t.Errorf("error %q is not one line that begins with the file's name", err)
		}
	})
}
