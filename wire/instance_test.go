package wire

import (
	"testing"

	"github.com/stretchr/testify/require"
)

// Addresses of odd entries yield an error at once and no look-up of a name.
func TestAddressesOfInstances(t *testing.T) {
	for address, ok := range map[string]bool{
		"10.0.0.1:7340": true, "[::1]:7340": true,
		"": false, "10.0.0.1": false, "10.0.0.1:99999": false, "10.0.0.1:-1": false, "host.example:7340": false, ":7340": false,
	} {
		addr, err := (&Instance{Address: address}).UDPAddr()
		require.Equal(t, ok, err == nil, address)
		if ok {
			require.Equal(t, address, addr.String())
		}
	}
}
