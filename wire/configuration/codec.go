package configuration

import "laddertide/wire/binarycodec"

// codec encodes and decodes messages by a single definition of each.
type codec struct{ binarycodec.Codec }

func (w *codec) text(v *string, limit int) {
	if w.Text(v); w.Reading && len(*v) > limit {
		w.Fail("has a text that is too long")
	}
}

func (w *codec) names(values ...*string) {
	for _, v := range values {
		w.text(v, MaxName)
	}
}

func (w *codec) digest(d *Digest) {
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

func (w *codec) document(b *[]byte) {
	if w.Data(b); w.Reading && len(*b) > MaxDocument {
		w.Fail("has a document that is too large")
	}
}

func (w *codec) uints(values ...*uint64) { binarycodec.Integers(&w.Codec, values...) }

func (w *codec) millis(values ...*int64) { binarycodec.Integers(&w.Codec, values...) }

func (w *codec) code(c *Code) {
	binarycodec.Integers(&w.Codec, c)
	if w.Reading && (*c < Accepted || *c > Foreign) {
		w.Fail("has an unknown code")
	}
}

func (w *codec) rows(rows *[]Follower) {
	left := MaxRows
	binarycodec.List(&w.Codec, rows, func(f *Follower) {
		if left--; w.Reading && left < 0 {
			w.Fail("has too many followers")
			return
		}
		f.fields(w)
	})
}

func (w *codec) voters(voters *[]Voter) {
	left := MaxMembers
	binarycodec.List(&w.Codec, voters, func(v *Voter) {
		if left--; w.Reading && left < 0 {
			w.Fail("has too many members")
			return
		}
		w.names(&v.Name)
		w.uints(&v.Disk)
	})
}

func (h *Hello) fields(w *codec) {
	binarycodec.Integers(&w.Codec, &h.Role)
	if w.Reading && (h.Role < RoleFollower || h.Role > RoleOperator) {
		w.Fail("has an unknown role")
	}
	w.names(&h.Cluster, &h.Name)
	w.uints(&h.Start, &h.Version)
	w.digest(&h.Digest)
}

func (m *Welcome) fields(w *codec) {
	w.names(&m.Name)
	w.uints(&m.Newest)
	w.millis(&m.Heartbeat)
}

func (m *Rejected) fields(w *codec) {
	w.code(&m.Code)
	w.text(&m.Text, MaxReason)
}

func (m *Push) fields(w *codec) {
	w.uints(&m.Version)
	w.digest(&m.Digest)
	w.millis(&m.AcceptedAt)
	w.document(&m.Document)
}

func (m *Report) fields(w *codec) {
	w.uints(&m.Version)
	w.digest(&m.Digest)
	w.uints(&m.Refused)
	w.text(&m.Reason, MaxReason)
}

func (m *Beat) fields(w *codec) {
	w.uints(&m.Newest)
	w.millis(&m.QuorumAge)
}

func (m *Propose) fields(w *codec) {
	w.names(&m.Request)
	w.uints(&m.Base)
	w.names(&m.Author)
	w.document(&m.Document)
}

func (m *Proposed) fields(w *codec) {
	w.names(&m.Request)
	w.uints(&m.Version)
	w.code(&m.Code)
	w.text(&m.Text, MaxReason)
}

func (*Fetch) fields(*codec) {}

func (*StatusRequest) fields(*codec) {}

func (m *Status) fields(w *codec) {
	w.names(&m.Member, &m.Leader)
	w.uints(&m.Term, &m.Newest)
	w.digest(&m.Digest)
	w.millis(&m.AcceptedAt, &m.QuorumAge)
	w.rows(&m.Rows)
}

func (f *Follower) fields(w *codec) {
	w.names(&f.Name)
	w.uints(&f.Start, &f.Version)
	w.digest(&f.Digest)
	w.uints(&f.Refused)
	w.text(&f.Reason, MaxReason)
	w.millis(&f.HeardAgo, &f.Behind)
	w.Flag(&f.InDoubt)
	w.names(&f.Member)
}

func (m *Raft) fields(w *codec) {
	w.uints(&m.To)
	w.Data(&m.Bytes)
}

func (m *Member) fields(w *codec) {
	w.uints(&m.Disk)
	w.Flag(&m.Unused)
	w.uints(&m.Term, &m.Vote, &m.Last)
	w.Flag(&m.IsQuery)
	w.Flag(&m.IsAnswer)
	m.Known.fields(w)
	w.voters(&m.Voters)
}

func (p *Promise) fields(w *codec) {
	w.uints(&p.Disk, &p.Term, &p.Vote, &p.Last)
	w.Flag(&p.Removed)
}

func (m *Followers) fields(w *codec) { w.rows(&m.Rows) }
