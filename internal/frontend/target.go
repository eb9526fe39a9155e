package frontend

import (
	"net/http"
	"strings"

	"tuliprock/internal/route"
)

// resolvedTarget is the Target of a request's route, together with the request target to forward.
type resolvedTarget struct {
	*Target
	requestTarget string // path and query with which the request is forwarded
}

// resolveTarget returns the target of a request's route. A request that matches no route is rejected: it must reach neither the
// balancer nor an endpoint, since the daemon does not know whether the request is idempotent.
func (s *Server) resolveTarget(routes *RouteConfig, r *http.Request) (resolvedTarget, *rejection) {
	routeRequest := route.Request{Method: r.Method, Header: r.Header, Host: route.NormalizeHost(r.Host)}
	rawTarget := originForm(r.RequestURI)
	var err error
	switch {
	case s.options.ForwardsUnchanged && !isPlainPath(rawTarget):
		return resolvedTarget{}, newRejection(http.StatusBadRequest, "the target is no plain path")
	case s.options.ForwardsUnchanged:
		routeRequest.Path, routeRequest.RawQuery, _ = strings.Cut(rawTarget, "?")
	default:
		if routeRequest.Path, routeRequest.RawQuery, err = route.Normalize(r.RequestURI); err != nil {
			return resolvedTarget{}, newRejection(http.StatusBadRequest, "%w", err)
		}
	}
	i, ok := routes.Table.Match(&routeRequest)
	if !ok {
		return resolvedTarget{}, newRejection(http.StatusNotFound, "nothing is served at %.80q", routeRequest.Path)
	}
	target := &routes.Targets[i]
	if s.options.ForwardsUnchanged {
		return resolvedTarget{target, rawTarget}, nil
	}
	rewritten := target.rewritePath(routeRequest.Path)
	if strings.Contains(r.RequestURI, "?") {
		rewritten += "?" + routeRequest.RawQuery
	}
	return resolvedTarget{target, rewritten}, nil
}

// rewritePath replaces Prefix at the beginning of the path by PrefixRewrite. Where both the replacement and the rest of the path
// have a slash, one slash is dropped.
func (t *Target) rewritePath(path string) string {
	if t.PrefixRewrite == "" {
		return path
	}
	rest := strings.TrimPrefix(path, t.Prefix)
	if strings.HasSuffix(t.PrefixRewrite, "/") {
		rest = strings.TrimPrefix(rest, "/")
	}
	return t.PrefixRewrite + rest
}

// originForm converts a request target in absolute form (RFC 9112, 3.2.2) to origin form, and returns any other unchanged.
func originForm(target string) string {
	const scheme = "http://"
	if len(target) < len(scheme) || !strings.EqualFold(target[:len(scheme)], scheme) {
		return target
	}
	authorityAndPath := target[len(scheme):]
	switch i := strings.IndexAny(authorityAndPath, "/?"); {
	case i < 0:
		return "/"
	case authorityAndPath[i] == '?':
		return "/" + authorityAndPath[i:]
	default:
		return authorityAndPath[i:]
	}
}

// isPlainPath reports whether a request target is an absolute path of visible ASCII characters, which can be forwarded unchanged.
func isPlainPath(target string) bool {
	return strings.HasPrefix(target, "/") && !strings.ContainsFunc(target, func(c rune) bool { return c <= ' ' || c > '~' })
}
