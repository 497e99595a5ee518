package side

import (
	"context"

	"marjorampitch/api"
	"marjorampitch/wire"
)

// pump sends the answer of a to sub until it is complete or ctx ends. It
// reports whether it was completed.
func (s *Server) pump(ctx context.Context, a *attempt, sub *subscriber) bool {
	headSent := false
	for {
		st := a.next(sub, headSent)
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
			sub.conn.Send(&head)
		case st.done:
			s.conclude(sub, st)
			return true
		default:
			if sub.window.take(ctx, len(st.chunk)) != nil {
				return false
			}
			chunk := &wire.Chunk{Stream: sub.stream, Attempt: sub.attempt, Seq: sub.next, Data: st.chunk}
			if sub.conn.SendWait(ctx, chunk) != nil {
				return false
			}
			a.sent(sub, len(st.chunk))
		}
	}
}

// conclude sends the last message of an attempt.
func (s *Server) conclude(sub *subscriber, st step) {
	if st.result != nil {
		s.sendRefusal(sub.conn, sub.stream, sub.attempt, st.result)
		return
	}
	sub.conn.Send(&wire.End{
		Stream:  sub.stream,
		Attempt: sub.attempt,
		Count:   st.count,
		Report:  s.report(),
	})
}

// refuse closes an attempt that did not begin.
func (s *Server) refuse(c *wire.Conn, stream uint64, number uint32, id string, e *api.Error) {
	s.refusals.Add(id, e)
	s.sendRefusal(c, stream, number, e)
}

// sendRefusal sends e as the last message of an attempt.
func (s *Server) sendRefusal(c *wire.Conn, stream uint64, number uint32, e *api.Error) {
	s.opt.Metrics.Refused(e.Code)
	c.Send(&wire.Refusal{
		Stream:           stream,
		Attempt:          number,
		Code:             int(e.Code),
		Ran:              uint8(e.Ran),
		RetryAfterMillis: e.RetryAfter.Milliseconds(),
		Detail:           e.Detail,
		Report:           s.report(),
	})
}
