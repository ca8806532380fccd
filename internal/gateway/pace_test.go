package gateway

import (
	"testing"
	"time"
)

// Two reads in a row whose connections go silent must leave time for a third one if the
// settings allow enough time. If not, reads are as frequent as the limit on the call rate
// permits.
func TestSilentReadsLeaveTimeForTheNext(t *testing.T) {
	const timeout = time.Second
	for _, changeTimeout := range []time.Duration{2 * time.Second, 3 * time.Second, 4 * time.Second, 10 * time.Second} {
		wait, pause := statePollTimeout(changeTimeout, timeout), endpointsPollPause(changeTimeout, timeout)
		if wait > minStatePollTimeout && wait+2*timeout >= changeTimeout {
			t.Errorf("desired state: a change is noticed after %s, must be in force within %s", wait+2*timeout, changeTimeout)
		}
		if noticedAfter := pause + endpointsPollTimeout + 2*timeout; pause > minEndpointsPollPause && noticedAfter >= changeTimeout {
			t.Errorf("endpoint list: a leaving endpoint is noticed after %s, must be unused within %s", noticedAfter, changeTimeout)
		}
		if wait < minStatePollTimeout || wait+timeout >= changeTimeout || pause < minEndpointsPollPause || pause > changeTimeout/5 {
			t.Errorf("with a limit of %s a read of the state waits %s and reads of the endpoint list pause %s", changeTimeout, wait, pause)
		}
	}
}

// A topic that is read without failures is never outdated, however long its reads wait for
// a change.
func TestReadsThatWaitForNewsKeepATopicFresh(t *testing.T) {
	const timeout, roundTrip = time.Second, 50 * time.Millisecond
	for _, changeTimeout := range []time.Duration{2 * time.Second, 3 * time.Second, 4 * time.Second, 10 * time.Second} {
		for name, timing := range map[string]struct{ wait, pause time.Duration }{
			"desired state": {statePollTimeout(changeTimeout, timeout), statePollPause},
			"endpoint list": {endpointsPollTimeout, endpointsPollPause(changeTimeout, timeout)},
		} {
			now := time.Minute
			f := newFreshness(changeTimeout, func() time.Duration { return now }, &storeContact{})
			for read := range 5 {
				f.onReadStart()
				now += timing.wait + roundTrip
				f.onReceive()
				if read > 0 && f.isOutdated(linkFull) {
					t.Errorf("%s with a limit of %s is outdated at age %s", name, changeTimeout, f.age())
				}
				f.onCaughtUp()
				now += timing.pause
			}
		}
	}
}
