package route

import (
	"math/rand/v2"
	"slices"

	"github.com/rotisserie/eris"
)

// DefaultPolicy is the name of the policy that is used when the document names none.
const DefaultPolicy = "bounded"

// ErrUnknownPolicy says that no policy is registered under the name.
var ErrUnknownPolicy = eris.New("route: unknown policy")

// Builder makes a Picker that draws from the source.
type Builder func(source *rand.Rand) Picker

var builders = map[string]Builder{}

// Register adds a policy. It is called from init functions only, and panics
// when the name is taken.
func Register(name string, b Builder) {
	if _, taken := builders[name]; taken {
		panic("route: policy registered twice: " + name)
	}
	builders[name] = b
}

// Build makes a Picker of the named policy, or of Default when name is empty.
// Error: ErrUnknownPolicy.
func Build(name string, seed uint64) (Picker, error) {
	if name == "" {
		name = DefaultPolicy
	}
	b, ok := builders[name]
	if !ok {
		return nil, eris.Wrap(ErrUnknownPolicy, name)
	}
	return b(rand.New(rand.NewPCG(seed, HashName(name)))), nil
}

// Names returns the registered names in ascending order.
func Names() []string {
	names := make([]string, 0, len(builders))
	for name := range builders {
		names = append(names, name)
	}
	slices.Sort(names)
	return names
}
