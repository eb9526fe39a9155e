package config

import (
	"os"
	"path/filepath"
	"strings"
	"testing"
	"time"

	"tuliprock/internal/route"
)

// validFile is an operators' file with a section of each kind but [daemon], [fleet] and [shared].
const validFile = `format = 1

[[listener]]
name = "http"
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
name = "acme"
quota = 20

[[pool]]
name = "web"
  [[pool.member]]
  address = "127.0.0.1:9001"
  [[pool.member]]
  id = "two"
  address = "127.0.0.1:9002"

[[route]]
name = "webdav"
methods = ["MOVE", "LOCK"]
pool = "web"
class = "dispatch"
  [[route.header]]
  name = "x-terminal"
  equal = ""

[[route]]
name = "rest"
hosts = ["*.site.example"]
path_prefix = "/web/"
replace_prefix = "/"
pool = "web"
class = "lookup"
tenant = "acme"
`

func TestReadAppliesDefaultsAndCompilesRoutes(t *testing.T) {
	path := filepath.Join(t.TempDir(), "ops.toml")
	if err := os.WriteFile(path, []byte(validFile), 0o600); err != nil {
		t.Fatal(err)
	}
	f, err := Read(path)
	if err != nil {
		t.Fatal(err)
	}
	if c := f.Class[0]; c.Deadline != 3*time.Second || c.LatencyObjective != 1500*time.Millisecond || c.MaxDeadline != time.Minute || c.IDHeader != "Req-Id" || c.DedupScope != "all" {
		t.Errorf("class %+v, want default values in the fields that the file leaves out", c)
	}
	if p := f.Pool[0]; p.MaxAttempts != 4 || p.SlowStartCapacity != 0.3 || p.Member[0].ID != "127.0.0.1:9001" || p.Member[1].ID != "two" {
		t.Errorf("pool %+v, want default values in the fields that the file leaves out", p)
	}
	if l := f.Listener[0]; l.MaxConnections != 500 || l.MaxBodyBytes != 64<<10 || l.Forwarded != "set" {
		t.Errorf("listener %+v, want default values in the fields that the file leaves out", l)
	}
	if i, ok := f.Table().Match(&route.Request{Host: "a.site.example", Path: "/web/x", Method: "GET"}); !ok || i != 1 {
		t.Errorf("GET of /web/x matches route %d (match: %v), want route 1", i, ok)
	}
	if i, ok := f.Table().Match(&route.Request{Path: "/", Method: "MOVE", Header: map[string][]string{"X-Terminal": {""}}}); !ok || i != 0 {
		t.Errorf("MOVE with an empty X-Terminal matches route %d (match: %v), want route 0", i, ok)
	}
}

