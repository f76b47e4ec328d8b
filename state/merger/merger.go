// Package merger applies changes to a configuration document.
package merger

import (
	"slices"
	"strings"

	"eelgrasspoint"
)

// Apply returns the current document with the definitions of put, which replace definitions of the
// same name, and without the definitions whose names are in remove. A definition that is in both put
// and remove is kept. Apply doesn't modify current.
func Apply(current *eelgrasspoint.Document, put *eelgrasspoint.Document, remove *eelgrasspoint.Removal) eelgrasspoint.Document {
	return eelgrasspoint.Document{
		Regions:           merge(current.Regions, put.Regions, remove.Regions, func(r eelgrasspoint.Region) string { return r.Name }),
		AvailabilityZones: merge(current.AvailabilityZones, put.AvailabilityZones, remove.AvailabilityZones, func(z eelgrasspoint.AvailabilityZone) string { return z.Name }),
		Services:          merge(current.Services, put.Services, remove.Services, func(s eelgrasspoint.Service) string { return s.Name }),
		Routes:            merge(current.Routes, put.Routes, remove.Routes, func(r eelgrasspoint.Route) string { return r.Name }),
		Clients:           merge(current.Clients, put.Clients, remove.Clients, func(c eelgrasspoint.Client) string { return c.Name }),
		Budgets:           merge(current.Budgets, put.Budgets, remove.Budgets, func(b eelgrasspoint.Budget) string { return b.Name }),
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
