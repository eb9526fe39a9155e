package config

import (
	"maps"
	"os"
	"path/filepath"
	"strings"
	"testing"
	"time"
)

// validConfig is a platform file that sets most fields.
const validConfig = `{"name":"n3","listen":"127.0.0.1:0","discovery":"127.0.0.1:8500","seed":"8c1f30d27a5be964",
	"limits":{"cores":1.0,"memory_mb":128,"sockets":512},"known":{"version":41,"full":true,"servers":[]},
	"settings":{"Permissions":{"ConnIdleUs":30000000,"DialTimeoutUs":200000}}}`

func emptyEnvironment(string) string { return "" }

func TestParseReadsPlatformFile(t *testing.T) {
	c, err := Parse([]byte(validConfig), emptyEnvironment)
	if err != nil {
		t.Fatal(err)
	}
	if c.Name != "n3" || c.Limits != (Limits{1, 128, 512}) || *c.LastUpdate.Version != 41 || c.Settings.Seed != 0x8c1f30d27a5be964 ||
		c.Settings.IdleConnectionTimeout != 30*time.Second || c.Settings.DialTimeout != 200*time.Millisecond {
		t.Errorf("parsed %+v, want the values of validConfig", c)
	}
}

func TestEnvironmentReplacesMissingFields(t *testing.T) {
	path := filepath.Join(t.TempDir(), "config.json")
	if err := os.WriteFile(path, []byte(`{"seed":"1","settings":{},"listen":"127.0.0.1:1"}`), 0o600); err != nil {
		t.Fatal(err)
	}
	environment := map[string]string{"ROUTER_CONFIG": path, "ROUTER_NAME": "n1", "ROUTER_LISTEN": "127.0.0.1:2", "ROUTER_DISCOVERY": "127.0.0.1:3"}
	c, err := Load(func(variable string) string { return environment[variable] })
	if err != nil {
		t.Fatal(err)
	}
	if c.Name != "n1" || c.Listen != "127.0.0.1:1" || c.Discovery != "127.0.0.1:3" || c.Limits != (Limits{1, defaultMemoryMB, defaultSockets}) {
		t.Errorf("loaded %+v, want the listen address of the file, and for missing fields the variables' values and the default limits", c)
	}
	for variable, want := range map[string]string{"ROUTER_CONFIG": "ROUTER_CONFIG", "ROUTER_DISCOVERY": "discovery"} {
		t.Run("without "+variable, func(t *testing.T) {
			incomplete := maps.Clone(environment)
			delete(incomplete, variable)
			if _, err := Load(func(variable string) string { return incomplete[variable] }); err == nil || !strings.HasPrefix(err.Error(), want) {
				t.Errorf("got error %v, want one that begins with %s", err, want)
			}
		})
	}
}

func TestParseErrorBeginsWithField(t *testing.T) {
	for field, change := range map[string]struct{ from, to string }{
		"config":           {`{"name"`, `{name`},
		"listen":           {`"127.0.0.1:0"`, `"nowhere"`},
		"discovery":        {`"127.0.0.1:8500"`, `"127.0.0.1:dns"`},
		"seed":             {`"8c1f30d27a5be964"`, `"8c1f30d27a5be964g"`},
		"limits.cores":     {`"cores":1.0`, `"cores":-1`},
		"limits.memory_mb": {`"memory_mb":128`, `"memory_mb":1`},
		"limits.sockets":   {`"sockets":512`, `"sockets":3`},
		"known":            {`"version":41,`, ``},
		"settings":         {`{"Permissions"`, `{"Lanes":[{"Name":"x","Semantics":"odd"}],"Permissions"`},
	} {
		t.Run(field, func(t *testing.T) {
			_, err := Parse([]byte(replaceOnce(t, validConfig, change.from, change.to)), emptyEnvironment)
			if err == nil || !strings.HasPrefix(err.Error(), field+":") || strings.Contains(err.Error(), "\n") {
				t.Errorf("got error %v, want one line that begins with %s:", err, field)
			}
		})
	}
}

// replaceOnce replaces the first occurrence of from in text. It fails the test if the text stays the same.
func replaceOnce(t *testing.T, text, from, to string) string {
	t.Helper()
	changed := strings.Replace(text, from, to, 1)
	if changed == text {
		t.Fatalf("replacing %q by %q does not change the text", from, to)
	}
	return changed
}

// All clients together must not make a sidecar parse more heads at once than its memory holds.
func TestPlatformHeadsFitMemory(t *testing.T) {
	for _, row := range []struct{ memoryMB, sockets, want int }{
		{192, 1024, 16 << 10},
		{32, 1024, 32 << 20 / 16 / 492},
		{16, 1024, 4 << 10},
		{96, 512, 16 << 10},
	} {
		c := Config{Limits: Limits{Cores: 1, MemoryMB: row.memoryMB, Sockets: row.sockets}, Listen: "127.0.0.1:1", Discovery: "127.0.0.1:2"}
		s, err := c.Service()
		if err != nil {
			t.Fatal(err)
		}
		if got := s.Listeners[0].MaxHeadBytes; got != row.want {
			t.Errorf("%d MiB, %d sockets, %d connections: heads of %d bytes are allowed, want %d",
				row.memoryMB, row.sockets, s.Listeners[0].MaxConnections, got, row.want)
		}
	}
}

// The connections of clients must fit the memory, whatever the descriptors allow; a part of the descriptors stands for a part of both.
func TestPlatformConnectionsFitMemory(t *testing.T) {
	s := Service{Limits: Limits{MemoryMB: 32, Sockets: 1024}}
	for descriptors, want := range map[int]int{1024: 492, 512: 236, 64: 12} {
		if got := s.ConnectionsWithin(descriptors); got != want {
			t.Errorf("%d descriptors: %d connections, want %d", descriptors, got, want)
		}
	}
	if got := (&Service{Limits: Limits{MemoryMB: 16, Sockets: 1024}}).ConnectionsWithin(1024); got != 256 {
		t.Errorf("16 MiB, 1,024 descriptors: %d connections, want 256", got)
	}
	if got := (&Service{Limits: Limits{MemoryMB: 96, Sockets: 512}}).ConnectionsWithin(512); got != 236 {
		t.Errorf("96 MiB, 512 descriptors: %d connections, want 236", got)
	}
}

// Attempts at endpoints must fit the memory beside the clients' connections.
func TestPlatformEndpointConnectionsFitMemory(t *testing.T) {
	for _, row := range []struct{ memoryMB, sockets, want int }{{32, 1024, 192}, {32, 256, 108}, {192, 1024, 492}} {
		c := Config{Limits: Limits{Cores: 1, MemoryMB: row.memoryMB, Sockets: row.sockets}, Listen: "127.0.0.1:1", Discovery: "127.0.0.1:2"}
		s, err := c.Service()
		if err != nil {
			t.Fatal(err)
		}
		if got := s.Pools[0].MaxConnections; got != row.want {
			t.Errorf("%d MB, %d sockets: %d connections to endpoints, want %d", row.memoryMB, row.sockets, got, row.want)
		}
	}
}
