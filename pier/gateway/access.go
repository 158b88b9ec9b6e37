package gateway

import (
	"net/http"
	"strconv"
	"strings"
	"time"

	"go.uber.org/zap"

	"mulberrypier.example/pier/access"
	"mulberrypier.example/pier/boottime"
	"mulberrypier.example/pier/outcome"
	"mulberrypier.example/pier/routetable"
)

// authorizationField is the name of the header field in which callers present their keys.
const authorizationField = "Authorization"

// staleRetryAfter is the Retry-After time given to callers whose key may be in a configuration that this host
// has not read: other hosts may have.
const staleRetryAfter = 500 * time.Millisecond

// Principal is who makes a request.
type Principal struct {
	// Organisation is the one whose key the request presents, "" if there is none.
	Organisation string
	// Restricted is set if the configuration has organisations. Of the steps of organisations, the principal may
	// then use those of its own only.
	Restricted bool
}

// mayUse reports whether the principal may read and end a step of an organisation, or one of none.
func (p Principal) mayUse(organisation string) bool {
	return !p.Restricted || organisation == "" || organisation == p.Organisation
}

// authorise decides whether a request may be served by a configuration, which is nil before the first is known.
// current is set if the host has read all configurations until shortly before. The key is "" if the request presents
// none.
func authorise(t *routetable.Table, current, public bool, key string) (Principal, *outcome.Error) {
	if t == nil {
		return Principal{}, outcome.Refuse(outcome.ReasonUnreachable, "no configuration yet").After(unavailableRetryAfter)
	}
	if t.Access == nil {
		return Principal{}, nil
	}
	p := Principal{Restricted: true}
	if o, ok := t.Access.Lookup(key); ok {
		p.Organisation = o.Name
		return p, nil
	}
	what := "unknown key"
	if key == "" {
		what = "no key"
	}
	switch {
	case public:
		return p, nil
	case !current:
		return p, outcome.Refuse(outcome.ReasonStaleConfiguration, what).After(staleRetryAfter)
	}
	return p, outcome.Refuse(outcome.ReasonUnauthorized, what)
}

// Access decides which requests may be served by the configuration in force at one time.
type Access struct {
	g *Gateway
	// Table is the configuration, nil before the first is known.
	Table   *routetable.Table
	current bool
}

// Access returns the access rules in force.
func (g *Gateway) Access() Access {
	// Whether the table is current is read before the table: the other way round, a configuration that is read in
	// between would make the older table count as current.
	current := g.tables.upToDate(boottime.Now())
	return Access{g: g, Table: g.Table(), current: current}
}

// AccessRequest holds the properties of a request that its authentication needs.
type AccessRequest struct {
	// ID names the request, or the step that it is about, in log lines.
	ID string
	// Route is the route of the request, nil for a call about a step.
	Route *routetable.Route
	// Key is the API key that the request presents, "" if there is none.
	Key string
}

// Authenticate returns who makes a request. An error is an *outcome.Error with the outcome not-run: unauthorized
// for a key that is not in a current configuration, and another reason while it may be in one that this host has not
// read.
func (a Access) Authenticate(q AccessRequest) (*Grant, error) {
	public, name := false, ""
	if q.Route != nil {
		public, name = q.Route.Public, q.Route.Name
	}
	p, err := authorise(a.Table, a.current, public, q.Key)
	if err != nil {
		a.g.metrics.refusals.WithLabelValues(string(err.Reason)).Inc()
		a.g.log.Info("request: not authorised", zap.String("id", q.ID), zap.String("route", name),
			zap.String("reason", string(err.Reason)), zap.String("at", err.Detail), zap.Int64("config-version", a.version()),
			zap.Duration("config-age", a.g.tables.age()))
		return nil, err
	}
	return &Grant{Principal: p, g: a.g, table: a.Table, public: public, key: q.Key}, nil
}

func (a Access) version() int64 {
	if a.Table == nil {
		return 0
	}
	return a.Table.Version
}

// Grant is a successful authentication. Check repeats it with the configuration in force.
type Grant struct {
	Principal

	g *Gateway
	// table is the configuration by which the request was authenticated.
	table  *routetable.Table
	public bool
	key    string
}

// Check returns a refusal if the configuration in force does not permit the request any more, or would name another
// organisation.
func (n *Grant) Check() error {
	a := n.g.Access()
	if a.Table == n.table {
		return nil
	}
	p, err := authorise(a.Table, a.current, n.public, n.key)
	if err != nil {
		return err
	}
	if p.Organisation != n.Organisation {
		return outcome.Refuse(outcome.ReasonStaleConfiguration, "organisation of the key has changed").After(staleRetryAfter)
	}
	return nil
}

// restricted reports whether the configuration has organisations.
func (g *Gateway) restricted() bool {
	t := g.Table()
	return t != nil && t.Access != nil
}

// identify sets the header fields that tell a server for which organisation a request is made, and how urgent it is.
// It drops the fields of these names, and the key, that a caller sent.
func (g *Gateway) identify(h http.Header, r *routetable.Route, organisation string, k access.Kind) {
	t, d := g.Table(), g.c.Dialect
	if organisation != "" || t != nil && t.Access != nil {
		g.DropIdentity(h)
	}
	if organisation != "" && d.Organisation != "" {
		h[d.Organisation] = []string{organisation}
	}
	if t == nil || !t.StatesPriorities() || d.Priority == "" {
		return
	}
	deleteField(h, d.Priority)
	if k == access.KindSample {
		// An engine preempts running samples for more urgent ones and reads their texts in again, which costs the
		// less urgent trainers more than the urgent ones gain.
		return
	}
	h[d.Priority] = []string{strconv.Itoa(access.Level(t.Priority(r, organisation), k))}
}

// DropIdentity deletes the fields of a header that say who makes a request.
func (g *Gateway) DropIdentity(h http.Header) {
	deleteField(h, authorizationField)
	deleteField(h, g.c.Dialect.Organisation)
}

// deleteField deletes a header field. Fields of items may have names in any case.
func deleteField(h http.Header, name string) {
	for k := range h {
		if strings.EqualFold(k, name) {
			delete(h, k)
		}
	}
}
