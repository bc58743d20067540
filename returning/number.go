package returning

import (
	"context"
	"math/rand/v2"
	"slices"
	"time"

	"laddertide/core/fleet"
	"laddertide/core/recovery"
	wire "laddertide/wire/snapshot"
)

// saveTimeout is the time limit for writing a state that somebody waits for: operators wait for 1 s.
const saveTimeout = 800 * time.Millisecond

// saveRetryInterval is the time between two tries to write what has to be on disk before anything proceeds.
const saveRetryInterval = time.Second

// Begin starts the writing of states, and assigns this process its number, which is on disk when Begin returns: it must not be
// announced earlier. While the disk does not accept it, the recovery sequence continues within its limits, and no other
// scheduler is contacted. compose returns the state, without the number. An error is ctx's.
func (r *Driver) Begin(ctx context.Context, compose func() wire.State) (uint64, error) {
	r.mu.Lock()
	n := r.nextNumber()
	r.number = n.Number
	r.mu.Unlock()
	r.store.Start(r.cfg.Settings.Every, func() wire.State {
		st := compose()
		r.mu.Lock()
		defer r.mu.Unlock()
		st.Start = uint64(r.number)
		return st
	})
	for err := r.Save(); err != nil; err = r.Save() {
		r.log.Error("this process's start number is not on disk yet: other schedulers are not contacted before that", "err", err)
		timer := time.NewTimer(saveRetryInterval)
		select {
		case <-timer.C:
		case <-ctx.Done():
			timer.Stop()
			return 0, context.Cause(ctx)
		}
	}
	r.log.Info("start number of this process", "start", n.Number, "from", fromTexts[n.From], "sure", n.Confirmed)
	r.mu.Lock()
	r.announced = true
	r.mu.Unlock()
	return uint64(n.Number), nil
}

var fromTexts = map[recovery.StartSource]string{recovery.StartKept: "kept", recovery.StartByClock: "the time of day",
	recovery.StartByDisk: "the disk", recovery.StartByPeers: "other schedulers"}

// nextNumber asks for a number. Called under mu.
func (r *Driver) nextNumber() recovery.NextStart {
	s := recovery.KnownStarts{Current: r.number, Announced: r.announced, Wall: time.Duration(r.cfg.Settings.Wall().UnixNano()), Peers: r.peerNumbers, Draw: rand.Uint64()}
	if st := r.found.State; st != nil {
		s.Disk, s.DiskMayBeOld = fleet.Start(st.Start), r.found.MayBeOlder
	}
	return s.Next()
}

// Renumber assigns this process a number above one that a peer has seen of its name. The number is on disk when it returns.
func (r *Driver) Renumber(seen uint64) (uint64, error) {
	r.mu.Lock()
	if len(r.peerNumbers) < maxPeerNumbers && !slices.Contains(r.peerNumbers, fleet.Start(seen)) {
		r.peerNumbers = append(r.peerNumbers, fleet.Start(seen))
	}
	n := r.nextNumber()
	r.number = n.Number
	r.mu.Unlock()
	if len(n.Ignored) > 0 {
		r.log.Warn("invalid start numbers of this name are ignored", "numbers", n.Ignored)
	}
	if n.From == recovery.StartKept {
		return uint64(n.Number), nil
	}
	if err := r.Save(); err != nil {
		return 0, err
	}
	return uint64(n.Number), nil
}

// maxPeerNumbers limits how many numbers seen by peers are kept: a later one is larger, and one is enough.
const maxPeerNumbers = 64

// Save returns once the current state is on disk.
func (r *Driver) Save() error { return r.store.Save(time.Now().Add(saveTimeout)) }

// Close writes the state once more and closes the folder.
func (r *Driver) Close() error {
	by := time.Now().Add(saveTimeout)
	r.mu.Lock()
	begun := r.announced
	r.mu.Unlock()
	if begun {
		if err := r.store.Save(by); err != nil {
			r.log.Warn("the final state could not be written to disk", "err", err)
		}
	}
	return r.store.Close(by)
}
