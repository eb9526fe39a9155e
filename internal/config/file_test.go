package config

import (
	"os"
	"path/filepath"
	"strings"
	"testing"
	"time"

	"tuliprock/internal/route"
)

const goodFile = `format = 1

[[listener]]
name = "counter"
address = "127.0.0.1:8080"

[[class]]
name = "lookup"
effect = "safe"
deadline = "3s"

[[class]]
name = "dispatch"
effect = "keyed"
window = "10s"
group = "cell"

[[tenant]]
name = "council"
quota = 20

[[pool]]
name = "desk"
  [[pool.member]]
  address = "127.0.0.1:9001"
  [[pool.member]]
  id = "two"
  address = "127.0.0.1:9002"

[[route]]
name = "moves"
methods = ["MOVE", "LOCK"]
pool = "desk"
class = "dispatch"
  [[route.header]]
  name = "x-terminal"
  equal = ""

[[route]]
name = "rest"
hosts = ["*.shire.example"]
path_prefix = "/desk/"
replace_prefix = "/"
pool = "desk"
class = "lookup"
tenant = "council"
`

func TestReadAppliesDefaultsAndCompilesRoutes(t *testing.T) {
	path := filepath.Join(t.TempDir(), "ops.toml")
	if err := os.WriteFile(path, []byte(goodFile), 0o600); err != nil {
		t.Fatal(err)
	}
	f, err := Read(path)
	if err != nil {
		t.Fatal(err)
	}
	if c := f.Class[0]; c.Deadline != 3*time.Second || c.LatencyObjective != 1500*time.Millisecond || c.MaxDeadline != time.Minute || c.IDHeader != "Req-Id" || c.Group != "all" {
		t.Errorf("defaults of a class: %+v", c)
	}
	if p := f.Pool[0]; p.Attempts != 4 || p.SlowStartMinWeight != 0.3 || p.Member[0].ID != "127.0.0.1:9001" || p.Member[1].ID != "two" {
		t.Errorf("defaults of a pool: %+v", p)
	}
	if l := f.Listener[0]; l.Connections != 500 || l.BodyBytes != 64<<10 || l.Forwarded != "set" {
		t.Errorf("defaults of a listener: %+v", l)
	}
	if i, ok := f.Table().Match(&route.Request{Host: "a.shire.example", Path: "/desk/x", Method: "GET"}); !ok || i != 1 {
		t.Errorf("route %d, %v", i, ok)
	}
	if i, ok := f.Table().Match(&route.Request{Path: "/", Method: "MOVE", Header: map[string][]string{"X-Terminal": {""}}}); !ok || i != 0 {
		t.Errorf("route %d, %v", i, ok)
	}
}

