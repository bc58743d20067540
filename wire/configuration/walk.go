package configuration

import "laddertide/wire/walk"

// walker walks over messages: one definition writes and reads each of them.
type walker struct{ walk.Walker }

func (w *walker) text(v *string, most int) {
	if w.Text(v); w.Reading && len(*v) > most {
		w.Fail("has a text that is too long")
	}
}

func (w *walker) names(values ...*string) {
	for _, v := range values {
		w.text(v, MaxName)
	}
}

func (w *walker) digest(d *Digest) {
	b := d[:]
	w.Data(&b)
	if !w.Reading || w.Err != nil {
		return
	}
	if len(b) != len(d) {
		w.Fail("has a digest of another length")
		return
	}
	copy(d[:], b)
}

func (w *walker) document(b *[]byte) {
	if w.Data(b); w.Reading && len(*b) > MaxDocument {
		w.Fail("has a document that is too large")
	}
}

func (w *walker) whole(values ...*uint64) { walk.Whole(&w.Walker, values...) }

func (w *walker) millis(values ...*int64) { walk.Whole(&w.Walker, values...) }

func (w *walker) code(c *Code) {
	walk.Whole(&w.Walker, c)
	if w.Reading && (*c < Accepted || *c > Foreign) {
		w.Fail("has an unknown code")
	}
}

func (w *walker) rows(rows *[]Follower) {
	left := MaxRows
	walk.List(&w.Walker, rows, func(f *Follower) {
		if left--; w.Reading && left < 0 {
			w.Fail("has too many followers")
			return
		}
		f.walk(w)
	})
}

func (w *walker) voters(voters *[]Voter) {
	left := MaxMembers
	walk.List(&w.Walker, voters, func(v *Voter) {
		if left--; w.Reading && left < 0 {
			w.Fail("has too many members")
			return
		}
		w.names(&v.Name)
		w.whole(&v.Disk)
	})
}

func (h *Hello) walk(w *walker) {
	walk.Whole(&w.Walker, &h.Role)
	if w.Reading && (h.Role < RoleFollower || h.Role > RoleOperator) {
		w.Fail("has an unknown role")
	}
	w.names(&h.Cluster, &h.Name)
	w.whole(&h.Start, &h.Version)
	w.digest(&h.Digest)
}

func (m *Welcome) walk(w *walker) {
	w.names(&m.Name)
	w.whole(&m.Newest)
	w.millis(&m.Heartbeat)
}

func (m *Rejected) walk(w *walker) {
	w.code(&m.Code)
	w.text(&m.Text, MaxReason)
}

func (m *Push) walk(w *walker) {
	w.whole(&m.Version)
	w.digest(&m.Digest)
	w.millis(&m.AcceptedAt)
	w.document(&m.Document)
}

func (m *Report) walk(w *walker) {
	w.whole(&m.Version)
	w.digest(&m.Digest)
	w.whole(&m.Refused)
	w.text(&m.Reason, MaxReason)
}

func (m *Beat) walk(w *walker) {
	w.whole(&m.Newest)
	w.millis(&m.QuorumAge)
}

func (m *Propose) walk(w *walker) {
	w.names(&m.Request)
	w.whole(&m.Base)
	w.names(&m.Author)
	w.document(&m.Document)
}

func (m *Proposed) walk(w *walker) {
	w.names(&m.Request)
	w.whole(&m.Version)
	w.code(&m.Code)
	w.text(&m.Text, MaxReason)
}

func (*Fetch) walk(*walker) {}

func (*StatusRequest) walk(*walker) {}

func (m *Status) walk(w *walker) {
	w.names(&m.Member, &m.Leader)
	w.whole(&m.Term, &m.Newest)
	w.digest(&m.Digest)
	w.millis(&m.AcceptedAt, &m.QuorumAge)
	w.rows(&m.Rows)
}

func (f *Follower) walk(w *walker) {
	w.names(&f.Name)
	w.whole(&f.Start, &f.Version)
	w.digest(&f.Digest)
	w.whole(&f.Refused)
	w.text(&f.Reason, MaxReason)
	w.millis(&f.HeardAgo, &f.Behind)
	w.Flag(&f.InDoubt)
	w.names(&f.Member)
}

func (m *Raft) walk(w *walker) {
	w.whole(&m.To)
	w.Data(&m.Bytes)
}

func (m *Member) walk(w *walker) {
	w.whole(&m.Disk)
	w.Flag(&m.Fresh)
	w.whole(&m.Term, &m.Vote, &m.Last)
	w.Flag(&m.Asks)
	w.Flag(&m.Tells)
	m.Known.walk(w)
	w.voters(&m.Voters)
}

func (p *Promise) walk(w *walker) {
	w.whole(&p.Disk, &p.Term, &p.Vote, &p.Last)
	w.Flag(&p.Removed)
}

func (m *Followers) walk(w *walker) { w.rows(&m.Rows) }
