package quarantine

import (
	"context"
	"fmt"
	"syscall"
	"testing"
	"testing/synctest"
	"time"

	"pgregory.net/rapid"

	"guavapier/internal/logstore"
	"guavapier/internal/standin"
)

// promptContent returns a request with a content of its own and these shared parts.
func promptContent(n int, parts ...string) Content {
	return Content{Organisation: "org", Method: "POST", Host: "h", Target: "/x", Body: [][]byte{[]byte(fmt.Sprint(n))}, Parts: parts}
}

// recordCrashOf records that an endpoint crashed with the requests in progress.
func (t *Table) recordCrashOf(endpoint string, now time.Time, requests ...Content) {
	for _, c := range requests {
		for _, s := range t.suspects(c, endpoint, now) {
			t.recordCrash(s, c.Organisation, endpoint, time.Millisecond, now)
		}
	}
}

// verdictOn returns what the table decides about the request at now.
func (t *Table) verdictOn(c Content, now time.Time) verdict { return t.judge(t.lookup(c), now) }

// answered clears the subjects of a request that was answered.
func (t *Table) answered(c Content) {
	for _, s := range t.lookup(c) {
		t.clear(s.fingerprint, startTime)
	}
}

func TestAPartIsQuarantinedWhateverElseTheRequestHolds(t *testing.T) {
	table := NewTable("me")
	for i := range 3 {
		now := startTime.Add(time.Duration(i) * time.Second)
		table.recordCrashOf(fmt.Sprint("e", i), now, promptContent(i, "a", "bad"))
	}
	table.answered(promptContent(9, "a"))
	now := startTime.Add(2*time.Second + reportGracePeriod)
	other := promptContent(10, "z", "bad", "y")
	other.Organisation, other.Target = "another", "/other"
	if v := table.verdictOn(other, now); v.kind != verdictRefuse || v.subject.part != "bad" || v.suspected || v.retryAfter != initialQuarantine-reportGracePeriod {
		t.Errorf("verdict on another organisation's request with the part is %+v, want a quarantine", v)
	}
	if v := table.verdictOn(promptContent(11, "a", "y"), now); v.kind != verdictAdmit {
		t.Errorf("verdict on a request without the part is %+v, want that it is admitted", v)
	}
}

func TestASuspectedPartIsTriedByOneRequestAtATime(t *testing.T) {
	table, c := NewTable("me"), promptContent(0, "bad")
	f := partSubject("bad").fingerprint
	table.recordCrashOf("e0", startTime, promptContent(1, "bad"))
	if v := table.verdictOn(c, startTime); v.kind != verdictAdmit {
		t.Errorf("verdict after one crash is %+v, want that the request is admitted", v)
	}
	now := startTime.Add(100 * time.Millisecond)
	table.recordCrashOf("e1", now, promptContent(2, "bad"))
	if v := table.verdictOn(c, now); v.kind != verdictCanary {
		t.Errorf("verdict after two crashes is %+v, want a canary", v)
	}
	claim, _ := table.canaryClaim(f, now)
	table.observe(f, claim, false, now)
	if decided, won := table.canaryResult(f, 1); !decided || !won {
		t.Errorf("canary decided %v, won %v; want both", decided, won)
	}
	if v := table.verdictOn(c, now); v.kind != verdictRefuse || !v.suspected || v.retryAfter != canaryDuration {
		t.Errorf("verdict during the canary is %+v, want a refusal for %s", v, canaryDuration)
	}
	if v := table.verdictOn(c, now.Add(canaryDuration)); v.kind != verdictCanary {
		t.Errorf("verdict after a canary without a result is %+v, want another canary", v)
	}
}

// Two parts have occurred together in every crash. Requests with both of them are refused, and a
// request with one of them is sent to tell them apart.
func TestARequestWithOneOfTwoEquallySuspectPartsIsACanary(t *testing.T) {
	table := NewTable("me")
	for i := range 4 {
		table.recordCrashOf(fmt.Sprint("e", i), startTime.Add(time.Duration(i)*time.Second), promptContent(i, "bad", "twin"))
	}
	now := startTime.Add(10 * time.Second)
	if v := table.verdictOn(promptContent(9, "bad", "twin"), now); v.kind != verdictRefuse || v.suspected {
		t.Errorf("verdict on a request with both parts is %+v, want a quarantine", v)
	}
	if v := table.verdictOn(promptContent(9, "twin"), now); v.kind != verdictCanary {
		t.Errorf("verdict on a request with one of the parts is %+v, want a canary", v)
	}
	table.recordCrashOf("e9", now, promptContent(10, "bad"))
	now = now.Add(reportGracePeriod)
	if v := table.verdictOn(promptContent(11, "twin"), now); v.kind != verdictAdmit {
		t.Errorf("verdict on the part that was not in the last crash is %+v, want that it is admitted", v)
	}
	if v := table.verdictOn(promptContent(11, "bad"), now); v.kind != verdictRefuse || v.suspected {
		t.Errorf("verdict on the part that was in all crashes is %+v, want a quarantine", v)
	}
}

