package clients

import (
	"bufio"
	"context"
	"errors"
	"fmt"
	"io"
	"math/rand/v2"
	"net"
	"net/http"
	"os"
	"slices"
	"strings"
	"sync"
	"sync/atomic"
	"time"

	"laddertide/core/history"
	"laddertide/core/traffic"
	"laddertide/rehearse/record"
)

// Limits of bad clients.
const (
	responseLimit = 3 * time.Second // within which a scheduler owes a bad client an error or a close, from the connect on
	heavyLimit    = 6 * time.Second // the same for a bad client that sends 60 MB
	heavyBody     = 60 << 20
	maxConnBytes  = 64 << 20 // that one connection sends
	maxBadConns   = 1000     // concurrent connections
	minCrowdConns = 100      // range of the connections of a kind that opens hundreds at once
	maxCrowdConns = 300
	maxRepeats    = 100 // repetitions of a request

	minStolenWork    = 300 * time.Millisecond // minimum running time of a request whose id is stolen
	maxStolenAge     = 100 * time.Millisecond // maximum time since it was sent
	stolenSearchTime = 3 * time.Second        // how long stolen-id searches for one
)

// BadClientConfig configures a run of bad clients.
type BadClientConfig struct {
	Schedulers   []Scheduler
	Record       *record.Recorder
	Rate         float64 // bad clients a second; one that opens hundreds of connections counts once
	Seed         uint64
	Start        time.Duration // time of the history at which they start
	Length       time.Duration
	Host         string // empty: api.internal
	Class        string // an existing class and tenant, so that a request has no other fault than the intended one
	Tenant       string
	Kinds        []string      // names from BadClientKinds and CrowdKinds; empty: all of BadClientKinds
	OpenRequests *OpenRequests // the requests whose ids are stolen; nil: none
	Slack        time.Duration // added to every limit; 0: 50 ms
}

// OpenRequests tracks the open requests of each scheduler, for bad clients that steal their ids.
type OpenRequests struct {
	mu          sync.Mutex
	byScheduler map[string]map[string]openRequest // keyed by scheduler, then id
}

type openRequest struct{ work, sent time.Duration }

// NewOpenRequests returns an empty OpenRequests.
func NewOpenRequests() *OpenRequests {
	return &OpenRequests{byScheduler: make(map[string]map[string]openRequest)}
}

func (o *OpenRequests) add(scheduler, id string, v openRequest) {
	o.mu.Lock()
	defer o.mu.Unlock()
	if o.byScheduler[scheduler] == nil {
		o.byScheduler[scheduler] = make(map[string]openRequest)
	}
	o.byScheduler[scheduler][id] = v
}

func (o *OpenRequests) remove(scheduler, id string) {
	o.mu.Lock()
	defer o.mu.Unlock()
	delete(o.byScheduler[scheduler], id)
}

func (o *OpenRequests) has(scheduler, id string) bool {
	o.mu.Lock()
	defer o.mu.Unlock()
	_, ok := o.byScheduler[scheduler][id]
	return ok
}

// newestLong returns the most recently sent request of a scheduler, among long-running ones sent just now, so that it is still open
// when the request with the stolen id arrives.
func (o *OpenRequests) newestLong(scheduler string, now time.Duration) (id string, ok bool) {
	o.mu.Lock()
	defer o.mu.Unlock()
	last := now - maxStolenAge
	for other, v := range o.byScheduler[scheduler] {
		if v.work >= minStolenWork && v.sent > last {
			id, last, ok = other, v.sent, true
		}
	}
	return id, ok
}

// badClient is a kind of bad client.
type badClient struct {
	name string
	play func(*badClientRun, Scheduler, *rand.Rand)
}

// badClientKinds lists the bad clients. Each request is invalid in itself, so a scheduler that forwards one to a worker is at fault.
var badClientKinds = []badClient{
	{"endless-head", (*badClientRun).endlessHead},
	{"stopped-head", (*badClientRun).stoppedHead},
	{"garbage", (*badClientRun).garbage},
	{"length", (*badClientRun).length},
	{"heavy", (*badClientRun).heavy},
	{"class", (*badClientRun).class},
	{"deadline", (*badClientRun).deadline},
	{"no-id", (*badClientRun).noID},
	{"stolen-id", (*badClientRun).stolenID},
	{"half", (*badClientRun).half},
	{"crowd", (*badClientRun).crowd},
	{"pipeline", (*badClientRun).pipeline},
	{"again", (*badClientRun).again},
	{"silent", (*badClientRun).silent},
	{"hidden", (*badClientRun).hidden},
}

