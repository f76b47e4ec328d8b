// Package validator checks a configuration and reports all its validation errors.
package validator

import (
	"fmt"
	"regexp"
	"slices"
	"strings"

	"eelgrasspoint"
)

// Validator collects the validation errors of one document.
type Validator struct {
	document *eelgrasspoint.Document
	mistakes []eelgrasspoint.Mistake
}

// maxNameBytes bounds every name that ValidateName checks.
const maxNameBytes = 64

var (
	namePattern   = regexp.MustCompile(`^[a-zA-Z0-9][a-zA-Z0-9._-]*$`)
	methodPattern = regexp.MustCompile(`^[A-Z]+$`)
)

// budgetNames are the budgets that operators can set.
var budgetNames = []string{eelgrasspoint.BudgetMeasuring, eelgrasspoint.BudgetLink}

// ValidateName returns what is wrong with the name, as the Message of an eelgrasspoint.Mistake, or an
// empty string if the name is valid.
func ValidateName(name string) string {
	switch {
	case name == "":
		return "is required"
	case len(name) > maxNameBytes:
		return fmt.Sprintf("has more than %d bytes", maxNameBytes)
	case !namePattern.MatchString(name):
		return fmt.Sprintf("%q must contain only letters, digits, '.', '_' and '-', and begin with a letter or digit", name)
	}
	return ""
}

// Validate returns the validation errors of the document: those of names first, then those of
// availability zones, routes, clients and budgets.
func Validate(document *eelgrasspoint.Document) []eelgrasspoint.Mistake {
	v := &Validator{document: document}
	v.checkAllNames()
	v.checkAvailabilityZones()
	v.checkRoutes()
	v.checkClients()
	v.checkBudgets()
	return v.mistakes
}

func (v *Validator) add(path, format string, args ...any) {
	v.mistakes = append(v.mistakes, eelgrasspoint.Mistake{Path: path, Message: fmt.Sprintf(format, args...)})
}

func (v *Validator) checkAllNames() {
	d := v.document
	checkNames(v, "Regions", d.Regions, func(r eelgrasspoint.Region) string { return r.Name })
	checkNames(v, "AvailabilityZones", d.AvailabilityZones, func(z eelgrasspoint.AvailabilityZone) string { return z.Name })
	checkNames(v, "Services", d.Services, func(s eelgrasspoint.Service) string { return s.Name })
	checkNames(v, "Routes", d.Routes, func(r eelgrasspoint.Route) string { return r.Name })
	checkNames(v, "Clients", d.Clients, func(c eelgrasspoint.Client) string { return c.Name })
	checkNames(v, "Budgets", d.Budgets, func(b eelgrasspoint.Budget) string { return b.Name })
}

func checkNames[T any](v *Validator, list string, items []T, name func(T) string) {
	seen := make(map[string]bool, len(items))
	for i, item := range items {
		path := fmt.Sprintf("%s[%d].Name", list, i)
		if message := ValidateName(name(item)); message != "" {
			v.add(path, "%s", message)
		}
		if seen[name(item)] {
			v.add(path, "%q is defined twice", name(item))
		}
		seen[name(item)] = true
	}
}

func (v *Validator) checkAvailabilityZones() {
	for _, zone := range v.document.AvailabilityZones {
		v.requireRegion(fmt.Sprintf("AvailabilityZones[%s].Region", zone.Name), zone.Region)
	}
}

func (v *Validator) requireRegion(path, name string) {
	if !slices.ContainsFunc(v.document.Regions, func(r eelgrasspoint.Region) bool { return r.Name == name }) {
		v.add(path, "region %q is not defined", name)
	}
}

// requireHomeRegions checks home regions. prefix is the path of their owner with a dot, or empty.
func (v *Validator) requireHomeRegions(prefix string, names []string) {
	for i, name := range names {
		v.requireRegion(fmt.Sprintf("%sHomeRegions[%d]", prefix, i), name)
	}
}

func (v *Validator) checkRoutes() {
	for i := range v.document.Routes {
		v.checkRoute(&v.document.Routes[i])
	}
}

func (v *Validator) checkRoute(r *eelgrasspoint.Route) {
	path := fmt.Sprintf("Routes[%s].", r.Name)
	for _, m := range Route(v.document, r) {
		v.add(path+m.Path, "%s", m.Message)
	}
}

// Route returns the validation errors of one route with the regions and services of the document, without those of
// its name. Their paths begin at the route.
func Route(document *eelgrasspoint.Document, r *eelgrasspoint.Route) []eelgrasspoint.Mistake {
	v := &Validator{document: document}
	v.checkRouteFields(r)
	return v.mistakes
}

func (v *Validator) checkRouteFields(r *eelgrasspoint.Route) {
	if !strings.HasPrefix(r.PathPrefix, "/") {
		v.add("PathPrefix", "%q does not begin with /", r.PathPrefix)
	}
	for i, method := range r.Methods {
		if !methodPattern.MatchString(method) {
			v.add(fmt.Sprintf("Methods[%d]", i), "%q is not an HTTP method in capital letters, such as GET", method)
		}
	}
	v.checkRouteServices(r)
	if r.TimeLimit < 0 || r.TimeLimit > eelgrasspoint.MaxTimeLimit {
		v.add("TimeLimit", "%v is not between 0s and %v", r.TimeLimit, eelgrasspoint.MaxTimeLimit)
	}
	if r.Hedge && !r.Idempotent {
		v.add("Hedge", "requires Idempotent to be true, since a hedged request may run twice")
	}
	v.requireHomeRegions("", r.HomeRegions)
}

// checkRouteServices checks that a route has either one service or a split between services by
// weight.
func (v *Validator) checkRouteServices(r *eelgrasspoint.Route) {
	if len(r.Split) == 0 {
		v.requireService("Service", r.Service)
		return
	}
	if r.Service != "" {
		v.add("Service", "must be empty if Split is set")
	}
	var totalWeight uint64
	for i, share := range r.Split {
		v.requireService(fmt.Sprintf("Split[%d].Service", i), share.Service)
		totalWeight += uint64(share.Weight)
	}
	if totalWeight == 0 {
		v.add("Split", "must have at least one weight above 0")
	}
}

func (v *Validator) requireService(path, name string) {
	if !slices.ContainsFunc(v.document.Services, func(s eelgrasspoint.Service) bool { return s.Name == name }) {
		v.add(path, "service %q is not defined", name)
	}
}

func (v *Validator) checkClients() {
	for _, client := range v.document.Clients {
		v.requireHomeRegions(fmt.Sprintf("Clients[%s].", client.Name), client.HomeRegions)
	}
}

func (v *Validator) checkBudgets() {
	for _, budget := range v.document.Budgets {
		if !slices.Contains(budgetNames, budget.Name) {
			v.add(fmt.Sprintf("Budgets[%s].Name", budget.Name), "must be one of %s", strings.Join(budgetNames, ", "))
		}
	}
}
