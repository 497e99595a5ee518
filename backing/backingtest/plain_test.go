package backingtest_test

import (
	"net/http"
	"net/http/httptest"
	"strings"
	"testing"

	"github.com/stretchr/testify/require"

	"marjorampitch/api"
	"marjorampitch/backing"
	"marjorampitch/backing/backingtest"
)

func post(t *testing.T, address, key, body string) (*http.Response, error) {
	req, err := http.NewRequestWithContext(t.Context(), http.MethodPost, address, strings.NewReader(body))
	require.NoError(t, err)
	req.Header.Set(api.HeaderIdempotencyKey, key)
	resp, err := http.DefaultClient.Do(req)
	if err == nil {
		resp.Body.Close()
	}
	return resp, err
}

func get(t *testing.T, address string) int {
	resp, err := http.Get(address)
	require.NoError(t, err)
	resp.Body.Close()
	return resp.StatusCode
}

// A repeated execution must be counted and listed also if its answer was cut off, and
// an action that was cut off before its execution must not be counted.
func TestPlainCountsExecutions(t *testing.T) {
	p := backingtest.NewPlainService()
	srv := httptest.NewServer(p.Handler())
	defer srv.Close()
	resp, err := post(t, srv.URL+"/deposits", "k1", `{"amount":1}`)
	require.NoError(t, err)
	require.Equal(t, http.StatusCreated, resp.StatusCode)

	p.SetFaults(backingtest.PlainFaults{BreakAfter: 1})
	_, err = post(t, srv.URL+"/deposits", "k1", `{"amount":1}`)
	require.Error(t, err)
	require.Equal(t, 2, p.Stats().ByKey["k1"])
	require.Equal(t, []string{"k1"}, p.Stats().Repeated)

	p.SetFaults(backingtest.PlainFaults{BreakBefore: 1})
	_, err = post(t, srv.URL+"/dispatches", "k2", "")
	require.Error(t, err)
	require.Zero(t, p.Stats().ByKey["k2"])

	require.Equal(t, http.StatusOK, get(t, srv.URL+"/deposits/by-key/k1"))
	require.Equal(t, http.StatusNotFound, get(t, srv.URL+"/dispatches/by-key/k2"))
	require.Equal(t, http.StatusOK, get(t, srv.URL+"/availability?day=1"))
}

// Reads must return the latest list, an older one with the fault Lag, and
// ErrUnavailable during an outage.
func TestInstanceList(t *testing.T) {
	l := backingtest.NewInstanceList(backing.Instance{Name: "a", State: backing.InstanceLive})
	srv := httptest.NewServer(l.Handler())
	defer srv.Close()
	c := backing.NewInstanceListClient(srv.URL)
	l.Put(backing.Instance{Name: "a", State: backing.InstanceLeaving})
	got, err := c.Instances(t.Context())
	require.NoError(t, err)
	require.Equal(t, []backing.Instance{{Name: "a", State: backing.InstanceLeaving}}, got)

	l.SetFaults(backingtest.InstanceFaults{Lag: backingtest.Duration(1 << 40)})
	got, err = c.Instances(t.Context())
	require.NoError(t, err)
	require.Equal(t, backing.InstanceLive, got[0].State)

	l.SetFaults(backingtest.InstanceFaults{Outage: true})
	_, err = c.Instances(t.Context())
	require.ErrorIs(t, err, backing.ErrUnavailable)
}

// A fetch must return the size set for its name or the default size, and
// ErrUnavailable during an outage.
func TestWeightStore(t *testing.T) {
	s := backingtest.NewWeightStore(1<<30, 1000)
	s.SetSize("expert/1", 200_000)
	srv := httptest.NewServer(s.Handler())
	defer srv.Close()
	c := backing.NewWeightStoreClient(srv.URL)
	for name, size := range map[string]int64{"expert/1": 200_000, "other": 1000} {
		n, err := c.Fetch(t.Context(), name)
		require.NoError(t, err)
		require.Equal(t, size, n)
	}
	s.SetFaults(backingtest.WeightFaults{Outage: true})
	_, err := c.Fetch(t.Context(), "other")
	require.ErrorIs(t, err, backing.ErrUnavailable)
}
