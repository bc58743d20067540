package replica

import (
	"fmt"
	"log/slog"
)

// raftLogger implements raft.Logger. It drops all but errors, as the library logs each of its steps.
type raftLogger struct{ log *slog.Logger }

func (l raftLogger) Debug(...any)            {}
func (l raftLogger) Debugf(string, ...any)   {}
func (l raftLogger) Info(...any)             {}
func (l raftLogger) Infof(string, ...any)    {}
func (l raftLogger) Warning(...any)          {}
func (l raftLogger) Warningf(string, ...any) {}
func (l raftLogger) Error(v ...any)          { l.log.Error("consensus: " + fmt.Sprint(v...)) }
func (l raftLogger) Errorf(f string, v ...any) {
	l.log.Error("consensus: " + fmt.Sprintf(f, v...))
}
func (l raftLogger) Fatal(v ...any)            { panic(fmt.Sprint(v...)) }
func (l raftLogger) Fatalf(f string, v ...any) { panic(fmt.Sprintf(f, v...)) }
func (l raftLogger) Panic(v ...any)            { panic(inconsistency(fmt.Sprint(v...))) }
func (l raftLogger) Panicf(f string, v ...any) { panic(inconsistency(fmt.Sprintf(f, v...))) }

// inconsistency is the panic value for a report of the library that a log contradicts itself or a message.
type inconsistency string

// protect runs f, which advances the group's state machine. If the library finds an inconsistency, because the disk has lost
// acknowledged writes, this member leaves the group to the others and the process continues.
func (g *Group) protect(f func()) {
	defer func() {
		switch r := recover().(type) {
		case nil:
		case inconsistency:
			g.node.log.Error("this scheduler takes no part any more in a group: what it knows of it makes no sense", "group", g.ID, "why", string(r))
			g.node.finishGroup(g, true)
		default:
			panic(r)
		}
	}()
	f()
}
