package session

import (
	"context"
	"time"

	"guavapier/internal/fold"
	"guavapier/internal/record"
	"guavapier/internal/replica"
)

// Appender appends records to the log in one batch; see platform.Publisher.
type Appender interface {
	Append(ctx context.Context, stream record.Stream, records ...record.Record) (uint64, error)
}

// Registry knows which sessions are listed as open and which their owners have ended. The marks stand in the
// ledger partition of the team, and every instance that has applied it refuses
// the session. A mark names the team as well, so no team can end another's
// session, whatever identity it names.
type Registry struct {
	Log        Appender
	Partitions []*replica.Replica[*fold.Ledger]
}

// IsEnded says whether a session was ended by its owner.
func (r Registry) IsEnded(team record.Team, id record.SessionID) bool {
	ended := false
	r.partitionOf(team).View(func(f *fold.Ledger) { ended = f.SessionEnded(team, id) })
	return ended
}

// End ends a session. Ending it again has no effect. After an error it may be
// ended or not; calling End again settles that.
func (r Registry) End(ctx context.Context, team record.Team, id record.SessionID) error {
	if r.IsEnded(team, id) {
		return nil
	}
	partition := r.partitionOf(team)
	offset, err := r.Log.Append(ctx, partition.Stream(), record.SessionEnded{Session: id, Team: team})
	if err != nil {
		return err
	}
	return partition.Wait(ctx, offset)
}

// OpenSessions returns the open sessions of a team, oldest first. The list holds what
// the log took; a session that was opened while it was away is valid and not
// listed.
func (r Registry) OpenSessions(team record.Team) []record.SessionOpened {
	var sessions []record.SessionOpened
	r.partitionOf(team).View(func(f *fold.Ledger) { sessions = f.OpenSessions(team) })
	return sessions
}

// RecordOpened puts an opened session on the list.
func (r Registry) RecordOpened(ctx context.Context, id Identity, openedAt time.Time) error {
	_, err := r.Log.Append(ctx, r.partitionOf(id.Team).Stream(), record.SessionOpened{
		Session: id.ID, Team: id.Team, Zone: id.Home, KeyID: id.KeyID, UnixMilli: openedAt.UnixMilli(),
	})
	return err
}

func (r Registry) partitionOf(team record.Team) *replica.Replica[*fold.Ledger] {
	return r.Partitions[record.TeamPartition(team, len(r.Partitions))]
}
