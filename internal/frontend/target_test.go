package frontend

import "testing"

func TestRewritePathReplacesPrefix(t *testing.T) {
	for name, c := range map[string]struct{ prefix, replace, path, want string }{
		"slash by slash":               {"/api/", "/", "/api/x", "/x"},
		"no slash by slash":            {"/api", "/", "/api/x", "/x"},
		"no slash by no slash":         {"/api", "/v1", "/api/x", "/v1/x"},
		"no slash by slash, all of it": {"/api", "/v1/", "/api", "/v1/"},
		"slash by slash, all of it":    {"/api/", "/v1/", "/api/", "/v1/"},
		"no replacement":               {"/api", "", "/api/x", "/api/x"},
	} {
		t.Run(name, func(t *testing.T) {
			target := Target{Prefix: c.prefix, PrefixRewrite: c.replace}
			if got := target.rewritePath(c.path); got != c.want {
				t.Errorf("%s for %s in %s: %s, want %s", c.replace, c.prefix, c.path, got, c.want)
			}
		})
	}
}
