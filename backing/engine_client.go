package backing

import (
	"context"
	"errors"
	"fmt"
	"net/http"

	"github.com/go-resty/resty/v2"
	"github.com/rotisserie/eris"
)

// ErrStaleFence says that an engine refused an order with an old fencing number.
var ErrStaleFence = errors.New("backing: order with an old fencing number")

// OrderKind says what an order asks of an engine.
type OrderKind string

// Kinds of orders.
const (
	OrderStage  OrderKind = "stage"  // copy the map's weights beside those in use
	OrderArm    OrderKind = "arm"    // use the staged map from Step on, once committed
	OrderCommit OrderKind = "commit" // the armed map is final
	OrderAbort  OrderKind = "abort"  // forget the staged and the armed map
	OrderDrop   OrderKind = "drop"   // drop the hold for map Epoch (0: the hold of a join), unless committed
	OrderJoin   OrderKind = "join"   // use map Epoch, staged or in use, go on with Step and hold before it
	OrderSeal   OrderKind = "seal"   // obey no lower fencing number from now on
	OrderSwitch OrderKind = "switch" // use the armed map at once; refused unless waiting at its step
	OrderLoad   OrderKind = "load"   // load the model, adapter or version named
)

// EngineOrder is one order to a model engine.
type EngineOrder struct {
	Kind    OrderKind `json:"kind"`
	Fence   int64     `json:"fence"` // fencing number; engines that check it refuse lower ones than seen
	Group   string    `json:"group,omitempty"`
	Rank    int       `json:"rank"`
	Epoch   uint64    `json:"epoch,omitempty"` // number of the expert map
	Step    int64     `json:"step,omitempty"`  // first step that uses the map
	MapHash string    `json:"map_hash,omitempty"`
	Map     []byte    `json:"map,omitempty"`
	Name    string    `json:"name,omitempty"` // what OrderLoad loads
}

// EngineState is an engine's answer to an order.
type EngineState struct {
	HighestFence int64  `json:"highest_fence"` // 0 when the engine ignores fencing numbers
	Epoch        uint64 `json:"epoch"`         // map in use
	MapHash      string `json:"map_hash"`
	Staged       uint64 `json:"staged"`     // epoch staged; 0 for none
	Armed        uint64 `json:"armed"`      // epoch armed; 0 for none
	ArmedStep    int64  `json:"armed_step"` // first step not begun before a commit or a drop; 0 for no hold
	Committed    bool   `json:"committed"`
	Step         int64  `json:"step"`              // last completed step
	Next         int64  `json:"next"`              // first step not begun
	Waiting      bool   `json:"waiting"`           // stands before ArmedStep
	Incarnation  string `json:"incarnation"`       // changes whenever the engine process restarts
	Refused      bool   `json:"refused,omitempty"` // the order had no effect, because the state does not allow it
}

// EngineClient is the HTTP client of one model engine's control interface. It
// is safe for use by several goroutines.
type EngineClient struct {
	http *resty.Client
}

// NewEngineClient returns a client of the engine at base.
func NewEngineClient(base string) *EngineClient {
	return &EngineClient{http: newClient(base).SetTimeout(answerTimeout)}
}

// Load returns the engine's report of its load. Error: ErrUnavailable.
func (c *EngineClient) Load(ctx context.Context) (EngineReport, error) {
	var report EngineReport
	resp, err := c.http.R().SetContext(ctx).SetResult(&report).Get("/load")
	if err != nil {
		return EngineReport{}, unavailable(err)
	}
	if !resp.IsSuccess() {
		return EngineReport{}, unavailable(fmt.Errorf("engine: %s", resp.Status()))
	}
	return report, nil
}

// Order sends an order. Errors: ErrStaleFence (EngineState then holds the
// highest number), ErrUnavailable, after which the order may have taken effect.
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
		return state, eris.Wrapf(ErrStaleFence, "%d", order.Fence)
	}
	if !resp.IsSuccess() {
		return EngineState{}, unavailable(fmt.Errorf("engine: %s", resp.Status()))
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
		return EngineState{}, unavailable(fmt.Errorf("engine: %s", resp.Status()))
	}
	return state, nil
}