// crowdKinds lists bad clients that open hundreds of connections at once, and that run only if they are named.
var crowdKinds = []badClient{
	{"crowd-byte", (*badClientRun).crowdByte},
	{"crowd-head", (*badClientRun).crowdHead},
	{"crowd-body", (*badClientRun).crowdBody},
}

// BadClientKinds returns the names of the bad clients, as used in the Note of their events. The Note of a request whose stolen id was
// no longer in use when it was answered ends in -late: a scheduler may have forwarded it.
func BadClientKinds() []string { return namesOf(badClientKinds) }

// CrowdKinds returns the names of the bad clients that run only if BadClientConfig.Kinds names them.
func CrowdKinds() []string { return namesOf(crowdKinds) }

func namesOf(of []badClient) []string {
	var out []string
	for _, k := range of {
		out = append(out, k.name)
	}
	return out
}

// CheckKinds returns an error if a kind of bad client is unknown.
func CheckKinds(names []string) error {
	known := append(BadClientKinds(), CrowdKinds()...)
	for _, name := range names {
		if !slices.Contains(known, name) {
			return fmt.Errorf("clients: no bad client is called %q; there are %s", name, strings.Join(known, ", "))
		}
	}
	return nil
}

// selected returns the bad clients that the BadClientConfig selects.
func (cfg *BadClientConfig) selected() []badClient {
	if len(cfg.Kinds) == 0 {
		return badClientKinds
	}
	named := func(k badClient) bool { return slices.Contains(cfg.Kinds, k.name) }
	return slices.DeleteFunc(slices.Concat(badClientKinds, crowdKinds), func(k badClient) bool { return !named(k) })
}

// badClientRun is the state of one run of bad clients.
type badClientRun struct {
	BadClientConfig
	ctx     context.Context
	open    atomic.Int64
	conns   atomic.Int64
	running sync.WaitGroup
}

// RunBadClients starts bad clients until Length is over, and returns when the last of them has ended, or ctx ends. Each of their
// connections is recorded as a stranger. An error means that the BadClientConfig is invalid.
func RunBadClients(ctx context.Context, cfg BadClientConfig) error {
	if cfg.Record == nil || len(cfg.Schedulers) == 0 || cfg.Rate < 0 {
		return errors.New("clients: no recorder, no schedulers or no rate for bad clients")
	}
	for _, s := range cfg.Schedulers {
		if err := loopback(s.Address); err != nil {
			return err
		}
	}
	if err := CheckKinds(cfg.Kinds); err != nil {
		return err
	}
	if cfg.Host == "" {
		cfg.Host = "api.internal"
	}
	if cfg.Slack <= 0 {
		cfg.Slack = 50 * time.Millisecond
	}
	r := &badClientRun{BadClientConfig: cfg, ctx: ctx}
	chance := traffic.RandomStream(cfg.Seed, "strangers")
	chosen := cfg.selected()
	var deck []badClient
	for at := time.Duration(0); cfg.Rate > 0; {
		at += time.Duration(chance.ExpFloat64() / cfg.Rate * float64(time.Second))
		if at >= cfg.Length || !r.sleep(cfg.Start+at-cfg.Record.Since()) {
			break
		}
		// Kinds are drawn in shuffled rounds, so that even a short run covers all of them.
		if len(deck) == 0 {
			deck = slices.Clone(chosen)
			chance.Shuffle(len(deck), func(i, j int) { deck[i], deck[j] = deck[j], deck[i] })
		}
		kind := deck[0]
		deck = deck[1:]
		to := cfg.Schedulers[chance.IntN(len(cfg.Schedulers))]
		own := rand.New(rand.NewPCG(chance.Uint64(), 0))
		r.running.Go(func() { kind.play(r, to, own) })
	}
	r.running.Wait()
	return nil
}

func (r *badClientRun) sleep(d time.Duration) bool {
	t := time.NewTimer(d)
	defer t.Stop()
	select {
	case <-t.C:
		return true
	case <-r.ctx.Done():
		return false
	}
}

