package backing_test

import (
	"context"
	"net/http/httptest"
	"testing"

	"github.com/stretchr/testify/require"

	"marjorampitch/backing"
	"marjorampitch/backing/backingtest"
)

func TestInstanceListIsFetchedOncePerChange(t *testing.T) {
	one := backing.Instance{Name: "dk1-entry", Role: "entry", State: backing.InstanceLive}
	two := backing.Instance{Name: "dk2-entry", Role: "entry", State: backing.InstanceLeaving}
	list := backingtest.NewInstanceList(one)
	srv := httptest.NewServer(list.Handler())
	defer srv.Close()
	client := backing.NewInstanceListClient(srv.URL)

	first, err := client.Instances(context.Background())
	require.NoError(t, err)
	require.Equal(t, []backing.Instance{one}, first)
	again, err := client.Instances(context.Background())
	require.NoError(t, err)
	require.Same(t, &first[0], &again[0])
	list.Put(two)
	changed, err := client.Instances(context.Background())
	require.NoError(t, err)
	require.ElementsMatch(t, []backing.Instance{one, two}, changed)
}
