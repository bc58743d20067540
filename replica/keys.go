package replica

import (
	"hash/maphash"

	pb "go.etcd.io/raft/v3/raftpb"

	wire "laddertide/wire/groups"
)

// MayHoldKey reports whether the log of a group here may hold a record of a key, committed or not. Groups for which except returns
// true are ignored.
func (n *Node) MayHoldKey(key string, except func(wire.ID) bool) bool {
	n.mu.Lock()
	defer n.mu.Unlock()
	hash := maphash.String(n.keySeed, key)
	for id, keys := range n.loggedKeys {
		if _, found := keys[hash]; found && !except(id) {
			return true
		}
	}
	return false
}

// addKeys adds the keys of the records in entries, which need not be committed, to those that Node.MayHoldKey finds.
func (g *Group) addKeys(entries []*pb.Entry) {
	keyOf := g.node.cfg.RecordKey
	if keyOf == nil {
		return
	}
	for _, e := range entries {
		if e.GetType() != pb.EntryNormal || len(e.GetData()) == 0 {
			continue
		}
		b, err := wire.ReadBatch(e.GetData())
		if err != nil {
			continue
		}
		for _, record := range b.Records {
			if key := keyOf(record); key != "" {
				g.node.addKey(g.ID, key)
			}
		}
	}
}

// addKey adds a key of a group.
func (n *Node) addKey(group wire.ID, key string) {
	n.mu.Lock()
	defer n.mu.Unlock()
	keys := n.loggedKeys[group]
	if keys == nil {
		keys = make(map[uint64]struct{})
		n.loggedKeys[group] = keys
	}
	keys[maphash.String(n.keySeed, key)] = struct{}{}
}