// Guards against sound prompts that are refused for two minutes because they share a part with
// crashing ones and were under way beside a crashing content, and against that content being sent on.
func TestAPartBesideTwoSubjectsThatCrashEndpointsIsNotQuarantined(t *testing.T) {
	table, now := NewTable("me"), startTime
	content := Content{Organisation: "org", Method: "POST", Host: "h", Target: "/x", Body: [][]byte{[]byte("crash")}}
	for i := range crashesToSuspect {
		now = now.Add(time.Second)
		table.recordCrashOf(fmt.Sprint("part ", i), now, promptContent(i, "shared", "bad"))
		now = now.Add(time.Second)
		table.recordCrashOf(fmt.Sprint("content ", i), now, content, promptContent(100+i, "shared"))
	}
	now = now.Add(time.Second)
	table.recordCrashOf("content alone", now, content)
	now = now.Add(reportGracePeriod)
	if v := table.verdictOn(promptContent(200, "shared"), now); v.kind != verdictCanary {
		t.Errorf("verdict on a request with the shared part alone is %+v, want a canary", v)
	}
	if v := table.verdictOn(promptContent(200, "shared", "bad"), now); v.kind != verdictRefuse || v.suspected {
		t.Errorf("verdict on a request with both parts is %+v, want a quarantine", v)
	}
	if v := table.verdictOn(content, now); v.kind != verdictRefuse {
		t.Errorf("verdict on the content that crashes endpoints is %+v, want a quarantine", v)
	}
}

// Endpoints crash under one part of a prompt, which occurs with any others. The others are
// answered now and then.
func TestOnlyThePartUnderWhichAllEndpointsCrashIsQuarantined(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		table, now := NewTable("me"), startTime
		others := rapid.SliceOfNDistinct(rapid.StringMatching("[a-f]{2}"), 1, 6, rapid.ID).Draw(t, "others")
		drawParts := func(name string) []string {
			return rapid.SliceOfDistinct(rapid.SampledFrom(others), rapid.ID).Draw(t, name)
		}
		crashes := rapid.IntRange(4, 12).Draw(t, "crashes")
		for i := range crashes {
			now = now.Add(time.Duration(rapid.IntRange(50, 2000).Draw(t, "pause")) * time.Millisecond)
			table.recordCrashOf(fmt.Sprint("e", i), now, promptContent(i, append(drawParts("parts"), "bad")...), promptContent(1000+i, drawParts("parts beside")...))
			if i%3 == 1 {
				for n, other := range others {
					table.answered(promptContent(2000+n, other))
				}
			}
		}
		now = now.Add(reportGracePeriod)
		if v := table.verdictOn(promptContent(9, append(drawParts("parts of the next"), "bad")...), now); v.kind == verdictAdmit {
			t.Fatalf("a request with the part is admitted after %d crashes", crashes)
		}
		for n, other := range others {
			if v := table.verdictOn(promptContent(3000+n, other), now); v.kind == verdictRefuse {
				t.Fatalf("a request with part %q, which was answered since, is refused: %+v", other, v)
			}
		}
	})
}

func TestAPartAnsweredLatelyElsewhereIsNotReported(t *testing.T) {
	table, c := NewTable("me"), promptContent(1, "a", "bad")
	table.recordAnswer([]string{"a"}, "e1", startTime)
	names := func(endpoint string, now time.Time) (parts string) {
		for _, s := range table.suspects(c, endpoint, now) {
			parts += s.part + " "
		}
		return parts
	}
	if got := names("e2", startTime.Add(answeredWindow)); got != " bad " {
		t.Errorf("suspects are %q, want the content and the part that was not answered", got)
	}
	if got := names("e1", startTime.Add(answeredWindow)); got != " a bad " {
		t.Errorf("suspects at the endpoint that answered are %q, want all", got)
	}
	if got := names("e2", startTime.Add(3*answeredWindow)); got != " a bad " {
		t.Errorf("suspects long after the answer are %q, want all", got)
	}
}

// Two instances write what they know of a part at the same time, so that the later record lacks
// what the earlier one had.
func TestAnInstanceThatStartsKnowsOfAllCrashes(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		log := standin.NewKeyed()
		syncers := startSyncers(t, log, 4)
		for i := range 4 {
			syncers[i].Broke(t.Context(), promptContent(i, "bad"), Endpoint{ID: fmt.Sprint("e", i), Address: "address"}, time.Second)
		}
		time.Sleep(2 * time.Second)
		fresh := startSyncers(t, log, 1)[0]
		if v := fresh.Table.verdictOn(promptContent(9, "bad"), time.Now()); len(v.endpoints) != 4 {
			t.Errorf("a new instance knows of the crashes of %v, want four endpoints", v.endpoints)
		}
	})
}

