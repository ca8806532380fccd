package gateway

import (
	"testing"
	"time"
)

// Two reads in a row whose connections fall silent must leave time for a third one,
// where the deployment gives time enough. Where it doesn't, reads are as frequent as
// calls allow.
func TestSilentReadsLeaveTimeForTheNext(t *testing.T) {
	const timeout = time.Second
	for _, changeTimeout := range []time.Duration{2 * time.Second, 3 * time.Second, 4 * time.Second, 10 * time.Second} {
		wait, pause := statePollTimeout(changeTimeout, timeout), endpointsPollPause(changeTimeout, timeout)
		if wait > minStatePollTimeout && wait+2*timeout >= changeTimeout {
			t.Errorf("desired state: noticed after %s, in force within %s", wait+2*timeout, changeTimeout)
		}
		if noticedAfter := pause + endpointsPollTimeout + 2*timeout; pause > minEndpointsPollPause && noticedAfter >= changeTimeout {
			t.Errorf("endpoint list: noticed after %s, left within %s", noticedAfter, changeTimeout)
		}
		if wait < minStatePollTimeout || wait+timeout >= changeTimeout || pause < minEndpointsPollPause || pause > changeTimeout/5 {
			t.Errorf("within %s the state is waited for %s, the endpoint list read each %s", changeTimeout, wait, pause)
		}
	}
}

// What is read without a fault is never too old, however long its reads wait for news.
func TestReadsThatWaitForNewsKeepATopicFresh(t *testing.T) {
	const timeout, roundTrip = time.Second, 50 * time.Millisecond
	for _, changeTimeout := range []time.Duration{2 * time.Second, 3 * time.Second, 4 * time.Second, 10 * time.Second} {
		for name, timing := range map[string]struct{ wait, pause time.Duration }{
			"desired state": {statePollTimeout(changeTimeout, timeout), statePollPause},
			"endpoint list": {endpointsPollTimeout, endpointsPollPause(changeTimeout, timeout)},
		} {
			now := time.Minute
			f := newFreshness(changeTimeout, func() time.Duration { return now })
			for read := range 5 {
				f.onReadStart()
				now += timing.wait + roundTrip
				f.onReceive()
				if read > 0 && f.isOutdated(true) {
					t.Errorf("%s within %s: too old at the age of %s", name, changeTimeout, f.age())
				}
				f.onCaughtUp()
				now += timing.pause
			}
		}
	}
}
