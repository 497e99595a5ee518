package route

import (
	"math/rand/v2"

	"github.com/rotisserie/eris"

	"marjorampitch/internal/registry"
)

// DefaultPolicy is the name of the routing policy used when the service configuration names none.
const DefaultPolicy = "bounded"

// ErrUnknownPolicy is returned by Build when no policy is registered under the name.
var ErrUnknownPolicy = eris.New("route: unknown policy")

// Builder creates a Picker that takes all its randomness from source.
type Builder func(source *rand.Rand) Picker

var builders = registry.New[Builder]("routing policy")

// Register registers a policy by name. It may be called from init functions only,
// and panics if the name is already registered.
func Register(name string, b Builder) { builders.Register(name, b) }

// Build creates a Picker of the named policy, or of DefaultPolicy if name is
// empty. Pickers built with the same name and seed make the same choices. Error:
// ErrUnknownPolicy.
func Build(name string, seed uint64) (Picker, error) {
	if name == "" {
		name = DefaultPolicy
	}
	b, ok := builders.Lookup(name)
	if !ok {
		return nil, eris.Wrapf(ErrUnknownPolicy, "build policy %q", name)
	}
	return b(rand.New(rand.NewPCG(seed, HashName(name)))), nil
}

// Names returns the names of all registered policies in ascending order.
func Names() []string { return builders.Names() }
