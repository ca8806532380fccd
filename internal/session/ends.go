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

// Ends knows which sessions are listed as open and which their owners have ended. The marks stand in the
// ledger partition of the team, and every instance that has applied it refuses
// the session. A mark names the team as well, so no team can end another's
// session, whatever identity it names.
type Ends struct {
	Log        Appender
	Partitions []*replica.Replica[*fold.Ledger]
}

// Ended says whether a session was ended by its owner.
func (e Ends) Ended(team record.Team, id record.SessionID) bool {
	ended := false
	e.partition(team).View(func(f *fold.Ledger) { ended = f.SessionEnded(team, id) })
	return ended
}

// End ends a session. Ending it again has no effect. After an error it may be
// ended or not; calling End again settles that.
func (e Ends) End(ctx context.Context, team record.Team, id record.SessionID) error {
	if e.Ended(team, id) {
		return nil
	}
	part := e.partition(team)
	offset, err := e.Log.Append(ctx, part.Stream(), record.SessionEnded{Session: id, Team: team})
	if err != nil {
		return err
	}
	return part.AwaitOffset(ctx, offset)
}

// Listed returns the open sessions of a team, oldest first. The list holds what
// the log took; a session that was opened while it was away is valid and not
// listed.
func (e Ends) Listed(team record.Team) []record.SessionOpened {
	var out []record.SessionOpened
	e.partition(team).View(func(f *fold.Ledger) { out = f.OpenSessions(team) })
	return out
}

// List puts an opened session on the list.
func (e Ends) List(ctx context.Context, id Identity, openedAt time.Time) error {
	_, err := e.Log.Append(ctx, e.partition(id.Team).Stream(), record.SessionOpened{
		Session: id.ID, Team: id.Team, Zone: id.Home, KeyID: id.KeyID, UnixMilli: openedAt.UnixMilli(),
	})
	return err
}

func (e Ends) partition(team record.Team) *replica.Replica[*fold.Ledger] {
	return e.Partitions[record.TeamPartition(team, len(e.Partitions))]
}