func TestAnEndpointHasCrashedOnlyIfItsHostRefusesConnections(t *testing.T) {
	for name, c := range map[string]struct {
		probeErr               error
		wantCrashed, wantKnown bool
	}{
		"accepts connections": {nil, false, true},
		"refuses connections": {syscall.ECONNREFUSED, true, true},
		"is silent":           {context.DeadlineExceeded, false, false},
	} {
		s := newTestSyncer("me", standin.NewKeyed(), func(context.Context, string, string) error { return c.probeErr })
		crashed, err := s.HasCrashed(t.Context(), Endpoint{ID: "e", Address: "address"})
		if crashed != c.wantCrashed || (err == nil) != c.wantKnown {
			t.Errorf("%s: crashed %v, error %v; want %v, known %v", name, crashed, err, c.wantCrashed, c.wantKnown)
		}
	}
}

func TestAnAnswerOfAnEndpointThatCrashesRightAfterItClearsNoPart(t *testing.T) {
	for _, crashed := range []bool{false, true} {
		synctest.Test(t, func(t *testing.T) {
			s := newTestSyncer("me", standin.NewKeyed(), refusingProbe)
			c, e := promptContent(1, "bad"), Endpoint{ID: "e1", Address: "address"}
			s.Table.recordCrashOf("e0", time.Now(), c)
			s.Answered(c, e)
			if crashed {
				s.Broke(t.Context(), promptContent(2, "other"), e, time.Second)
			}
			time.Sleep(time.Second)
			if known := len(s.Table.lookup(c)) > 0; known != crashed {
				t.Errorf("endpoint crashed %v, part suspected %v; want the same", crashed, known)
			}
		})
	}
}

// Guards against canaries whose answer is ignored. A process that starts at the address of a crashed
// one is known by the ID of that until the list of endpoints is read again.
func TestAnAnswerAtTheAddressOfACrashedEndpointClearsItsParts(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		s := newTestSyncer("me", standin.NewKeyed(), refusingProbe)
		e := Endpoint{ID: "e1", Address: "address", Born: 1}
		s.Broke(t.Context(), promptContent(1, "shared", "bad"), e, time.Millisecond)
		time.Sleep(time.Second)
		s.Answered(promptContent(2, "shared"), e)
		time.Sleep(time.Second)
		if len(s.Table.lookup(promptContent(3, "shared"))) > 0 {
			t.Error("the part is suspected after an answer, want it cleared")
		}
		if len(s.Table.lookup(promptContent(3, "bad"))) == 0 {
			t.Error("the part that was not answered is cleared")
		}
	})
}

func TestAnEndpointThatStartsAgainUnderItsIDCountsAgain(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		s := newTestSyncer("me", standin.NewKeyed(), refusingProbe)
		for born := range int64(3) {
			s.Broke(t.Context(), promptContent(int(born), "bad"), Endpoint{ID: "e", Address: "address", Born: 1 + born}, time.Millisecond)
			time.Sleep(time.Second)
		}
		if err := s.Admit(t.Context(), promptContent(9, "bad")); !isQuarantined(err) {
			t.Errorf("admitted with %v after three crashes of an endpoint that started again each time, want a QuarantinedError", err)
		}
	})
}

// Guards against canaries for all frequent parts after several endpoints were lost together.
func TestEndpointsThatAreLostAtOneMomentMakeNoPartSuspected(t *testing.T) {
	table := NewTable("me")
	f := partSubject("a").fingerprint
	for i := range 4 {
		now := startTime.Add(time.Duration(i) * 50 * time.Millisecond)
		table.observe(f, &entryRecord{Team: "org", Part: "a", Writer: "other", Endpoints: []string{fmt.Sprint("e", i)}, UnderWay: 20 * time.Millisecond, Crashes: 1}, false, now)
	}
	if v := table.verdictOn(promptContent(1, "a"), startTime.Add(time.Second)); v.kind != verdictAdmit {
		t.Errorf("verdict after four endpoints were lost at the same moment is %+v, want that the request is admitted", v)
	}
}

// stuckWrites is a log whose writes don't end.
type stuckWrites struct{ logstore.KeyedLog }

// Put implements logstore.KeyedLog.
func (stuckWrites) Put(ctx context.Context, _ logstore.Topic, _ logstore.WriteID, _ []logstore.KeyedRecord) error {
	<-ctx.Done()
	return ctx.Err()
}

// Several requests wait for the canary of one part. Once that is answered the others are not
// refused.
func TestARequestIsAdmittedOnceThePartThatItWaitsForIsCleared(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		s := newTestSyncer("me", stuckWrites{standin.NewKeyed()}, refusingProbe) // No claim is decided.
		go s.Run(t.Context())
		for i := range 2 {
			s.Broke(t.Context(), promptContent(i, "a"), Endpoint{ID: fmt.Sprint("e", i), Address: "address"}, time.Millisecond)
			time.Sleep(time.Second)
		}
		const requests = 3
		admitted := make(chan error)
		for n := range requests {
			go func() { admitted <- s.Admit(t.Context(), promptContent(9+n, "a")) }()
		}
		time.Sleep(claimTimeout / 2)
		s.clear(partSubject("a"))
		for range requests {
			if err := <-admitted; err != nil {
				t.Errorf("refused with %v after the part was cleared", err)
			}
		}
	})
}
