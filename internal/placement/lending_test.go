package placement_test

import (
	"fmt"
	"testing"
	"time"

	"guavapier/internal/placement"
)

// lend lets each instance that is short of shares borrow from all others. A loan is used from
// its arrival on, which is later than the lender counts it from.
func (f *limitedFleet) lend() {
	for i, borrower := range f.instances {
		for _, service := range borrower.ServicesShortOfShares(f.now) {
			for j, lender := range f.instances {
				if i != j {
					shares := lender.LendShares(service, fmt.Sprint("instance-", i), f.now)
					borrower.BorrowShares(fmt.Sprint("instance-", j), shares, f.now+placement.LoanDuration)
				}
			}
		}
	}
}

// stepAt is step for some of the instances, whose callers send requests.
func (f *limitedFleet) stepAt(instances ...*placement.Table) {
	all := f.instances
	f.instances = instances
	f.step()
	f.instances = all
}

// The callers of one instance after the other, or of all of them, send more than the endpoints
// can serve.
func TestLentSharesOfARejectionLimitKeepIt(t *testing.T) {
	for _, c := range []struct{ instances, endpoints, limit int }{{3, 4, 10}, {6, 8, 10}, {8, 4, 10}, {8, 4, 30}, {8, 18, 10}} {
		f := newLimitedFleet(c.instances, c.endpoints, c.limit)
		f.learn()
		from := f.now
		const phase, borrowInterval = 3 * time.Second, 250 * time.Millisecond
		for n := range 2 * c.instances {
			loaded := f.instances[n/2 : n/2+1]
			if n%2 == 1 {
				loaded = f.instances
			}
			lentAt := f.now
			for end := f.now + phase; f.now < end; {
				f.stepAt(loaded...)
				if f.now >= lentAt+borrowInterval {
					lentAt = f.now
					f.lend()
				}
			}
		}
		if most := f.mostRejections(from); most > c.limit {
			t.Errorf("%d instances, %d endpoints: %d rejections in a second, want at most %d", c.instances, c.endpoints, most, c.limit)
		}
	}
}

// Guards against an instance to which most callers come, and which may use its own share of the
// endpoints' rejection limit alone.
func TestAnInstanceUsesSharesThatOthersLend(t *testing.T) {
	serve := func(lends bool) (served int) {
		f := newLimitedFleet(6, 8, rejectionLimit)
		f.learn()
		for end := f.now + 2*time.Second; f.now < end; {
			f.stepAt(f.instances[0])
			if lends {
				f.lend()
			}
		}
		for _, e := range f.endpoints {
			served += e.served
		}
		return served
	}
	if alone, lent := serve(false), serve(true); lent < 2*alone {
		t.Errorf("%d requests served with the shares of others, %d without; want at least twice as many", lent, alone)
	}
}

func TestALenderGetsItsSharesBack(t *testing.T) {
	f := newLimitedFleet(2, 8, rejectionLimit)
	f.learn()
	lender := f.instances[1]
	lent := lender.LendShares("s", "instance-0", f.now)
	if len(lent) == 0 {
		t.Fatal("an idle instance lends nothing")
	}
	count := func() (n int) {
		for lender.Place(placement.Query{Service: "s", Zone: "z"}, f.now) != nil {
			n++
		}
		return n
	}
	during := count()
	f.now += placement.LoanDuration + 2*time.Second
	if after := during + count(); during == 0 || after <= during {
		t.Errorf("the lender may send %d requests during the loan and %d after it, want some and more", during, after)
	}
}