func TestParseFileErrorNamesFileLineAndField(t *testing.T) {
	for want, change := range map[string]struct{ from, to string }{
		":1: format: must be 1":                              {"format = 1", "format = 2"},
		":5: listener[0].address: must be host:port":         {"127.0.0.1:8080", "127.0.0.1"},
		":4: listener[0].name":                               {`"http"`, `""`},
		": listener: must be given":                          {"[[listener]]\nname = \"http\"\naddress = \"127.0.0.1:8080\"\n", ""},
		":9: class[0].effect":                                {`"safe"`, `"harmless"`},
		":10: class[0].deadline":                             {`"3s"`, `"0s"`},
		":12: class[1].window":                               {"window = \"10s\"\n", ""},
		":16: class[1].group":                                {`"cell"`, `"rack"`},
		":13: class[1].name: must be a unique name":          {`"dispatch"`, `"lookup"`},
		":20: tenant[0].quota":                               {"20", "-1"},
		":25: pool[0].member[0].address":                     {"127.0.0.1:9001", "127.0.0.1:0"},
		":27: pool[0].member[1].id":                          {`"two"`, `"127.0.0.1:9001"`},
		":33: route[0].pool: must be the name":               {"pool = \"web\"\nclass = \"dispatch\"", "pool = \"other\"\nclass = \"dispatch\""},
		":45: route[1].class":                                {`class = "lookup"`, `class = "look"`},
		":46: route[1].tenant":                               {`tenant = "acme"`, `tenant = "nobody"`},
		"route[1].replace_prefix":                            {`replace_prefix = "/"`, `replace_prefix = "x"`},
		"route[1]: must have at most one of path":            {"path_prefix", "path = \"/x\"\npath_prefix"},
		"route[1]: host":                                     {"*.site.example", "*.*.example"},
		"route[0].header[0]: must have at most one of equal": {`equal = ""`, "equal = \"\"\nabsent = true"},
		":5: listener[0].addr: unknown field":                {"address", "addr"},
		":2: daemon.index: must be":                          {"format = 1\n", "format = 1\ndaemon = { daemons = 2, index = 2 }\n"},
		"listener[0].retry_after":                            {"[[class]]", "retry_after = \"soon\"\n[[class]]"},
		"class[0].id_missing":                                {`effect = "safe"`, "effect = \"safe\"\nid_missing = \"drop\""},
		"pool[0]: must have exactly one of member":           {`name = "web"`, "name = \"web\"\nfile = \"x\""},
		"pool[0].agent":                                      {`name = "web"`, "name = \"web\"\nagent = \"x\""},
		"pool[0].dns.port":                                   {"[[pool.member]]\n  address = \"127.0.0.1:9001\"\n  [[pool.member]]\n  id = \"two\"\n  address = \"127.0.0.1:9002\"", "dns = { name = \"a.example\" }"},
		"pool[0].member[0].state":                            {`address = "127.0.0.1:9001"`, "address = \"127.0.0.1:9001\"\n  state = \"tired\""},
		"route[0].set_header[0].name":                        {"pool = \"web\"\nclass = \"dispatch\"", "pool = \"web\"\nclass = \"dispatch\"\nset_header = [{ name = \"Via\", value = \"x\" }]"},
		"route[0].set_header[0].value":                       {"pool = \"web\"\nclass = \"dispatch\"", "pool = \"web\"\nclass = \"dispatch\"\nset_header = [{ name = \"X-A\", value = \"x\\ny\" }]"},
		"fleet.listen: must be an IP":                        {"format = 1\n", "format = 1\nfleet = { listen = \"localhost:7\" }\n"},
		":2: fleet.listen: must be a loopback":               {"format = 1\n", "format = 1\nfleet = { listen = \"10.0.0.1:7\" }\n"},
		"fleet.name":                                         {"format = 1\n", "format = 1\nfleet = { name = \"a b\", listen = \"127.0.0.1:7\" }\n"},
		"fleet.advertise: must be given":                     {"format = 1\n", "format = 1\nfleet = { listen = \"0.0.0.0:7\", key_file = \"x\" }\n"},
		"fleet.join":                                         {"format = 1\n", "format = 1\nfleet = { listen = \"127.0.0.1:7\", join = [\"a:1\"] }\n"},
		"fleet.voters: must be an odd number":                {"format = 1\n", "format = 1\nfleet = { listen = \"127.0.0.1:7\", voters = [\"a\", \"b\"] }\n"},
		"fleet.voters: must be names, each once":             {"format = 1\n", "format = 1\nfleet = { listen = \"127.0.0.1:7\", voters = [\"a\", \"b\", \"a\"] }\n"},
		"fleet.probe_timeout":                                {"format = 1\n", "format = 1\nfleet = { listen = \"127.0.0.1:7\", probe_every = \"1s\", probe_timeout = \"501ms\" }\n"},
		"fleet.agreed":                                       {"format = 1\n", "format = 1\nfleet = { listen = \"127.0.0.1:7\", agreed = true }\n"},
		"fleet.data_dir":                                     {"format = 1\n", "format = 1\nfleet = { listen = \"127.0.0.1:7\", agreed = true, name = \"a\", voters = [\"a\"] }\n"},
		"fleet.lease":                                        {"format = 1\n", "format = 1\nfleet = { listen = \"127.0.0.1:7\", conflict_within = \"5s\", lease = \"4s\" }\n"},
		"fleet.suspicion":                                    {"format = 1\n", "format = 1\nfleet = { listen = \"127.0.0.1:7\", suspicion = \"1ms\" }\n"},
		"route[0].remove_headers":                            {"pool = \"web\"\nclass = \"dispatch\"", "pool = \"web\"\nclass = \"dispatch\"\nremove_headers = [\"Host\"]"},
	} {
		t.Run(want, func(t *testing.T) {
			_, err := ParseFile("ops.toml", []byte(replaceOnce(t, validFile, change.from, change.to)))
			if err == nil || !strings.Contains(err.Error(), want) || strings.Contains(err.Error(), "\n") || !strings.HasPrefix(err.Error(), "ops.toml:") {
				t.Errorf("got error %v, want one line that begins with the file's name and has %q", err, want)
			}
		})
	}
}

func FuzzParseFile(f *testing.F) {
	f.Add([]byte(validFile))
	f.Add([]byte("[[route]]\npath_pattern = \"(\"\n"))
	f.Fuzz(func(t *testing.T, text []byte) {
		file, err := ParseFile("ops.toml", text)
		if err != nil {
			if strings.Contains(err.Error(), "\n") || !strings.HasPrefix(err.Error(), "ops.toml") {
				t.Errorf("error %q is not one line that begins with the file's name", err)
			}
			return
		}
		if file.Table().Len() != len(file.Route) {
			t.Errorf("the table has %d rules for %d routes", file.Table().Len(), len(file.Route))
		}
	})
}
