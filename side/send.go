package side

import (
	"context"

	"marjorampitch/api"
	"marjorampitch/wire"
)

// sendResponse sends the response of a to sub, within the flow-control window of
// sub. It reports whether it sent the response to the end; it stops early when ctx
// ends or the connection is closed.
func (s *Server) sendResponse(ctx context.Context, a *attempt, sub *subscriber) bool {
	headSent := false
	for {
		st := a.nextAction(sub, headSent)
		switch {
		case st.wait != nil:
			select {
			case <-ctx.Done():
				return false
			case <-st.wait:
			}
		case st.head != nil:
			headSent = true
			head := *st.head
			head.Stream = sub.stream
			head.Attempt = sub.attempt
			if sub.conn.Send(&head) != nil {
				return false
			}
		case st.done:
			return s.sendEnd(sub, st) == nil
		default:
			if sub.window.take(ctx, len(st.chunk)) != nil {
				return false
			}
			chunk := &wire.Chunk{Stream: sub.stream, Attempt: sub.attempt, Seq: sub.next, Data: st.chunk}
			if sub.conn.SendWait(ctx, chunk) != nil {
				return false
			}
			a.markSent(sub, len(st.chunk))
		}
	}
}

// sendEnd sends the last message of an attempt: wire.End, or wire.Refusal if the
// attempt failed. Errors: those of wire.Conn.Send.
func (s *Server) sendEnd(sub *subscriber, st sendAction) error {
	if st.result != nil {
		return s.sendRefusal(sub.conn, sub.stream, sub.attempt, st.result)
	}
	return sub.conn.Send(&wire.End{
		Stream:  sub.stream,
		Attempt: sub.attempt,
		Count:   st.count,
		Report:  s.report(),
	})
}

// refuse sends e for a request for which no attempt was started or resumed.
func (s *Server) refuse(c *wire.Conn, stream uint64, number uint32, requestID string, e *api.Error) {
	s.refusals.Add(requestID, e)
	s.sendRefusal(c, stream, number, e) //nolint:errcheck // on a closed connection nobody waits for it
}

// sendRefusal sends e as the last message of the attempt with this number. Errors:
// those of wire.Conn.Send.
func (s *Server) sendRefusal(c *wire.Conn, stream uint64, number uint32, e *api.Error) error {
	s.opt.Metrics.Refused(e.Code)
	return c.Send(&wire.Refusal{
		Stream:           stream,
		Attempt:          number,
		Code:             int(e.Code),
		Ran:              uint8(e.Ran),
		RetryAfterMillis: e.RetryAfter.Milliseconds(),
		Detail:           e.Detail,
		Report:           s.report(),
	})
}