// exchange opens a connection, sends and reads on it concurrently, and records what happens first: an answer, a close, or a
// timeout. If then is not nil, it is called after an answer and may read and write the connection further.
func (r *badClientRun) exchange(s Scheduler, note, request string, limit time.Duration, send func(*net.TCPConn) error,
	then func(*net.TCPConn, *bufio.Reader)) (status int) {
	if r.open.Add(1) > maxBadConns {
		r.open.Add(-1)
		return 0
	}
	defer r.open.Add(-1)
	dialer := net.Dialer{Timeout: dialTimeout, KeepAlive: -1}
	dialed, err := dialer.DialContext(r.ctx, "tcp4", s.Address)
	if err != nil {
		return 0 // without a connection the scheduler owes nothing
	}
	nc := dialed.(*net.TCPConn)
	from := r.Record.Since()
	nc.SetDeadline(r.Record.At(from + limit + r.Slack))
	stop := context.AfterFunc(r.ctx, func() { nc.Close() })
	defer stop()
	sent := make(chan struct{})
	go func() {
		defer close(sent)
		if send != nil {
			send(nc)
		}
	}()
	br := bufio.NewReader(io.LimitReader(nc, maxConnBytes))
	status, err = readStatus(br)
	if r.ctx.Err() == nil {
		ev := history.Event{T: r.Record.Now(), Kind: history.KindBadClient, Scheduler: s.Name, Conn: -r.conns.Add(1),
			Note: note, Request: request, Status: status, From: max(1, from.Microseconds())}
		if request != "" && !r.OpenRequests.has(s.Name, request) {
			ev.Note += "-late" // the owner's request was over by then, so the scheduler was right to treat this as a new request
		}
		if errors.Is(err, os.ErrDeadlineExceeded) {
			ev.Bytes = 1
		}
		r.Record.Add(ev)
		if err == nil && then != nil {
			then(nc, br)
		}
	}
	nc.Close()
	<-sent
	return status
}

// readStatus reads a complete answer. If the bytes are not an answer, it reads on until the close that must then follow.
func readStatus(br *bufio.Reader) (int, error) {
	resp, err := http.ReadResponse(br, &http.Request{Method: http.MethodPost})
	for range 5 {
		if err != nil || resp.StatusCode >= 200 {
			break
		}
		resp, err = http.ReadResponse(br, &http.Request{Method: http.MethodPost})
	}
	if err == nil {
		if _, err = io.Copy(io.Discard, io.LimitReader(resp.Body, maxResult)); err == nil {
			return resp.StatusCode, nil
		}
	}
	if _, copying := io.Copy(io.Discard, br); copying != nil {
		err = copying
	}
	return 0, err
}

// field is a header field of a request; one without a value is omitted.
type field struct{ name, value string }

// head returns a complete request head like that of a regular client, with the given fields changed or added.
func (r *badClientRun) head(chance *rand.Rand, fields ...field) string {
	all := []field{{"Host", r.Host}, {"X-Request-Id", fmt.Sprintf("%016x", chance.Uint64())}, {"X-Class", r.Class},
		{"X-Tenant", r.Tenant}, {"X-Deadline-Ms", "5000"}, {"X-Extras", "slots=1,memory=0.40"}, {"Content-Length", "5"}}
	for _, f := range fields {
		if i := slices.IndexFunc(all, func(g field) bool { return g.name == f.name }); i >= 0 {
			all[i] = f
		} else {
			all = append(all, f)
		}
	}
	b := fmt.Sprintf("POST /api/%016x HTTP/1.1\r\n", chance.Uint64())
	for _, f := range all {
		if f.value != "" {
			b += f.name + ": " + f.value + "\r\n"
		}
	}
	return b + "\r\n"
}

// sendText returns a function that sends a string.
func sendText(s string) func(*net.TCPConn) error {
	return func(nc *net.TCPConn) error {
		_, err := io.WriteString(nc, s)
		return err
	}
}

// flood returns a function that sends s and then pieces, up to most bytes of them.
func flood(s string, most int, piece func(i int) string) func(*net.TCPConn) error {
	return func(nc *net.TCPConn) error {
		_, err := io.WriteString(nc, s)
		for i, n := 0, 0; err == nil && n < most; i++ {
			p := piece(i)
			p = p[:min(len(p), most-n)]
			n += len(p)
			_, err = io.WriteString(nc, p)
		}
		return err
	}
}

