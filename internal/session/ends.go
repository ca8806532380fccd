package session

import (
	"context"
	"time"

	"guavapier/internal/fold"
	"guavapier/internal/record"
	"guavapier/internal/replica"
)

// Appender appends records to a stream of the log in one batch and returns the
// batch's offset; see logstore.Publisher.
type Appender interface {
	Append(ctx context.Context, stream record.Stream, records ...record.Record) (uint64, error)
}

// Registry records which sessions are open and which their teams have ended. The
// records are in the team's ledger partition; every instance that has applied
// the end of a session refuses the session's requests. The record of an end
// names the team too and applies to that team's session only, so no team can end
// another's session, whatever session ID it sends.
type Registry struct {
	Log        Appender
	Partitions []*replica.Replica[*fold.Ledger]
}

// IsEnded reports whether the team has ended the session. It reads this
// instance's replica, which may lag behind the log. A session that was never
// opened is reported as not ended.
func (r Registry) IsEnded(team record.Team, id record.SessionID) bool {
	ended := false
	r.partitionOf(team).View(func(f *fold.Ledger) { ended = f.SessionEnded(team, id) })
	return ended
}

// End ends a session and returns once this instance has applied the end. Ending
// a session again has no effect. After an error the session may or may not have
// been ended; calling End again resolves that.
func (r Registry) End(ctx context.Context, team record.Team, id record.SessionID) error {
	if r.IsEnded(team, id) {
		return nil
	}
	partition := r.partitionOf(team)
	offset, err := r.Log.Append(ctx, partition.Stream(), record.SessionEnded{Session: id, Team: team})
	if err != nil {
		return err
	}
	return partition.AwaitOffset(ctx, offset)
}

// OpenSessions returns the open sessions of a team, oldest first. It lists only
// sessions whose opening reached the log: a session that was opened while the
// log was unavailable is valid but not listed.
func (r Registry) OpenSessions(team record.Team) []record.SessionOpened {
	var sessions []record.SessionOpened
	r.partitionOf(team).View(func(f *fold.Ledger) { sessions = f.OpenSessions(team) })
	return sessions
}

// RecordOpened appends the opening of a session to the log, so that OpenSessions
// lists it. The session is valid whether or not this succeeds.
func (r Registry) RecordOpened(ctx context.Context, id Identity, openedAt time.Time) error {
	_, err := r.Log.Append(ctx, r.partitionOf(id.Team).Stream(), record.SessionOpened{
		Session: id.ID, Team: id.Team, Zone: id.Home, KeyID: id.KeyID, UnixMilli: openedAt.UnixMilli(),
	})
	return err
}

// partitionOf returns the replica of the ledger partition that holds the team's
// records.
func (r Registry) partitionOf(team record.Team) *replica.Replica[*fold.Ledger] {
	return r.Partitions[record.TeamPartition(team, len(r.Partitions))]
}
