package peerread

import (
	"cmp"
	"hash/fnv"
	"slices"

	"marjorampitch/wire"
)

// MinGateways is the number of gateways in a data centre from which on they read
// through readers. Two gateways would both be readers.
const MinGateways = 3

// readersPerCentre is the number of readers in a data centre: one that reads the
// store, and one for when it does not answer.
const readersPerCentre = 2

// Readers returns the names of the readers of a data centre in the order in which they
// are asked; none if it has fewer than MinGateways gateways. All processes with the same
// directory get the same names. Entries of gateways that have ended count, since the
// directory keeps them.
func Readers(entries map[string]wire.Instance, dataCentre string) []string {
	if dataCentre == "" {
		return nil
	}
	type ranked struct {
		name string
		rank uint64
	}
	var list []ranked
	for name := range entries {
		if e := entries[name]; e.Role == wire.RoleGateway && e.DataCentre == dataCentre {
			list = append(list, ranked{name, rendezvousRank(dataCentre, name)})
		}
	}
	if len(list) < MinGateways {
		return nil
	}
	slices.SortFunc(list, func(a, b ranked) int {
		return cmp.Or(cmp.Compare(b.rank, a.rank), cmp.Compare(a.name, b.name))
	})
	names := make([]string, readersPerCentre)
	for i := range names {
		names[i] = list[i].name
	}
	return names
}

// rendezvousRank is the weight of a gateway in rendezvous hashing. A gateway that is
// added changes the readers only if it becomes one.
func rendezvousRank(dataCentre, name string) uint64 {
	h := fnv.New64a()
	h.Write([]byte(dataCentre))
	h.Write([]byte{0})
	h.Write([]byte(name))
	return h.Sum64()
}
