// Package merger applies changes to a configuration document.
package merger

import (
	"slices"
	"strings"

	"eelgrasspoint"
)

// Apply returns a document in which the definitions of put are added or replace those of the same
// name, and the removed ones are missing. It doesn't modify d.
func Apply(d *eelgrasspoint.Document, put *eelgrasspoint.Document, remove *eelgrasspoint.Removal) eelgrasspoint.Document {
	return eelgrasspoint.Document{
		Regions:           merge(d.Regions, put.Regions, remove.Regions, func(r eelgrasspoint.Region) string { return r.Name }),
		AvailabilityZones: merge(d.AvailabilityZones, put.AvailabilityZones, remove.AvailabilityZones, func(z eelgrasspoint.AvailabilityZone) string { return z.Name }),
		Services:          merge(d.Services, put.Services, remove.Services, func(s eelgrasspoint.Service) string { return s.Name }),
		Routes:            merge(d.Routes, put.Routes, remove.Routes, func(r eelgrasspoint.Route) string { return r.Name }),
		Clients:           merge(d.Clients, put.Clients, remove.Clients, func(c eelgrasspoint.Client) string { return c.Name }),
		Budgets:           merge(d.Budgets, put.Budgets, remove.Budgets, func(b eelgrasspoint.Budget) string { return b.Name }),
	}
}

// merge returns the definitions after the change, sorted by name.
func merge[T any](current, put []T, remove []string, name func(T) string) []T {
	merged := make([]T, 0, len(current)+len(put))
	for _, item := range current {
		replaced := slices.ContainsFunc(put, func(p T) bool { return name(p) == name(item) })
		if !replaced && !slices.Contains(remove, name(item)) {
			merged = append(merged, item)
		}
	}
	merged = append(merged, put...)
	slices.SortStableFunc(merged, func(a, b T) int { return strings.Compare(name(a), name(b)) })
	return merged
}
