package backing

import (
	"context"
	"errors"
	"fmt"
	"net/http"

	"github.com/go-resty/resty/v2"
	"github.com/rotisserie/eris"
)

// ErrStaleFence means that an engine refused an order because its fencing number
// is lower than the highest one seen.
var ErrStaleFence = errors.New("backing: stale fencing number in order")

// OrderKind is the operation that an order requests from an engine.
type OrderKind string

// Kinds of orders. A step is one forward pass. A rank changes its expert map in this
// sequence: OrderStage loads the map; OrderArm sets the step from which the rank uses
// it and holds the rank before that step; OrderCommit ends the hold, so that the map
// takes effect, and OrderDrop ends it without the map. OrderJoin makes a rank that
// joins a group hold before the group's next step.
const (
	OrderStage  OrderKind = "stage"  // load the weights of map Epoch in addition to those in use
	OrderArm    OrderKind = "arm"    // use the staged map from Step on; do not begin Step before a commit or a drop
	OrderCommit OrderKind = "commit" // commit the armed map
	OrderAbort  OrderKind = "abort"  // discard the staged and the armed map
	OrderDrop   OrderKind = "drop"   // end the hold for map Epoch, or that of a join if Epoch is 0; refused if the map is committed
	OrderJoin   OrderKind = "join"   // use map Epoch, which is staged or in use, set the next step to Step and do not begin it before a drop
	OrderSeal   OrderKind = "seal"   // accept no lower fencing number from now on
	OrderSwitch OrderKind = "switch" // use the armed map at once; refused unless the rank waits at the armed step
	OrderLoad   OrderKind = "load"   // load the model, adapter or version Name
)

// EngineOrder is an order to a model engine.
type EngineOrder struct {
	Kind    OrderKind `json:"kind"`
	Fence   int64     `json:"fence"` // fencing number; engines that check it refuse one lower than the highest seen
	Group   string    `json:"group,omitempty"`
	Rank    int       `json:"rank"`
	Epoch   uint64    `json:"epoch,omitempty"` // epoch of the expert map
	Step    int64     `json:"step,omitempty"`  // first step that uses the map
	MapHash string    `json:"map_hash,omitempty"`
	Map     []byte    `json:"map,omitempty"`
	Name    string    `json:"name,omitempty"` // model, adapter or version for OrderLoad
}

// EngineState is an engine's answer to an order.
type EngineState struct {
	HighestFence int64  `json:"highest_fence"` // highest fencing number accepted; 0 if the engine ignores them
	Epoch        uint64 `json:"epoch"`         // epoch of the map in use; 0 for none
	MapHash      string `json:"map_hash"`
	Staged       uint64 `json:"staged"`     // epoch staged; 0 for none
	Armed        uint64 `json:"armed"`      // epoch armed; 0 for none
	ArmedStep    int64  `json:"armed_step"` // step that does not begin before a commit or a drop; 0 for no hold
	Committed    bool   `json:"committed"`
	Step         int64  `json:"step"`              // last completed step
	Next         int64  `json:"next"`              // first step that has not begun
	Waiting      bool   `json:"waiting"`           // the rank is on hold before ArmedStep
	Incarnation  string `json:"incarnation"`       // changes whenever the engine process restarts
	Refused      bool   `json:"refused,omitempty"` // the state does not allow the order, which had no effect
}

// EngineClient is the HTTP client of one model engine's control interface. It is
// safe for concurrent use.
type EngineClient struct {
	http *resty.Client
}

// NewEngineClient returns a client of the engine at the base URL.
func NewEngineClient(baseURL string) *EngineClient {
	return &EngineClient{http: newClient(baseURL, maxEngineBytes).SetTimeout(answerTimeout)}
}

// Load returns the engine's load report. Error: ErrUnavailable.
func (c *EngineClient) Load(ctx context.Context) (EngineReport, error) {
	var report EngineReport
	resp, err := c.http.R().SetContext(ctx).SetResult(&report).Get("/load")
	if err != nil {
		return EngineReport{}, unavailable(err)
	}
	if !resp.IsSuccess() {
		return EngineReport{}, unavailable(fmt.Errorf("read engine load report: status %s", resp.Status()))
	}
	return report, nil
}

// Order sends an order and returns the engine's state after it. Errors:
// ErrStaleFence (HighestFence of the state is then set), and ErrUnavailable, after
// which the order may have taken effect.
func (c *EngineClient) Order(ctx context.Context, order EngineOrder) (EngineState, error) {
	var state EngineState
	resp, err := c.http.R().
		SetContext(ctx).
		SetBody(order).
		SetResult(&state).
		SetError(&state).
		Post("/orders")
	if err != nil {
		return EngineState{}, unavailable(err)
	}
	if resp.StatusCode() == http.StatusConflict {
		return state, eris.Wrapf(ErrStaleFence, "order %s with fence %d", order.Kind, order.Fence)
	}
	if !resp.IsSuccess() {
		return EngineState{}, unavailable(fmt.Errorf("engine order %s: status %s", order.Kind, resp.Status()))
	}
	return state, nil
}

// State returns the state of the engine's rank. Error: ErrUnavailable.
func (c *EngineClient) State(ctx context.Context) (EngineState, error) {
	var state EngineState
	resp, err := c.http.R().SetContext(ctx).SetResult(&state).Get("/orders")
	if err != nil {
		return EngineState{}, unavailable(err)
	}
	if !resp.IsSuccess() {
		return EngineState{}, unavailable(fmt.Errorf("read engine state: status %s", resp.Status()))
	}
	return state, nil
}
