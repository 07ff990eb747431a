package catalog

import (
	"strconv"
	"testing"

	"github.com/matryer/is"
)

func newTestCatalog() *Catalog {
	prepaid := int64(100)
	return New(Spec{
		Version: 3,
		Routes: []*Route{
			{Name: "short", Host: "a.example", Prefix: "/x/"},
			{Name: "long", Host: "a.example", Prefix: "/x/y/"},
			{Name: "other", Host: "b.example", Prefix: "/"},
		},
		Services:   []*Service{{Name: "s"}},
		Workspaces: []*Workspace{{Name: "w", Keys: []string{"k1", "k2"}, PrepaidTokens: &prepaid}},
	})
}

func TestRouteMatchesLongestPrefixOfHost(t *testing.T) {
	is := is.New(t)
	c := newTestCatalog()
	is.Equal(c.Route("a.example", "/x/1").Name, "short")
	is.Equal(c.Route("a.example", "/x/y/1").Name, "long")
	is.Equal(c.Route("a.example", "/x/yy").Name, "short")
	is.Equal(c.Route("a.example", "/x"), nil) // the path lacks the final slash of the prefix
	is.Equal(c.Route("c.example", "/x/"), nil)
	is.Equal(c.Route("b.example", "/anything").Name, "other")
}

func TestWorkspaceByKey(t *testing.T) {
	is := is.New(t)
	c := newTestCatalog()
	is.Equal(c.WorkspaceByKey("k2").Name, "w")
	is.Equal(c.WorkspaceByKey(""), nil)
	is.True(c.KeysRequired)
	is.True(!New(Spec{}).KeysRequired)
}

func TestServiceForFollowsWeightsAndIsStablePerID(t *testing.T) {
	is := is.New(t)
	r := &Route{Shares: []Share{{"old", 900}, {"new", 100}}}
	counts := make(map[string]int)
	const requests = 10000
	for i := range requests {
		id := strconv.Itoa(i)
		service := r.ServiceFor(id)
		is.Equal(service, r.ServiceFor(id))
		counts[service]++
	}
	is.True(counts["new"] > requests*8/100 && counts["new"] < requests*12/100)
	is.Equal((&Route{}).ServiceFor("x"), "")
}

func TestRepeatableOnlyForIdempotentAndResumableRoutes(t *testing.T) {
	is := is.New(t)
	is.True((&Route{Kind: Idempotent}).Repeatable())
	is.True((&Route{Kind: Stream, Resumable: true}).Repeatable())
	is.True(!(&Route{Kind: Stream}).Repeatable())
	is.True(!(&Route{Kind: AtMostOnce, Resumable: true}).Repeatable())
}
