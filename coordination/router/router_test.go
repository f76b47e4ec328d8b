package router_test

import (
	"fmt"
	"net/url"
	"testing"

	"gotest.tools/v3/assert"

	"eelgrasspoint"
	"eelgrasspoint/coordination/router"
)

var document = &eelgrasspoint.Document{
	Routes: []eelgrasspoint.Route{
		{Name: "all", PathPrefix: "/"},
		{Name: "lots", PathPrefix: "/lots", HomeRegions: []string{"norte", "alentejo"}},
		{Name: "bids", PathPrefix: "/lots/bids", Methods: []string{"POST"}},
		{Name: "hosted", Host: "desk.example", PathPrefix: "/lots"},
	},
	Clients: []eelgrasspoint.Client{
		{Name: "north", HomeRegions: []string{"norte"}},
		{Name: "elsewhere", HomeRegions: []string{"outra"}},
	},
}

func TestMatchPrefersHostThenLongestPrefix(t *testing.T) {
	r := router.New(document)
	cases := []struct{ host, path, method, route string }{
		{"", "/", "GET", "all"},
		{"", "/lots", "GET", "lots"},
		{"", "/lots/7", "GET", "lots"},
		{"", "/lotsize", "GET", "all"},
		{"", "//lots/7", "GET", "all"},
		{"", "//", "GET", "all"},
		{"", "/lots//bids/1", "POST", "lots"},
		{"", "/lots/bids/1", "POST", "bids"},
		{"", "/lots/bids/1", "GET", "lots"},
		{"desk.example", "/lots/bids", "POST", "hosted"},
		{"desk.example", "/other", "GET", "all"},
	}
	for _, c := range cases {
		got := r.Match(c.host, c.path, c.method)
		assert.Assert(t, got != nil, "%+v", c)
		assert.Equal(t, got.Name, c.route, "%+v", c)
	}
	assert.Assert(t, router.New(&eelgrasspoint.Document{}).Match("", "/", "GET") == nil)
}

// TestMatchOfEmptySegments guards against a route whose prefix begins with an empty segment and that matches no path.
func TestMatchOfEmptySegments(t *testing.T) {
	r := router.New(&eelgrasspoint.Document{Routes: []eelgrasspoint.Route{
		{Name: "lots", PathPrefix: "/lots/"}, {Name: "empty", PathPrefix: "//lots/"}, {Name: "all", PathPrefix: "/"},
	}})
	for path, route := range map[string]string{"//lots/7": "empty", "/lots/7": "lots", "//lotsize": "all", "///lots/7": "all", "/lots//7": "lots"} {
		assert.Equal(t, r.Match("", path, "GET").Name, route, path)
	}
}

// TestHostIsMatchedInAllItsForms guards against a proper request that is told that its route does not exist, since the
// operators or the caller wrote the host in another form.
func TestHostIsMatchedInAllItsForms(t *testing.T) {
	cases := []struct{ configured, requested string }{
		{"desk.example", "desk.example"},
		{"desk.example", "Desk.EXAMPLE"},
		{"Desk.Example", "desk.example"},
		{"desk.example", "desk.example:8304"},
		{"desk.example", "desk.example:"},
		{"desk.example", "DESK.example.:8304"},
		{"desk.example.", "desk.example"},
		{"desk.example:8304", "desk.example:8304"},
		{"desk.example:8304", "desk.example"},
		{"10.0.0.7", "10.0.0.7:80"},
		{"::1", "[::1]:8304"},
		{"::1", "[::1]"},
		{"[::1]", "[::1]:8304"},
		{"[FE80::1]:80", "[fe80::1]"},
	}
	for _, c := range cases {
		t.Run(c.configured+" as "+c.requested, func(t *testing.T) {
			r := router.New(&eelgrasspoint.Document{Routes: []eelgrasspoint.Route{
				{Name: "any host", PathPrefix: "/"}, {Name: "hosted", Host: c.configured, PathPrefix: "/lots/"},
			}})
			assert.Equal(t, r.Match(c.requested, "/lots/7", "GET").Name, "hosted")
			assert.Equal(t, r.Match("other.example", "/lots/7", "GET").Name, "any host")
		})
	}
}

// TestPathIsMatchedInAllItsForms guards against a proper request that is told that its route does not exist, or runs at the
// service of another prefix, since the operators or the caller encoded a part of the path.
func TestPathIsMatchedInAllItsForms(t *testing.T) {
	cases := []struct{ prefix, path, route string }{
		{"/lots/", "/%6Cots/7", "prefix"},
		{"/lots/", "/lots/%2F", "prefix"},
		{"/lots/", "/lots%2F7", "all"},
		{"/lots/", "/lots%2f", "all"},
		{"/lots/bids/", "/lots%2Fbids/7", "all"},
		{"/lots%2fbids/", "/lots%2Fbids/7", "prefix"},
		{"/lots%2Fbids/", "/lots/bids/7", "all"},
		{"/caf%C3%A9/", "/caf%c3%a9/7", "prefix"},
		{"/caf\u00e9/", "/caf%C3%A9/7", "prefix"},
		{"/a%20b/", "/a%20b/7", "prefix"},
		{"/a b/", "/a%20b/7", "prefix"},
		{"/a%25b/", "/a%25b/7", "prefix"},
		{"/a%b/", "/a%25b/7", "prefix"},
		{"/a%2Fb/", "/a%252Fb/7", "all"},
		{"/a/../b/", "/a/%2e%2E/b/7", "prefix"},
		{"/b/", "/a/../b/7", "all"},
		{"/%2F/", "/%2f/7", "prefix"},
	}
	for _, c := range cases {
		t.Run(c.path+" with "+c.prefix, func(t *testing.T) {
			target, err := url.ParseRequestURI(c.path)
			assert.NilError(t, err)
			r := router.New(&eelgrasspoint.Document{Routes: []eelgrasspoint.Route{
				{Name: "all", PathPrefix: "/"}, {Name: "prefix", PathPrefix: c.prefix},
			}})
			assert.Equal(t, r.Match("", target.EscapedPath(), "GET").Name, c.route)
		})
	}
}

func TestPermittedIsIntersectionOfHomeRegions(t *testing.T) {
	r := router.New(document)
	cases := []struct {
		route, client string
		regions       []string
		allowed       bool
	}{
		{"all", "", nil, true},
		{"all", "unknown", nil, true},
		{"all", "north", []string{"norte"}, true},
		{"lots", "", []string{"norte", "alentejo"}, true},
		{"lots", "north", []string{"norte"}, true},
		{"lots", "elsewhere", []string{}, false},
	}
	for _, c := range cases {
		regions, allowed := r.Permitted(r.Route(c.route), c.client)
		assert.Equal(t, allowed, c.allowed, "%+v", c)
		assert.DeepEqual(t, regions, c.regions)
	}
}

func ExampleRouter_Match() {
	r := router.New(&eelgrasspoint.Document{Routes: []eelgrasspoint.Route{{Name: "catalogue", PathPrefix: "/catalogue"}}})
	fmt.Println(r.Match("", "/catalogue/7", "GET").Name)
	// Output: catalogue
}

func BenchmarkMatch(b *testing.B) {
	large := &eelgrasspoint.Document{}
	for i := range 500 {
		large.Routes = append(large.Routes, eelgrasspoint.Route{Name: fmt.Sprint(i), PathPrefix: fmt.Sprintf("/service-%d/kind", i)})
	}
	r := router.New(large)
	b.ReportAllocs()
	for b.Loop() {
		if r.Match("host", "/service-250/kind/7", "GET") == nil {
			b.Fatal("no route")
		}
	}
}
