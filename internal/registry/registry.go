// Package registry holds named values that packages register from init functions.
package registry

import (
	"maps"
	"slices"
)

// Registry holds values of type T by name. Register is called from init functions
// only, so there is no lock.
type Registry[T any] struct {
	kind   string
	values map[string]T
}

// New returns an empty Registry. kind names the values in messages.
func New[T any](kind string) *Registry[T] {
	return &Registry[T]{kind: kind, values: make(map[string]T)}
}

// Register registers a value. It panics if the name is already registered.
func (r *Registry[T]) Register(name string, value T) {
	if _, taken := r.values[name]; taken {
		panic(r.kind + " registered twice: " + name)
	}
	r.values[name] = value
}

// Lookup returns the value registered under a name.
func (r *Registry[T]) Lookup(name string) (value T, ok bool) {
	value, ok = r.values[name]
	return value, ok
}

// Names returns all names in ascending order.
func (r *Registry[T]) Names() []string { return slices.Sorted(maps.Keys(r.values)) }
