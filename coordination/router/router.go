// Package router matches requests to routes and determines the regions that may serve them.
package router

import (
	"cmp"
	"slices"
	"strings"

	"eelgrasspoint"
)

// Router is an immutable index of the routes and Clients of one revision.
type Router struct {
	// byHost holds the routes by host and first path segment, those with longer prefixes first, then those
	// that list more methods, then by name. An empty host or segment matches any.
	byHost  map[string]map[string][]entry
	byName  map[string]*eelgrasspoint.Route
	clients map[string]*eelgrasspoint.Client
}

// entry is a route with its path prefix in the form in which prefixes are compared.
type entry struct {
	*eelgrasspoint.Route
	prefix string
}

// New returns the index of a document.
func New(document *eelgrasspoint.Document) *Router {
	r := &Router{
		byHost:  make(map[string]map[string][]entry),
		byName:  make(map[string]*eelgrasspoint.Route, len(document.Routes)),
		clients: make(map[string]*eelgrasspoint.Client, len(document.Clients)),
	}
	for i := range document.Routes {
		r.add(&document.Routes[i])
	}
	for i := range document.Clients {
		r.clients[document.Clients[i].Name] = &document.Clients[i]
	}
	return r
}

func (r *Router) add(route *eelgrasspoint.Route) {
	if !route.Refuses() || r.byName[route.Name] == nil {
		r.byName[route.Name] = route
	}
	host := hostName(route.Host)
	segments := r.byHost[host]
	if segments == nil {
		segments = make(map[string][]entry)
		r.byHost[host] = segments
	}
	prefix := decodedPath(route.PathPrefix)
	key := indexSegment(prefix)
	routes := append(segments[key], entry{route, prefix})
	slices.SortStableFunc(routes, func(a, b entry) int {
		return cmp.Or(
			cmp.Compare(len(b.prefix), len(a.prefix)),
			cmp.Compare(len(b.Methods), len(a.Methods)),
			strings.Compare(a.Name, b.Name),
		)
	})
	segments[key] = routes
}

// Match returns the matching route with the longest path prefix, or nil. Routes for the host, which may have a port, come
// before routes for any host, whatever their prefixes. The path is that of the request target, with its escapes.
func (r *Router) Match(host, path, method string) *eelgrasspoint.Route {
	host, path = hostName(host), decodedPath(path)
	if route := matchSegments(r.byHost[host], path, method); route != nil {
		return route
	}
	if host == "" {
		return nil
	}
	return matchSegments(r.byHost[""], path, method)
}

// Route returns the route with the name, or nil.
func (r *Router) Route(name string) *eelgrasspoint.Route { return r.byName[name] }

// Permitted returns the regions that may serve the Client's requests on the route, none if all may. It
// reports false if the route and the Client both have home regions, but none in common.
func (r *Router) Permitted(route *eelgrasspoint.Route, client string) ([]string, bool) {
	var clientRegions []string
	if c := r.clients[client]; c != nil {
		clientRegions = c.HomeRegions
	}
	if len(clientRegions) == 0 {
		return route.HomeRegions, true
	}
	if len(route.HomeRegions) == 0 {
		return clientRegions, true
	}
	common := slices.DeleteFunc(slices.Clone(clientRegions), func(region string) bool {
		return !slices.Contains(route.HomeRegions, region)
	})
	return common, len(common) > 0
}

func matchSegments(segments map[string][]entry, path, method string) *eelgrasspoint.Route {
	if route := matchRoutes(segments[firstSegment(path)], path, method); route != nil {
		return route
	}
	return matchRoutes(segments[""], path, method)
}

func matchRoutes(routes []entry, path, method string) *eelgrasspoint.Route {
	for _, e := range routes {
		if matchesPrefix(e.prefix, path) && methodAllowed(e.Methods, method) {
			return e.Route
		}
	}
	return nil
}

func methodAllowed(methods []string, method string) bool {
	return len(methods) == 0 || slices.Contains(methods, method)
}

// matchesPrefix matches whole segments: /lots matches /lots and /lots/7, but not /lotsize.
func matchesPrefix(prefix, path string) bool {
	if !strings.HasPrefix(path, prefix) {
		return false
	}
	return len(path) == len(prefix) || strings.HasSuffix(prefix, "/") || path[len(prefix)] == '/'
}

// indexSegment returns the first segment of a path prefix, under which its route is indexed. A prefix
// without a first segment, such as /, matches paths with any first segment and is indexed under the empty
// one.
func indexSegment(prefix string) string {
	if strings.Trim(prefix, "/") == "" {
		return ""
	}
	return firstSegment(prefix)
}

func firstSegment(path string) string {
	path = strings.TrimPrefix(path, "/")
	if end := strings.IndexByte(path, '/'); end >= 0 {
		return path[:end]
	}
	return path
}
