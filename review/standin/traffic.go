package main

import (
	"fmt"
	"sync"
	"time"
)

const (
	// clientsCount clients that pause for clientPause between two requests send some 60 requests a
	// second.
	clientsCount = 12
	clientPause  = 180 * time.Millisecond
	inTouchTime  = 4 * time.Second // Longer than stable_window_ms.
	writeTime    = time.Second     // In which engines write what they still run.
)

// zones are those of Dala Vibro Lab.
var zones = []string{"hall-a", "hall-b", "server-room", "annex"}

// startStreamFleet is startSmall with model engines.
func (f *fleet) startStreamFleet() error {
	for i, zone := range zones {
		if _, err := f.addProcess("stream-engine", fmt.Sprintf("i-%d", i), modelService, zone); err != nil {
			return err
		}
		if _, err := f.addRouter("edge-"+zone+"-1", zone); err != nil {
			return err
		}
	}
	if err := f.awaitReady(); err != nil {
		return err
	}
	time.Sleep(inTouchTime)
	return nil
}

// startSmall starts an engine and a router in each of four zones, and waits until the routers are ready
// and in touch. engineArgs returns further arguments of an engine.
func (f *fleet) startSmall(engineArgs func(engine int) []string) error {
	for i, zone := range zones {
		args := append([]string{"-body", fmt.Sprint(bodyBytes)}, engineArgs(i)...)
		if _, err := f.addEngine(fmt.Sprintf("i-%d", i), serviceName, zone, args...); err != nil {
			return err
		}
		if _, err := f.addRouter("edge-"+zone+"-1", zone); err != nil {
			return err
		}
	}
	if err := f.awaitReady(); err != nil {
		return err
	}
	time.Sleep(inTouchTime)
	return nil
}

// startTraffic lets each client send one request after the other for a time. wait returns when the
// last one has ended.
func (f *fleet) startTraffic(duration time.Duration, sendOne func(c *client)) (wait func()) {
	var clients sync.WaitGroup
	end := time.Now().Add(duration)
	for n := range clientsCount {
		c := f.newClient(n, f.routers[n%len(f.routers)])
		clients.Go(func() {
			for time.Now().Before(end) {
				sendOne(c)
				time.Sleep(clientPause)
			}
		})
	}
	return func() {
		clients.Wait()
		time.Sleep(writeTime)
	}
}

// isOdd tells half of each router's clients from the others.
func (c *client) isOdd() bool { return c.name/len(c.f.routers)%2 == 1 }