func (r *badClientRun) endlessHead(s Scheduler, chance *rand.Rand) {
	start := strings.TrimSuffix(r.head(chance), "\r\n")
	line := func(i int) string { return fmt.Sprintf("X-More-%d: %s\r\n", i, strings.Repeat("a", 4000)) }
	if chance.IntN(2) == 0 {
		start, line = start+"X-More: ", func(int) string { return strings.Repeat("a", 4096) }
	}
	r.exchange(s, "endless-head", "", responseLimit, flood(start, maxConnBytes, line), nil)
}

func (r *badClientRun) stoppedHead(s Scheduler, chance *rand.Rand) {
	head := r.head(chance)
	r.exchange(s, "stopped-head", "", responseLimit, sendText(head[:1+chance.IntN(len(head)-3)]), nil)
}

func (r *badClientRun) garbage(s Scheduler, chance *rand.Rand) {
	b := make([]byte, 16+chance.IntN(4096))
	for i := range b {
		b[i] = byte(chance.Uint32())
	}
	if chance.IntN(3) == 0 {
		copy(b, "\x16\x03\x01\x02\x00\x01\x00\x01\xfc\x03\x03") // the start of a TLS ClientHello
	}
	r.exchange(s, "garbage", "", responseLimit, sendText(string(b)+"\r\n\r\n"), nil)
}

func (r *badClientRun) length(s Scheduler, chance *rand.Rand) {
	value := []string{"-1", "-5", "five", "5x", "0x5", "5,6", "5 5", "99999999999999999999", "18446744073709551616",
		"9223372036854775807", "1099511627776"}
	head := r.head(chance, field{"Content-Length", value[chance.IntN(len(value))]})
	if chance.IntN(6) == 0 {
		head = strings.Replace(r.head(chance), "\r\n\r\n", "\r\nContent-Length: 6\r\n\r\n", 1)
	}
	r.exchange(s, "length", "", responseLimit, sendText(head+"hello"), nil)
}

func (r *badClientRun) heavy(s Scheduler, chance *rand.Rand) {
	piece := strings.Repeat("x", 64<<10)
	head := r.head(chance, field{"Content-Length", fmt.Sprint(heavyBody)})
	if chance.IntN(2) == 0 {
		head = r.head(chance, field{"Content-Length", ""}, field{"Transfer-Encoding", "chunked"})
		piece = fmt.Sprintf("%x\r\n%s\r\n", len(piece), piece)
	}
	r.exchange(s, "heavy", "", heavyLimit, flood(head, heavyBody, func(int) string { return piece }), nil)
}

// invalidRequest returns a request of a class that does not exist.
func (r *badClientRun) invalidRequest(chance *rand.Rand) string {
	return r.head(chance, field{"X-Class", fmt.Sprintf("none-%x", chance.Uint32())}) + "hello"
}

func (r *badClientRun) class(s Scheduler, chance *rand.Rand) {
	r.exchange(s, "class", "", responseLimit, sendText(r.invalidRequest(chance)), nil)
}

func (r *badClientRun) deadline(s Scheduler, chance *rand.Rand) {
	value := []string{"soon", "12ms", "NaN", "--5", "5000.5.5", "five thousand", "0x"}
	head := r.head(chance, field{"X-Deadline-Ms", value[chance.IntN(len(value))]})
	r.exchange(s, "deadline", "", responseLimit, sendText(head+"hello"), nil)
}

func (r *badClientRun) noID(s Scheduler, chance *rand.Rand) {
	r.exchange(s, "no-id", "", responseLimit, sendText(r.head(chance, field{"X-Request-Id", ""})+"hello"), nil)
}

// stolenID sends a request with the id of a request that is open at the same scheduler. The rest differs from the owner's
// request, so that nothing runs if the owner's ends at this moment and a worker receives this one.
func (r *badClientRun) stolenID(s Scheduler, chance *rand.Rand) {
	if r.OpenRequests == nil {
		return
	}
	for end := r.Record.Since() + stolenSearchTime; r.Record.Since() < end; {
		if id, ok := r.OpenRequests.newestLong(s.Name, r.Record.Since()); ok {
			r.exchange(s, "stolen-id", id, responseLimit, sendText(r.head(chance, field{"X-Request-Id", id})+"hello"), nil)
			return
		}
		if !r.sleep(5 * time.Millisecond) {
			return
		}
	}
}

