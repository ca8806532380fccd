package session_test

import (
	"context"
	"errors"
	"testing"

	"pgregory.net/rapid"

	"guavapier/internal/fold"
	"guavapier/internal/logstore"
	"guavapier/internal/record"
	"guavapier/internal/replica"
	"guavapier/internal/session"
)

// newKeyring returns a keyring with a key for each ID.
func newKeyring(current string, ids ...string) session.Keyring {
	k := session.Keyring{CurrentKeyID: current, Keys: map[string][]byte{}}
	for _, id := range ids {
		k.Keys[id] = []byte("secret of " + id)
	}
	return k
}

// A token verifies as the identity that it was issued for, and no altered,
// shortened or extended token verifies at all.
func TestOnlyOpenedTokensVerify(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		team := record.Team(rapid.StringMatching(`[a-z.:/é]{1,12}`).Draw(t, "team"))
		zone := record.Zone(rapid.String().Draw(t, "zone"))
		keys := newKeyring("k1", "k1", "k2")
		id, token, err := keys.Issue(team, zone)
		if err != nil {
			t.Fatal(err)
		}
		if got, err := keys.Verify(token); err != nil || got != id || got.Team != team || got.Home != zone {
			t.Fatalf("issued %+v, verified as %+v: %v", id, got, err)
		}
		forged := []byte(token)
		position := rapid.IntRange(0, len(forged)-1).Draw(t, "position")
		value := rapid.Byte().Draw(t, "value")
		switch rapid.IntRange(0, 2).Draw(t, "alteration") {
		case 0:
			forged[position] = value
		case 1:
			forged = forged[:position]
		case 2:
			forged = append(forged, value)
		}
		if got, err := keys.Verify(string(forged)); err == nil && string(forged) != token {
			t.Fatalf("forged token %q verified as %+v", forged, got)
		}
		if _, err := newKeyring("k1", "k2").Verify(token); !errors.Is(err, session.ErrUnknownKey) {
			t.Fatalf("token signed with a key outside the keyring: got error %v, want ErrUnknownKey", err)
		}
		other := newKeyring("k1", "k1")
		other.Keys["k1"] = []byte("another secret")
		if _, err := other.Verify(token); !errors.Is(err, session.ErrForged) {
			t.Fatalf("token signed with another secret: got error %v, want ErrForged", err)
		}
	})
}

// After a key rotation, sessions under the old key stay valid and new ones are
// signed with the new key.
func TestRotationKeepsSessions(t *testing.T) {
	_, token, err := newKeyring("k1", "k1").Issue("dala", "hall-a")
	if err != nil {
		t.Fatal(err)
	}
	rotated := newKeyring("k2", "k1", "k2")
	if _, err := rotated.Verify(token); err != nil {
		t.Fatal(err)
	}
	if id, _, err := rotated.Issue("dala", "hall-a"); err != nil || id.KeyID != "k2" {
		t.Fatalf("session issued after the rotation is signed with key %q, want \"k2\"; error %v", id.KeyID, err)
	}
}

// memoryLog is an Appender that applies each batch to one replica at once.
type memoryLog struct {
	partition *replica.Replica[*fold.Ledger]
	seq       uint64
}

func (m *memoryLog) Append(_ context.Context, _ record.Stream, records ...record.Record) (uint64, error) {
	m.seq++
	batch := record.Batch{Writer: "w", Seq: m.seq}
	envelopes, err := record.EncodeAll(records...)
	if err != nil {
		return 0, err
	}
	batch.Records = envelopes
	data, err := record.EncodeBatch(batch)
	if err != nil {
		return 0, err
	}
	offset := m.partition.NextOffset()
	return offset, m.partition.Apply(logstore.Entry{Offset: offset, Data: data})
}

// A session stays open when another team ends a session with the same ID; the
// second end by its own team has no effect.
func TestOnlyItsTeamEndsASession(t *testing.T) {
	partition := replica.New(record.LedgerStream(0), fold.NewLedger())
	registry := session.Registry{Log: &memoryLog{partition: partition}, Partitions: []*replica.Replica[*fold.Ledger]{partition}}
	for _, team := range []record.Team{"other", "dala", "dala"} {
		if err := registry.End(context.Background(), team, "s1"); err != nil {
			t.Fatal(err)
		}
		if got := registry.IsEnded("dala", "s1"); got != (team == "dala") {
			t.Fatalf("after the end by team %s: session of team dala ended = %v", team, got)
		}
	}
	if registry.IsEnded("dala", "s2") {
		t.Fatal("session s2 is ended, but only s1 was")
	}
}
