package policy

import (
	"testing"
	"time"
)

// permissionCase is a request with an earlier attempt that may have run and a new one at another worker, of which nothing has been sent.
type permissionCase struct {
	d      *Dispatcher
	now    time.Duration
	sentAt time.Duration // of the earlier attempt
	worker WorkerID      // of the new one
}

func newPermissionCase(t *testing.T, class Class) *permissionCase {
	t.Helper()
	class.Aim, class.Deadline, class.Stretch, class.Worth, class.Kind = 20*time.Second, 20*time.Second, 2, 1, -1
	d, err := New(Settings{
		Balancers: 1, MaxAttempts: 3, Cancel: true, WorthByWork: true, DialTimeout: 250 * time.Millisecond,
		ColdFrom: 0.3, WarmWithin: 9 * time.Second, FallMultiple: 3, FallWindow: time.Second, Classes: []Class{class},
	})
	if err != nil {
		t.Fatal(err)
	}
	p := &permissionCase{d: d, now: time.Hour, sentAt: time.Hour}
	d.List(p.now, ListFull, []Entry{{ID: 0, Weight: 4}, {ID: 1, Weight: 4}}, nil)
	acts := d.Request(p.now, Request{ID: 7, Left: 20 * time.Second, Hint: time.Millisecond}, nil)
	first := p.sent(t, acts)
	p.now += time.Second
	p.worker = p.sent(t, d.Outcome(p.now, Outcome{Request: 7, Worker: first, Status: Reset}, nil))
	return p
}

// sent returns the worker of the only attempt among actions.
func (p *permissionCase) sent(t *testing.T, acts []Action) WorkerID {
	t.Helper()
	for _, a := range acts {
		if a.Kind == Send {
			return a.Worker
		}
	}
	t.Fatalf("no attempt among %+v", acts)
	return 0
}

// TestSendPermission guards against attempts that are sent although the rules that allowed them no longer do: each case changes one of them
// between the decision and the first byte.
func TestSendPermission(t *testing.T) {
	keyed := Class{Name: "settle", Effect: Keyed, Window: 2 * time.Second}
	zone := Class{Name: "settle", Effect: Keyed, Group: GroupZone, Window: 10 * time.Second}
	cell := Class{Name: "settle", Effect: Keyed, Group: GroupCell, Window: 10 * time.Second}
	for name, c := range map[string]struct {
		class  Class
		change func(p *permissionCase)
		want   bool
	}{
		"nothing":              {keyed, func(*permissionCase) {}, true},
		"just within window":   {keyed, func(p *permissionCase) { p.now = p.sentAt + 2*time.Second - windowMargin }, true},
		"window over":          {keyed, func(p *permissionCase) { p.now = p.sentAt + 2*time.Second }, false},
		"window almost over":   {keyed, func(p *permissionCase) { p.now = p.sentAt + 2*time.Second - windowMargin + 1 }, false},
		"deadline passed":      {Class{Name: "check"}, func(p *permissionCase) { p.now = p.sentAt + 20*time.Second }, false},
		"worker in other zone": {zone, func(p *permissionCase) { p.list(Entry{ID: p.worker, Zone: 1, Weight: 4}) }, false},
		"worker in other cell": {cell, func(p *permissionCase) { p.list(Entry{ID: p.worker, Cell: 3, Weight: 4}) }, false},
		"worker drains":        {keyed, func(p *permissionCase) { p.list(Entry{ID: p.worker, State: Draining, Weight: 4}) }, false},
		"worker gone":          {keyed, func(p *permissionCase) { p.list(Entry{ID: p.worker, State: Gone}) }, false},
		"fewer attempts":       {keyed, func(p *permissionCase) { p.d.set.MaxAttempts = 1 }, false},
		"client left":          {keyed, func(p *permissionCase) { p.d.ClientGone(p.now, 7, nil) }, false},
		"attempt ended": {keyed, func(p *permissionCase) {
			p.d.Outcome(p.now, Outcome{Request: 7, Attempt: 1, Worker: p.worker, Status: OK, Closed: true}, nil)
		}, false},
	} {
		p := newPermissionCase(t, c.class)
		c.change(p)
		by, permitted := p.d.SendPermission(p.now, 7)
		if permitted != c.want {
			t.Errorf("%s: permitted %v, want %v", name, permitted, c.want)
		}
		if want := p.sentAt + c.class.Window; permitted && c.class.Effect == Keyed && by != want {
			t.Errorf("%s: by %v, want %v", name, by, want)
		}
	}
}

// list applies a change of the list.
func (p *permissionCase) list(e Entry) { p.d.List(p.now, ListDelta, []Entry{e}, nil) }
