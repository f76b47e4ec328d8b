// Package validator validates a configuration and lists every mistake in it.
package validator

import (
	"fmt"
	"regexp"
	"slices"
	"strings"

	"eelgrasspoint"
)

// Validator collects the mistakes of one document.
type Validator struct {
	document *eelgrasspoint.Document
	mistakes []eelgrasspoint.Mistake
}

// maxNameBytes bounds the names that operators give.
const maxNameBytes = 64

var (
	namePattern   = regexp.MustCompile(`^[a-zA-Z0-9][a-zA-Z0-9._-]*$`)
	methodPattern = regexp.MustCompile(`^[A-Z]+$`)
)

// budgets are the purposes that have one.
var budgets = []string{eelgrasspoint.BudgetMeasuring, eelgrasspoint.BudgetLink}

// ValidateName returns what is wrong with a name, or an empty string.
func ValidateName(name string) string {
	switch {
	case name == "":
		return "is required"
	case len(name) > maxNameBytes:
		return fmt.Sprintf("has more than %d bytes", maxNameBytes)
	case !namePattern.MatchString(name):
		return fmt.Sprintf("%q may have only letters, digits, '.', '_' and '-', and begins with a letter or digit", name)
	}
	return ""
}

// Validate returns the mistakes of the document, in the order of its fields.
func Validate(document *eelgrasspoint.Document) []eelgrasspoint.Mistake {
	c := &Validator{document: document}
	c.names()
	c.zones()
	c.routes()
	c.clients()
	c.budgets()
	return c.mistakes
}

func (c *Validator) add(path, format string, args ...any) {
	c.mistakes = append(c.mistakes, eelgrasspoint.Mistake{Path: path, Message: fmt.Sprintf(format, args...)})
}

func (c *Validator) names() {
	d := c.document
	checkNames(c, "Regions", d.Regions, func(r eelgrasspoint.Region) string { return r.Name })
	checkNames(c, "AvailabilityZones", d.AvailabilityZones, func(z eelgrasspoint.AvailabilityZone) string { return z.Name })
	checkNames(c, "Services", d.Services, func(s eelgrasspoint.Service) string { return s.Name })
	checkNames(c, "Routes", d.Routes, func(r eelgrasspoint.Route) string { return r.Name })
	checkNames(c, "Clients", d.Clients, func(l eelgrasspoint.Client) string { return l.Name })
	checkNames(c, "Budgets", d.Budgets, func(b eelgrasspoint.Budget) string { return b.Name })
}

func checkNames[T any](c *Validator, list string, items []T, name func(T) string) {
	seen := make(map[string]bool, len(items))
	for i, item := range items {
		path := fmt.Sprintf("%s[%d].Name", list, i)
		if message := ValidateName(name(item)); message != "" {
			c.add(path, "%s", message)
		}
		if seen[name(item)] {
			c.add(path, "%q is defined twice", name(item))
		}
		seen[name(item)] = true
	}
}

func (c *Validator) zones() {
	for _, zone := range c.document.AvailabilityZones {
		c.region(fmt.Sprintf("AvailabilityZones[%s].Region", zone.Name), zone.Region)
	}
}

func (c *Validator) region(path, name string) {
	if !slices.ContainsFunc(c.document.Regions, func(r eelgrasspoint.Region) bool { return r.Name == name }) {
		c.add(path, "region %q is not defined", name)
	}
}

func (c *Validator) homeRegions(path string, names []string) {
	for i, name := range names {
		c.region(fmt.Sprintf("%s.HomeRegions[%d]", path, i), name)
	}
}

func (c *Validator) routes() {
	for i := range c.document.Routes {
		c.route(&c.document.Routes[i])
	}
}

func (c *Validator) route(r *eelgrasspoint.Route) {
	path := fmt.Sprintf("Routes[%s]", r.Name)
	if !strings.HasPrefix(r.PathPrefix, "/") {
		c.add(path+".PathPrefix", "%q does not begin with /", r.PathPrefix)
	}
	for i, method := range r.Methods {
		if !methodPattern.MatchString(method) {
			c.add(fmt.Sprintf("%s.Methods[%d]", path, i), "%q is not a method such as GET", method)
		}
	}
	c.services(path, r)
	if r.TimeLimit < 0 || r.TimeLimit > eelgrasspoint.MaxTimeLimit {
		c.add(path+".TimeLimit", "%v is not between 0s and %v", r.TimeLimit, eelgrasspoint.MaxTimeLimit)
	}
	if r.Hedge && !r.Idempotent {
		c.add(path+".Hedge", "needs Idempotent, since a hedged request may run twice")
	}
	c.homeRegions(path, r.HomeRegions)
}

// services checks where a route leads: to one service, or to several by weight.
func (c *Validator) services(path string, r *eelgrasspoint.Route) {
	if len(r.Split) == 0 {
		c.service(path+".Service", r.Service)
		return
	}
	if r.Service != "" {
		c.add(path+".Service", "must be left out beside Split")
	}
	var total uint32
	for i, share := range r.Split {
		c.service(fmt.Sprintf("%s.Split[%d].Service", path, i), share.Service)
		total += share.Weight
	}
	if total == 0 {
		c.add(path+".Split", "has no weight above 0")
	}
}

func (c *Validator) service(path, name string) {
	if !slices.ContainsFunc(c.document.Services, func(s eelgrasspoint.Service) bool { return s.Name == name }) {
		c.add(path, "service %q is not defined", name)
	}
}

func (c *Validator) clients() {
	for _, client := range c.document.Clients {
		c.homeRegions(fmt.Sprintf("Clients[%s]", client.Name), client.HomeRegions)
	}
}

func (c *Validator) budgets() {
	for _, budget := range c.document.Budgets {
		if !slices.Contains(budgets, budget.Name) {
			c.add(fmt.Sprintf("Budgets[%s].Name", budget.Name), "must be one of %s", strings.Join(budgets, ", "))
		}
	}
}
