package forward

import "guavapier/internal/placement"

// recordReply records what an endpoint's answer states. One without the request's identity that
// does not say that nothing was run may be another endpoint's.
func (c *call) recordReply(assignment *placement.Assignment, reply Reply, status int) {
	if reply.Misdirected || reply.RequestID != c.ID && !reply.NotRun {
		return
	}
	if reply.Statement.Rest > 0 {
		c.logRest(reply.Statement.Rest)
	}
	if assignment.OnReply(replyKind(reply, status), reply.Statement, c.ID, c.f.Clock()) {
		c.logStatement(reply)
		c.f.OnStatement(assignment.Endpoint.ID)
	}
}

// replyKind returns what an answer with this status says of the request.
func replyKind(reply Reply, status int) placement.ReplyKind {
	switch {
	case reply.NotRun:
		return placement.ReplyRejection
	case isSuccess(status):
		return placement.ReplySuccess
	}
	return placement.ReplyFailure
}
