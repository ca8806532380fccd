// Package registry lists the instances of the fleet by their names. Each instance keeps one
// record on the platform's log, under its name, for as long as it exists: a restart, a crash
// or an outage doesn't change the list, so that decisions that are shared by hash among the
// instances don't either.
//
// The list may lack an instance that was just added, and may have one that is gone. Nothing
// that must always hold may depend on either.
package registry

import (
	"context"
	"encoding/json"
	"maps"
	"math/rand/v2"
	"slices"
	"sync"
	"time"

	"github.com/rs/zerolog"

	"guavapier/internal/logstore"
	"guavapier/internal/record"
)

const (
	// maxReadWait is how long one read waits for new records, and readInterval the pause
	// between two reads. Instances are rarely added, and each record wakes all readers.
	maxReadWait, readInterval = 10 * time.Second, 2 * time.Second
	// renewInterval is the pause between two records of an instance.
	renewInterval = 10 * time.Minute
	// expiry is the age, in time in which the log was readable, at which the record of an
	// instance that is gone is ignored.
	expiry = 3 * renewInterval
	// maxReadGap is the most that one read adds to that time.
	maxReadGap = 2 * (maxReadWait + readInterval)
	// writeRetryDelay is the pause after a write that failed.
	writeRetryDelay = 500 * time.Millisecond
)

// earlyReads are the times after this instance's first record at which the list is read without
// the usual pause: the other instances of a fleet that starts as a whole write theirs then.
var earlyReads = []time.Duration{400 * time.Millisecond, time.Second}

// Registry follows the list and keeps this instance's record. All fields must be set.
type Registry struct {
	Log logstore.KeyedLog
	// Name is this instance's name, which restarted processes keep.
	Name   string
	Logger zerolog.Logger
	// Details are published with the record.
	Details Details
	// OnChange is called with the sorted names of all instances, this one included, at first
	// when the list was read.
	OnChange func(names []string)
	// OnDetails is called with the details of all other instances, by name, when they have
	// changed. Instances that publish none are left out.
	OnDetails func(others map[string]Details)
}

// Details are what an instance publishes of itself.
type Details struct {
	Process  record.InstanceID `json:"process"`
	Zone     string            `json:"zone"` // Availability zone.
	Peer     string            `json:"peer"` // Address (IP:port) for calls of other instances.
	LinkMbps float64           `json:"link_mbps"`
}

// Run keeps the record and calls OnChange until ctx ends.
func (r *Registry) Run(ctx context.Context) {
	l := &list{self: r.Name, seenAt: map[string]time.Duration{}, details: map[string]Details{}}
	loaded, readNow := make(chan struct{}), make(chan struct{}, 1)
	var background sync.WaitGroup
	background.Go(func() { r.keepRecord(ctx, loaded, readNow) })
	defer background.Wait()
	follower := &logstore.Follower{
		Log: r.Log, Topic: logstore.TopicInstances, PollTimeout: maxReadWait, ReadInterval: readInterval, Trigger: readNow, NewestOnly: true,
		OnReset: l.clear, OnRecord: l.observe,
		OnLoaded: func() {
			if !l.loaded {
				l.loaded = true
				close(loaded)
			}
		},
		OnReadEnd: func(err error) {
			if err != nil {
				r.Logger.Debug().Err(err).Msg("registry: list not read; the last one stays in use")
				return
			}
			l.addReadTime(time.Now())
			if names, changed := l.names(); changed {
				r.Logger.Info().Int("instances", len(names)).Msg("registry: instances of the fleet")
				r.OnChange(names)
			}
			if others, changed := l.others(); changed {
				r.OnDetails(others)
			}
		},
	}
	follower.Run(ctx)
}

// keepRecord writes this instance's record once the list was read, and renews it. After the first
// one it triggers the early reads.
func (r *Registry) keepRecord(ctx context.Context, loaded <-chan struct{}, readNow chan<- struct{}) {
	select {
	case <-loaded:
	case <-ctx.Done():
		return
	}
	value, err := json.Marshal(r.Details)
	if err != nil {
		r.Logger.Error().Err(err).Msg("registry: details not encoded; record not written")
		return
	}
	records := []logstore.KeyedRecord{{Key: r.Name, Value: value}}
	triggered := false
	for epoch := uint64(1); ctx.Err() == nil; epoch++ {
		pause := renewInterval - rand.N(renewInterval/4)
		if err := r.Log.Put(ctx, logstore.TopicInstances, logstore.WriteID{Writer: string(r.Details.Process), Epoch: epoch}, records); err != nil {
			r.Logger.Debug().Err(err).Msg("registry: record not written")
			pause = writeRetryDelay
		} else if !triggered {
			triggered = true
			for _, after := range earlyReads {
				time.AfterFunc(after, func() { logstore.Notify(readNow) })
			}
		}
		logstore.Pause(ctx, pause, nil)
	}
}

// list is the list of instances as last read. Ages are in time in which the log was readable:
// in an outage no record is renewed, and instances that forget each other would each take a
// cold endpoint's whole bound.
type list struct {
	self     string
	loaded   bool
	lastRead time.Time                // Zero before the first read.
	readTime time.Duration            // In which the log was readable, since the start.
	seenAt   map[string]time.Duration // The readTime at which the record of each name was read.
	reported []string                 // Result of the last call of names that reported a change.
	details  map[string]Details       // By name, of the records that have them.
	changed  bool                     // The details have changed since the last call of others.
}

// clear forgets all records.
func (l *list) clear() {
	clear(l.seenAt)
	clear(l.details)
	l.changed = true
}

// addReadTime records a read that succeeded.
func (l *list) addReadTime(now time.Time) {
	if !l.lastRead.IsZero() {
		l.readTime += min(now.Sub(l.lastRead), maxReadGap)
	}
	l.lastRead = now
}

// observe applies one record.
func (l *list) observe(record logstore.KeyedRecord) {
	if record.Value == nil {
		delete(l.seenAt, record.Key)
		l.setDetails(record.Key, Details{})
		return
	}
	l.seenAt[record.Key] = l.readTime
	var details Details
	if err := json.Unmarshal(record.Value, &details); err != nil {
		details = Details{} // The record of a build that publishes none.
	}
	l.setDetails(record.Key, details)
}

// setDetails sets an instance's details; those without an address are removed.
func (l *list) setDetails(name string, details Details) {
	if details == l.details[name] {
		return
	}
	l.changed = true
	l.details[name] = details
	if details.Peer == "" {
		delete(l.details, name)
	}
}

// others returns the details of the instances other than this one, and whether they may
// differ from those of the last call; false until the list was read.
func (l *list) others() (others map[string]Details, changed bool) {
	if !l.loaded || !l.changed {
		return nil, false
	}
	l.changed = false
	others = maps.Clone(l.details)
	delete(others, l.self)
	return others, true
}

// names returns the sorted names of the instances whose records have not expired and of this
// one, and whether they differ from the last call; false until the list was read.
func (l *list) names() (names []string, changed bool) {
	if !l.loaded {
		return nil, false
	}
	names = []string{l.self}
	for name, at := range l.seenAt {
		if name != l.self && l.readTime-at < expiry {
			names = append(names, name)
		}
	}
	slices.Sort(names)
	changed = !slices.Equal(names, l.reported)
	l.reported = names
	return names, changed
}
