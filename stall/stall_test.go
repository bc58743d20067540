package stall

import (
	"context"
	"log/slog"
	"testing"
	"testing/synctest"
	"time"
)

const interval, refreshTimeout = 500 * time.Millisecond, time.Second

// TestWait checks who waits, and for how long. Nothing runs late within a synctest bubble, so a process in which Run has
// not been called, and nothing checks the time, is a stalled one.
func TestWait(t *testing.T) {
	for name, c := range map[string]struct {
		stalled, refresh, wait, want time.Duration
	}{
		"no stall":                    {2 * interval, 100 * time.Millisecond, time.Minute, 0},
		"stall":                       {2*interval + 1, 100 * time.Millisecond, time.Minute, 100 * time.Millisecond},
		"refresh times out":           {time.Minute, time.Hour, time.Minute, refreshTimeout},
		"deadline before the refresh": {time.Minute, 900 * time.Millisecond, 200 * time.Millisecond, 200 * time.Millisecond},
	} {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				refreshes := 0
				d := New(interval, refreshTimeout, func(ctx context.Context) {
					refreshes++
					select {
					case <-time.After(c.refresh):
					case <-ctx.Done():
					}
				}, slog.New(slog.DiscardHandler))
				time.Sleep(c.stalled)
				began := time.Now()
				for range 3 { // several wait for one refresh
					go d.Wait(began.Add(c.wait))
				}
				d.Wait(began.Add(c.wait))
				if took := time.Since(began); took != c.want {
					t.Errorf("waited for %s, not %s", took, c.want)
				}
				synctest.Wait()
				time.Sleep(2 * time.Second)
				if want := min(1, int(c.want)); refreshes != want || d.Stalls() != want {
					t.Errorf("%d refreshes, %d stalls", refreshes, d.Stalls())
				}
			})
		})
	}
}

// TestRun checks that a process in which Run checks the time is never taken for a stalled one.
func TestRun(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		d := New(interval, refreshTimeout, func(context.Context) { t.Error("refreshed without a stall") }, slog.New(slog.DiscardHandler))
		ctx, stop := context.WithCancel(t.Context())
		go d.Run(ctx)
		for range 100 {
			time.Sleep(777 * time.Millisecond)
			d.Wait(time.Now().Add(time.Hour))
		}
		stop()
	})
}

// TestStallDuringRefresh guards against waiters that go on when the refresh after a stall ends, though the process has stalled again
// meanwhile: what that refresh brought may be old.
func TestStallDuringRefresh(t *testing.T) {
	const first, second = 3 * interval, 100 * time.Millisecond // nothing checks the time, so the first one contains a stall
	synctest.Test(t, func(t *testing.T) {
		lengths := []time.Duration{first, second}
		refreshes := 0
		d := New(interval, time.Minute, func(context.Context) {
			refreshes++
			time.Sleep(lengths[refreshes-1])
		}, slog.New(slog.DiscardHandler))
		time.Sleep(3 * interval)
		began := time.Now()
		d.Wait(began.Add(time.Hour))
		if took := time.Since(began); took != first+second || refreshes != 2 {
			t.Errorf("waited for %v with %d refreshes, not for %v with 2", took, refreshes, first+second)
		}
	})
}