func TestParseFileErrorNamesFileLineAndField(t *testing.T) {
	for want, change := range map[string]struct{ from, to string }{
		":1: format: must be 1":                      {"format = 1", "format = 2"},
		":5: listener[0].address: must be host:port": {"127.0.0.1:8080", "127.0.0.1"},
		":4: listener[0].name":                       {`"counter"`, `""`},
		": listener: must be given":                  {"[[listener]]\nname = \"counter\"\naddress = \"127.0.0.1:8080\"\n", ""},
		":9: class[0].effect":                        {`"safe"`, `"harmless"`},
		":10: class[0].deadline":                     {`"3s"`, `"0s"`},
		":12: class[1].window":                       {"window = \"10s\"\n", ""},
		":16: class[1].group":                        {`"cell"`, `"bay"`},
		":13: class[1].name: must be a name of":      {`"dispatch"`, `"lookup"`},
		":20: tenant[0].quota":                       {"20", "-1"},
		":25: pool[0].member[0].address":             {"127.0.0.1:9001", "127.0.0.1:0"},
		":27: pool[0].member[1].id":                  {`"two"`, `"127.0.0.1:9001"`},
		":33: route[0].pool: must be the name":       {"pool = \"desk\"\nclass = \"dispatch\"", "pool = \"dusk\"\nclass = \"dispatch\""},
		":45: route[1].class":                        {`class = "lookup"`, `class = "look"`},
		":46: route[1].tenant":                       {`tenant = "council"`, `tenant = "nobody"`},
		"route[1].replace_prefix":                    {`replace_prefix = "/"`, `replace_prefix = "x"`},
		"route[1]: must have one of path":            {"path_prefix", "path = \"/x\"\npath_prefix"},
		"route[1]: host":                             {"*.shire.example", "*.*.example"},
		"route[0].header[0]: must have one of equal": {`equal = ""`, "equal = \"\"\nabsent = true"},
		":5: listener[0].addr: unknown field":        {"address", "addr"},
		":2: daemon.index: must be":                  {"format = 1\n", "format = 1\ndaemon = { daemons = 2, index = 2 }\n"},
		"listener[0].retry_after":                    {"[[class]]", "retry_after = \"soon\"\n[[class]]"},
		"class[0].id_missing":                        {`effect = "safe"`, "effect = \"safe\"\nid_missing = \"drop\""},
		"pool[0]: must have members from one place":  {`name = "desk"`, "name = \"desk\"\nfile = \"x\""},
		"pool[0].agent":                              {`name = "desk"`, "name = \"desk\"\nagent = \"x\""},
		"pool[0].dns.port":                           {"[[pool.member]]\n  address = \"127.0.0.1:9001\"\n  [[pool.member]]\n  id = \"two\"\n  address = \"127.0.0.1:9002\"", "dns = { name = \"a.example\" }"},
		"pool[0].member[0].state":                    {`address = "127.0.0.1:9001"`, "address = \"127.0.0.1:9001\"\n  state = \"tired\""},
		"route[0].set_header[0].name":                {"pool = \"desk\"\nclass = \"dispatch\"", "pool = \"desk\"\nclass = \"dispatch\"\nset_header = [{ name = \"Via\", value = \"x\" }]"},
		"route[0].set_header[0].value":               {"pool = \"desk\"\nclass = \"dispatch\"", "pool = \"desk\"\nclass = \"dispatch\"\nset_header = [{ name = \"X-A\", value = \"x\\ny\" }]"},
		"fleet.listen: must be an IP":                {"format = 1\n", "format = 1\nfleet = { listen = \"localhost:7\" }\n"},
		":2: fleet.listen: must be a loopback":       {"format = 1\n", "format = 1\nfleet = { listen = \"10.0.0.1:7\" }\n"},
		"fleet.name":                                 {"format = 1\n", "format = 1\nfleet = { name = \"a b\", listen = \"127.0.0.1:7\" }\n"},
		"fleet.advertise: must be given":             {"format = 1\n", "format = 1\nfleet = { listen = \"0.0.0.0:7\", key_file = \"x\" }\n"},
		"fleet.join":                                 {"format = 1\n", "format = 1\nfleet = { listen = \"127.0.0.1:7\", join = [\"a:1\"] }\n"},
		"fleet.voters: must be an odd number":        {"format = 1\n", "format = 1\nfleet = { listen = \"127.0.0.1:7\", voters = [\"a\", \"b\"] }\n"},
		"fleet.voters: must be names, each once":     {"format = 1\n", "format = 1\nfleet = { listen = \"127.0.0.1:7\", voters = [\"a\", \"b\", \"a\"] }\n"},
		"fleet.probe_timeout":                        {"format = 1\n", "format = 1\nfleet = { listen = \"127.0.0.1:7\", probe_every = \"1s\", probe_timeout = \"501ms\" }\n"},
		"fleet.agreed":                               {"format = 1\n", "format = 1\nfleet = { listen = \"127.0.0.1:7\", agreed = true }\n"},
		"fleet.data_dir":                             {"format = 1\n", "format = 1\nfleet = { listen = \"127.0.0.1:7\", agreed = true, name = \"a\", voters = [\"a\"] }\n"},
		"fleet.lease":                                {"format = 1\n", "format = 1\nfleet = { listen = \"127.0.0.1:7\", conflict_within = \"5s\", lease = \"4s\" }\n"},
		"fleet.suspicion":                            {"format = 1\n", "format = 1\nfleet = { listen = \"127.0.0.1:7\", suspicion = \"1ms\" }\n"},
		"route[0].remove_headers":                    {"pool = \"desk\"\nclass = \"dispatch\"", "pool = \"desk\"\nclass = \"dispatch\"\nremove_headers = [\"Host\"]"},
	} {
		t.Run(want, func(t *testing.T) {
			_, err := ParseFile("ops.toml", []byte(replaceOnce(t, goodFile, change.from, change.to)))
			if err == nil || !strings.Contains(err.Error(), want) || strings.Contains(err.Error(), "\n") || !strings.HasPrefix(err.Error(), "ops.toml:") {
				t.Error(err)
			}
		})
	}
}

func FuzzParseFile(f *testing.F) {
	f.Add([]byte(goodFile))
	f.Add([]byte("[[route]]\npath_pattern = \"(\"\n"))
	f.Fuzz(func(t *testing.T, text []byte) {
		file, err := ParseFile("ops.toml", text)
		if err != nil {
			if strings.Contains(err.Error(), "\n") || !strings.HasPrefix(err.Error(), "ops.toml") {
				t.Errorf("%q", err)
			}
			return
		}
		if file.Table().Len() != len(file.Route) {
			t.Error("a route is missing in the table")
		}
	})
}