func (r *badClientRun) half(s Scheduler, chance *rand.Rand) {
	whole := r.head(chance) + "hello"
	part := whole[:1+chance.IntN(len(whole)-2)]
	r.exchange(s, "half", "", responseLimit, func(nc *net.TCPConn) error {
		if _, err := io.WriteString(nc, part); err != nil {
			return err
		}
		return nc.CloseWrite()
	}, nil)
}

// onManyConns calls do for hundreds of connections concurrently.
func (r *badClientRun) onManyConns(chance *rand.Rand, do func(*rand.Rand)) {
	var all sync.WaitGroup
	for range minCrowdConns + chance.IntN(maxCrowdConns-minCrowdConns+1) {
		own := rand.New(rand.NewPCG(chance.Uint64(), 0))
		all.Go(func() { do(own) })
	}
	all.Wait()
}

func (r *badClientRun) crowd(s Scheduler, chance *rand.Rand) {
	r.onManyConns(chance, func(own *rand.Rand) {
		r.exchange(s, "crowd", "", responseLimit, sendText(r.invalidRequest(own)), nil)
	})
}

func (r *badClientRun) silent(s Scheduler, chance *rand.Rand) {
	r.onManyConns(chance, func(*rand.Rand) { r.exchange(s, "silent", "", responseLimit, nil, nil) })
}

// crowdByte sends the first byte of a request on each connection.
func (r *badClientRun) crowdByte(s Scheduler, chance *rand.Rand) {
	r.onManyConns(chance, func(*rand.Rand) { r.exchange(s, "crowd-byte", "", responseLimit, sendText("P"), nil) })
}

// crowdHead sends half a head on each connection.
func (r *badClientRun) crowdHead(s Scheduler, chance *rand.Rand) {
	r.onManyConns(chance, func(own *rand.Rand) {
		head := r.head(own)
		r.exchange(s, "crowd-head", "", responseLimit, sendText(head[:len(head)/2]), nil)
	})
}

// crowdBody sends a head without its body on each connection.
func (r *badClientRun) crowdBody(s Scheduler, chance *rand.Rand) {
	r.onManyConns(chance, func(own *rand.Rand) { r.exchange(s, "crowd-body", "", responseLimit, sendText(r.head(own)), nil) })
}

func (r *badClientRun) pipeline(s Scheduler, chance *rand.Rand) {
	var b strings.Builder
	for range minCrowdConns {
		b.WriteString(r.invalidRequest(chance))
	}
	r.exchange(s, "pipeline", "", responseLimit, sendText(b.String()), nil)
}

// again sends the same request again as soon as it is rejected, on the same connection as long as that stays open.
func (r *badClientRun) again(s Scheduler, chance *rand.Rand) {
	request := r.invalidRequest(chance)
	for times := 0; times < maxRepeats && r.ctx.Err() == nil; times++ {
		status := r.exchange(s, "again", "", responseLimit, sendText(request), func(nc *net.TCPConn, br *bufio.Reader) {
			for ; times < maxRepeats; times++ {
				if sendText(request)(nc) != nil {
					return
				}
				if _, err := readStatus(br); err != nil {
					return
				}
			}
		})
		if status == 0 {
			return
		}
	}
}

// hidden sends a request within the body of another that states two lengths (request smuggling): a server that goes by the wrong
// one sees the inner request.
func (r *badClientRun) hidden(s Scheduler, chance *rand.Rand) {
	inside := r.head(chance) + "hello"
	body := "0\r\n\r\n" + inside
	coding := "chunked"
	if chance.IntN(2) == 0 {
		// The other variant: the inner request is the body for a server that goes by the chunks.
		body = fmt.Sprintf("%x\r\n%s\r\n0\r\n\r\n", len(inside), inside)
	}
	if chance.IntN(4) == 0 {
		coding = "Chunked"
	}
	length := len(body)
	if chance.IntN(2) == 0 {
		length = strings.Index(body, "POST")
	}
	head := r.head(chance, field{"Content-Length", fmt.Sprint(length)}, field{"Transfer-Encoding", coding})
	r.exchange(s, "hidden", "", responseLimit, sendText(head+body), nil)
}
