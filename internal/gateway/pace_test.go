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
	for _, within := range []time.Duration{2 * time.Second, 3 * time.Second, 4 * time.Second, 10 * time.Second} {
		wait, pause := stateWait(within, timeout), endpointsPause(within, timeout)
		if wait > stateLeastWait && wait+2*timeout >= within {
			t.Errorf("desired state: noticed after %s, in force within %s", wait+2*timeout, within)
		}
		if silent := pause + endpointsWait + 2*timeout; pause > endpointsLeastPause && silent >= within {
			t.Errorf("endpoint list: noticed after %s, left within %s", silent, within)
		}
		if wait < stateLeastWait || wait+timeout >= within || pause < endpointsLeastPause || pause > within/5 {
			t.Errorf("within %s the state is waited for %s, the endpoint list read each %s", within, wait, pause)
		}
	}
}

// What is read without a fault is never too old, however long its reads wait for news.
func TestReadsThatWaitForNewsKeepATopicFresh(t *testing.T) {
	const timeout, trip = time.Second, 50 * time.Millisecond
	for _, within := range []time.Duration{2 * time.Second, 3 * time.Second, 4 * time.Second, 10 * time.Second} {
		for name, pace := range map[string]struct{ wait, pause time.Duration }{
			"desired state": {stateWait(within, timeout), statePause},
			"endpoint list": {endpointsWait, endpointsPause(within, timeout)},
		} {
			now := time.Minute
			f := newFreshness(within, func() time.Duration { return now })
			for read := range 5 {
				f.begin()
				now += pace.wait + trip
				f.came()
				if read > 0 && f.outdated(true) {
					t.Errorf("%s within %s: too old at the age of %s", name, within, f.age())
				}
				f.confirm()
				now += pace.pause
			}
		}
	}
}
