package frontend

import "testing"

func TestRewritePathReplacesPrefix(t *testing.T) {
	for name, c := range map[string]struct{ prefix, rewrite, path, want string }{
		"prefix and rewrite with final slash":               {"/api/", "/", "/api/x", "/x"},
		"only rewrite with final slash":                     {"/api", "/", "/api/x", "/x"},
		"neither with final slash":                          {"/api", "/v1", "/api/x", "/v1/x"},
		"only rewrite with final slash, path equals prefix": {"/api", "/v1/", "/api", "/v1/"},
		"prefix and rewrite with slash, path equals prefix": {"/api/", "/v1/", "/api/", "/v1/"},
		"no rewrite": {"/api", "", "/api/x", "/api/x"},
	} {
		t.Run(name, func(t *testing.T) {
			target := Target{Prefix: c.prefix, PrefixRewrite: c.rewrite}
			if got := target.rewritePath(c.path); got != c.want {
				t.Errorf("rewriting prefix %q of path %q to %q returned %q, want %q", c.prefix, c.path, c.rewrite, got, c.want)
			}
		})
	}
}
