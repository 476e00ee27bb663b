// Package standin holds the stand-ins of the review's cases: workers, discovery, the platform and clients of one live
// sentry, and the start of the sentry itself by the deploy file. All addresses are on loopback.
package standin

import (
	"bufio"
	"encoding/binary"
	"encoding/json"
	"fmt"
	"io"
	"net"
	"net/http"
	"os"
	"os/exec"
	"os/signal"
	"path/filepath"
	"regexp"
	"runtime"
	"strconv"
	"strings"
	"sync"
	"syscall"
	"time"
)

// Exit statuses of a case.
const (
	Held   = 0
	Broken = 1
	NotRun = 2
)

// Record writes the record of a case: one line for each thing that was sent, answered or run.
type Record struct {
	mu    sync.Mutex
	out   *bufio.Writer
	file  *os.File
	start time.Time
}

// NewRecord creates the record file.
func NewRecord(path string) (*Record, error) {
	f, err := os.Create(path)
	if err != nil {
		return nil, err
	}
	return &Record{out: bufio.NewWriter(f), file: f, start: time.Now()}, nil
}

// Line writes a line with the time in milliseconds since the start.
func (r *Record) Line(format string, args ...any) { r.LineAt(time.Now(), format, args...) }

// LineAt writes a line with the given time.
func (r *Record) LineAt(at time.Time, format string, args ...any) {
	r.mu.Lock()
	defer r.mu.Unlock()
	fmt.Fprintf(r.out, "%10.3f %s\n", float64(at.Sub(r.start).Microseconds())/1000, fmt.Sprintf(format, args...))
}

// Close writes what is buffered.
func (r *Record) Close() {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.out.Flush()
	r.file.Close()
}

// FreeAddress returns a free loopback address.
func FreeAddress() string {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		panic(err)
	}
	defer l.Close()
	return l.Addr().String()
}

// ---- The sentry ----

// Sentry is a sentry process.
type Sentry struct {
	Address string
	cmd     *exec.Cmd
	done    chan struct{}
	state   *os.ProcessState
	logPath string
}

// StartSentry starts a sentry with the start document as `run` of the deploy file says, from the root of the repository,
// which is the working directory. Its log goes to sentry.log in dir.
func StartSentry(dir string, document map[string]any) (*Sentry, error) {
	deploy, err := os.ReadFile("deploy/balancer.toml")
	if err != nil {
		return nil, err
	}
	run := regexp.MustCompile(`(?m)^run = "(.*)"`).FindSubmatch(deploy)
	if run == nil {
		return nil, fmt.Errorf("the deploy file has no run")
	}
	text, err := json.Marshal(document)
	if err != nil {
		return nil, err
	}
	config := filepath.Join(dir, "config.json")
	if err := os.WriteFile(config, text, 0o600); err != nil {
		return nil, err
	}
	logPath := filepath.Join(dir, "sentry.log")
	log, err := os.Create(logPath)
	if err != nil {
		return nil, err
	}
	defer log.Close()
	s := &Sentry{Address: document["listen"].(string), done: make(chan struct{}), logPath: logPath}
	s.cmd = exec.Command("/bin/sh", "-c", string(run[1]))
	s.cmd.Env = append(os.Environ(), "ROUTER_NAME="+document["name"].(string), "ROUTER_LISTEN="+s.Address,
		"ROUTER_DISCOVERY="+document["discovery"].(string), "ROUTER_CONFIG="+config, "TMPDIR="+dir)
	s.cmd.Stdout, s.cmd.Stderr = log, log
	if err := s.cmd.Start(); err != nil {
		return nil, err
	}
	ended := make(chan os.Signal, 1)
	signal.Notify(ended, syscall.SIGTERM, syscall.SIGINT, syscall.SIGHUP)
	go func() { // a case that is ended takes its sentry along
		<-ended
		s.Kill()
		os.RemoveAll(dir)
		os.Exit(NotRun)
	}()
	go func() {
		s.cmd.Wait()
		s.state = s.cmd.ProcessState
		close(s.done)
	}()
	for until := time.Now().Add(20 * time.Second); time.Now().Before(until) && !s.Ended(); time.Sleep(20 * time.Millisecond) {
		if c, err := Dial(s.Address); err == nil {
			answer, err := c.Do("", 3*time.Second)
			c.Close()
			if err == nil && answer.Empty {
				return s, nil
			}
		}
	}
	s.Kill()
	return nil, fmt.Errorf("the sentry does not serve: %s", s.Log())
}

// Ended reports whether the process has ended.
func (s *Sentry) Ended() bool {
	select {
	case <-s.done:
		return true
	default:
		return false
	}
}

// Done is closed when the process has ended.
func (s *Sentry) Done() <-chan struct{} { return s.done }

// Ending describes how the process ended.
func (s *Sentry) Ending() string {
	<-s.done
	return s.state.String()
}

// Kill ends the process.
func (s *Sentry) Kill() {
	s.cmd.Process.Kill()
	<-s.done
}

// Log returns what the process has logged.
func (s *Sentry) Log() string {
	text, _ := os.ReadFile(s.logPath)
	return string(text)
}

// ---- Messages ----

// message returns an encoded message.
func message(kind byte, body ...string) []byte {
	text := strings.Join(body, "")
	out := binary.BigEndian.AppendUint32([]byte{kind}, uint32(4+len(text)))
	return append(out, text...)
}

// readMessage reads a message.
func readMessage(in *bufio.Reader) (kind byte, body []byte, err error) {
	var head [5]byte
	if _, err = io.ReadFull(in, head[:]); err != nil {
		return 0, nil, err
	}
	n := binary.BigEndian.Uint32(head[1:])
	if n < 4 || n > 4<<20 {
		return 0, nil, fmt.Errorf("a message of %d bytes", n)
	}
	body = make([]byte, n-4)
	_, err = io.ReadFull(in, body)
	return head[0], body, err
}

// readStartup reads a start-up message.
func readStartup(in *bufio.Reader) error {
	var head [4]byte
	if _, err := io.ReadFull(in, head[:]); err != nil {
		return err
	}
	n := binary.BigEndian.Uint32(head[:])
	if n < 8 || n > 10000 {
		return fmt.Errorf("a start-up message of %d bytes", n)
	}
	_, err := io.CopyN(io.Discard, in, int64(n-4))
	return err
}

// ValueAnswer returns the whole answer of a worker: the value and, unless load is empty, a load report.
func ValueAnswer(value, load string) []byte {
	out := message('T', "\x00\x01content\x00", "\x00\x00\x00\x00\x00\x00\x00\x00\x00\x11\xff\xff\xff\xff\xff\xff\x00\x01")
	if load != "" {
		out = append(out, message('S', "gauges\x00", load, "\x00")...)
	}
	size := binary.BigEndian.AppendUint32(nil, uint32(len(value)))
	out = append(out, message('D', "\x00\x01", string(size), value)...)
	out = append(out, message('C', "SELECT 1\x00")...)
	return append(out, message('Z', "I")...)
}

// SpoiltAnswer returns an answer that cannot be read.
func SpoiltAnswer() []byte { return []byte("\x01\x7f\xfe noise noise noise noise") }

// ---- Workers ----

// Query is a statement that a worker has received.
type Query struct {
	ID, Class, Key, Name string
	Told                 time.Duration // how long the sentry says that it waits
	At                   time.Time     // when the last byte came
}

var nameForm = regexp.MustCompile(`(?:name = |VALUES \()'([^']*)'`)

// parseQuery parses a statement.
func parseQuery(text string, at time.Time) Query {
	q := Query{At: at}
	if m := nameForm.FindStringSubmatch(text); m != nil {
		q.Name = m[1]
	}
	i := strings.LastIndex(text, "/* ")
	if i < 0 {
		return q
	}
	for _, pair := range strings.Split(strings.TrimSuffix(text[i+3:], " */"), ",") {
		name, value, _ := strings.Cut(pair, "=")
		switch name {
		case "id":
			q.ID = value
		case "c":
			q.Class = value
		case "k":
			q.Key = value
		case "d":
			ms, _ := strconv.Atoi(value)
			q.Told = time.Duration(ms) * time.Millisecond
		}
	}
	return q
}

// Worker is a worker.
type Worker struct {
	ID, Address string
	Build       int
	// Late returns by how much a new connection comes up late.
	Late func() time.Duration
	// Answer returns the answer to a query, and whether the connection stays open after it. over is closed when the sentry
	// gives the attempt up.
	Answer func(w *Worker, q Query, over <-chan struct{}) (answer []byte, open bool)
	// Forget is the time after which an idle connection is forgotten: a query that comes later is not run, and the connection
	// is reset. Forgot is told of it. 0 is never.
	Forget time.Duration
	Forgot func(w *Worker, q Query)
	// Extra returns what comes behind an answer that belongs to no query, if nothing else is waiting on the connection by
	// then, and how much later it comes.
	Extra func(w *Worker, q Query) (after time.Duration, extra []byte)
	// ExtraSent is told that it is being sent, and how late. It is not sent if it would be later than MostLate.
	ExtraSent func(w *Worker, q Query, late time.Duration)
	MostLate  time.Duration
	// OneWay draws the delay of the network between the sentry and the worker, for one message one way.
	OneWay   func() time.Duration
	listener net.Listener
}

// Start starts the worker.
func (w *Worker) Start() error {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return err
	}
	w.listener, w.Address = l, l.Addr().String()
	go func() {
		for {
			c, err := l.Accept()
			if err != nil {
				return
			}
			go w.serve(c)
		}
	}()
	return nil
}

// Stop closes the worker's listener.
func (w *Worker) Stop() { w.listener.Close() }

func (w *Worker) serve(c net.Conn) {
	defer c.Close()
	in := bufio.NewReader(c)
	if readStartup(in) != nil {
		return
	}
	if w.Late != nil {
		time.Sleep(w.Late())
	}
	c.Write(append(message('R', "\x00\x00\x00\x00"), message('Z', "I")...))
	queries, over := make(chan Query, 1), make(chan struct{})
	go func() {
		defer close(over)
		for {
			kind, body, err := readMessage(in)
			if err != nil || kind != 'Q' {
				return
			}
			w.travel()
			queries <- parseQuery(strings.TrimSuffix(string(body), "\x00"), time.Now())
		}
	}()
	answeredAt := time.Now()
	for {
		select {
		case <-over:
			return
		case q := <-queries:
			if w.Forget > 0 && time.Since(answeredAt) > w.Forget {
				w.Forgot(w, q)
				c.(*net.TCPConn).SetLinger(0)
				return
			}
			answer, open := w.Answer(w, q, over)
			answeredAt = time.Now()
			w.send(c, answer)
			if !open {
				return
			}
			if w.Extra == nil {
				continue
			}
			after, extra := w.Extra(w, q)
			if extra == nil {
				continue
			}
			sleepUntil(answeredAt.Add(after))
			if late := time.Since(answeredAt); len(queries) == 0 && late <= w.MostLate {
				w.ExtraSent(w, q, late)
				w.send(c, extra)
			}
		}
	}
}

// send writes to a connection, after the delay of the network.
func (w *Worker) send(c net.Conn, b []byte) {
	w.travel()
	c.Write(b)
}

// travel waits for the delay of the network.
func (w *Worker) travel() {
	if w.OneWay != nil {
		sleepUntil(time.Now().Add(w.OneWay()))
	}
}

// sleepUntil sleeps until a moment, exactly: timers may be a millisecond late.
func sleepUntil(at time.Time) {
	time.Sleep(time.Until(at) - 1500*time.Microsecond)
	for time.Now().Before(at) {
		runtime.Gosched()
	}
}

// ---- Discovery and platform ----

// Entry is a line of the worker list.
type Entry struct {
	InstanceID  string  `json:"instanceId"`
	HostPort    string  `json:"hostPort"`
	Zone        string  `json:"zone"`
	MachineType string  `json:"machineType"`
	Cell        int     `json:"cell"`
	Lifecycle   string  `json:"lifecycle"`
	Weight      float64 `json:"weight"`
	StartedAtMs int64   `json:"startedAtMs"`
	Build       int     `json:"build"`
}

// EntryOf returns the line of a worker in service.
func EntryOf(w *Worker, zone, kind string) Entry {
	return Entry{InstanceID: w.ID, HostPort: w.Address, Zone: zone, MachineType: kind, Lifecycle: "in_service", Weight: 1, Build: w.Build}
}

// News is the state of the newest build.
type News struct {
	Image, Ring int
	Progress    string
	Ceiling     float64
	Since       time.Time
}

func (n News) lag() int64 { return time.Since(n.Since).Milliseconds() }

// Document returns the news in the form of the start document.
func (n News) Document() map[string]any {
	return map[string]any{"image": n.Image, "ring": n.Ring, "progress": n.Progress, "ceiling": n.Ceiling, "lag_ms": n.lag()}
}

// Platform is discovery and the platform, at one address each.
type Platform struct {
	Discovery, Address string
	mu                 sync.Mutex
	generation         int
	entries            []Entry
	news               News
	changed            chan struct{}
	record             *Record
	servers            []*http.Server
	Votes              int
}

// StartPlatform starts discovery and the platform.
func StartPlatform(record *Record, entries []Entry, news News) (*Platform, error) {
	p := &Platform{generation: 41, entries: entries, news: news, changed: make(chan struct{}), record: record}
	discovery := http.NewServeMux()
	discovery.HandleFunc("GET /catalog/members", p.members)
	platform := http.NewServeMux()
	platform.HandleFunc("GET /notices", p.notices)
	platform.HandleFunc("POST /", p.vote)
	for _, s := range []struct {
		address *string
		handler http.Handler
	}{{&p.Discovery, discovery}, {&p.Address, platform}} {
		l, err := net.Listen("tcp", "127.0.0.1:0")
		if err != nil {
			return nil, err
		}
		*s.address = l.Addr().String()
		server := &http.Server{Handler: s.handler}
		p.servers = append(p.servers, server)
		go server.Serve(l)
	}
	return p, nil
}

// Stop closes all listeners and connections.
func (p *Platform) Stop() {
	for _, s := range p.servers {
		s.Close()
	}
}

// list returns the whole list.
func (p *Platform) list() []byte {
	text, _ := json.Marshal(map[string]any{"generation": p.generation, "reset": true, "instances": p.entries})
	return text
}

// Known returns the list in the form of the start document.
func (p *Platform) Known() map[string]any {
	p.mu.Lock()
	defer p.mu.Unlock()
	return map[string]any{"generation": p.generation, "reset": true, "instances": p.entries}
}

func (p *Platform) members(w http.ResponseWriter, r *http.Request) {
	after, err := strconv.Atoi(r.URL.Query().Get("after"))
	wait, _ := strconv.Atoi(r.URL.Query().Get("wait_ms"))
	timer := time.NewTimer(time.Duration(wait) * time.Millisecond)
	defer timer.Stop()
	for {
		p.mu.Lock()
		text, changed, current := p.list(), p.changed, p.generation
		p.mu.Unlock()
		if err != nil || current > after {
			w.Write(text)
			return
		}
		select {
		case <-changed:
		case <-r.Context().Done():
			return
		case <-timer.C:
			fmt.Fprintf(w, `{"generation":%d,"reset":false,"instances":[]}`, current)
			return
		}
	}
}

func (p *Platform) notices(w http.ResponseWriter, r *http.Request) {
	w.Header().Set("Content-Type", "text/event-stream")
	tick := time.NewTicker(time.Second)
	defer tick.Stop()
	last := News{}
	for {
		p.mu.Lock()
		n, changed := p.news, p.changed
		p.mu.Unlock()
		if n != last {
			fmt.Fprintf(w, "event: stage\ndata: image=%d&ring=%d&progress=%s&ceiling=%g&lag_ms=%d\n\n", n.Image, n.Ring, n.Progress, n.Ceiling, n.lag())
			p.record.Line("news build=%d ring=%d progress=%s ceiling=%g", n.Image, n.Ring, n.Progress, n.Ceiling)
			last = n
		}
		w.(http.Flusher).Flush()
		select {
		case <-changed:
		case <-tick.C:
			io.WriteString(w, ":\n")
		case <-r.Context().Done():
			return
		}
	}
}

// vote counts a vote and answers with the state. Of three sentries one is played, and its votes alone change nothing within
// the time that a case plays.
func (p *Platform) vote(w http.ResponseWriter, r *http.Request) {
	body, _ := io.ReadAll(io.LimitReader(r.Body, 1<<16))
	p.mu.Lock()
	n := p.news
	p.Votes++
	p.mu.Unlock()
	p.record.Line("vote %s", body)
	fmt.Fprintf(w, `<?xml version="1.0"?><Response><entries><item><image>%d</image><ring>%d</ring><progress>%s</progress><ceiling>%g</ceiling><lag_ms>%d</lag_ms></item></entries></Response>`,
		n.Image, n.Ring, n.Progress, n.Ceiling, n.lag())
}

// ---- Clients ----

// Answer is a sentry's answer.
type Answer struct {
	Value  string
	Code   string // of an error
	Detail string
	Empty  bool // the answer to an empty query
}

func (a Answer) String() string {
	if a.Code != "" {
		return "error " + a.Code
	}
	return "value " + a.Value
}

// Client is a client's connection.
type Client struct {
	c  net.Conn
	in *bufio.Reader
}

// Dial opens a connection and writes the start-up message.
func Dial(address string) (*Client, error) {
	c, err := net.DialTimeout("tcp", address, time.Second)
	if err != nil {
		return nil, err
	}
	body := "\x00\x03\x00\x00user\x00backend\x00database\x00store\x00\x00"
	if _, err := c.Write(append(binary.BigEndian.AppendUint32(nil, uint32(4+len(body))), body...)); err != nil {
		c.Close()
		return nil, err
	}
	k := &Client{c: c, in: bufio.NewReader(c)}
	c.SetDeadline(time.Now().Add(5 * time.Second))
	for {
		kind, _, err := readMessage(k.in)
		if err != nil {
			c.Close()
			return nil, err
		}
		if kind == 'Z' {
			return k, nil
		}
	}
}

// Close closes the connection.
func (k *Client) Close() { k.c.Close() }

// Do sends a statement and reads its answer, for the given time at most.
func (k *Client) Do(statement string, patience time.Duration) (a Answer, err error) {
	k.c.SetDeadline(time.Now().Add(patience))
	if _, err := k.c.Write(message('Q', statement, "\x00")); err != nil {
		return a, err
	}
	for {
		kind, body, err := readMessage(k.in)
		if err != nil {
			return a, err
		}
		switch kind {
		case 'I':
			a.Empty = true
		case 'D':
			if len(body) >= 6 {
				a.Value = string(body[6:])
			}
		case 'E':
			for _, field := range strings.Split(string(body), "\x00") {
				if strings.HasPrefix(field, "C") {
					a.Code = field[1:]
				}
				if strings.HasPrefix(field, "D") {
					a.Detail = field[1:]
				}
			}
		case 'Z':
			return a, nil
		}
	}
}

// Many sends several statements at once and reads their answers. It returns how many were answered.
func (k *Client) Many(statements []string, patience time.Duration) (answered int) {
	var out []byte
	for _, s := range statements {
		out = append(out, message('Q', s, "\x00")...)
	}
	k.c.SetDeadline(time.Now().Add(patience))
	if _, err := k.c.Write(out); err != nil {
		return 0
	}
	for answered < len(statements) {
		kind, _, err := readMessage(k.in)
		if err != nil {
			return answered
		}
		if kind == 'Z' {
			answered++
		}
	}
	return answered
}

// Pool is the client side of a deployment: connections that are used again, and further ones when all are busy.
type Pool struct {
	Address string
	mu      sync.Mutex
	idle    []*Client
}

// Do sends a statement on a free connection.
func (p *Pool) Do(statement string, patience time.Duration) (Answer, error) {
	p.mu.Lock()
	var k *Client
	if n := len(p.idle); n > 0 {
		k, p.idle = p.idle[n-1], p.idle[:n-1]
	}
	p.mu.Unlock()
	if k == nil {
		var err error
		if k, err = Dial(p.Address); err != nil {
			return Answer{}, err
		}
	}
	a, err := k.Do(statement, patience)
	if err != nil {
		k.Close()
		return a, err
	}
	p.mu.Lock()
	p.idle = append(p.idle, k)
	p.mu.Unlock()
	return a, nil
}

// Select returns the statement of a request without an idempotency key.
func Select(name, id, class string, d time.Duration) string {
	return fmt.Sprintf("SELECT content FROM kv WHERE name = '%s' /* id=%s,c=%s,d=%d */", name, id, class, d.Milliseconds())
}

// Insert returns the statement of a request with an idempotency key.
func Insert(name, id, class string, d time.Duration, key string) string {
	return fmt.Sprintf("INSERT INTO kv (name, content) VALUES ('%s', '\\x9f03') RETURNING content /* id=%s,c=%s,d=%d,k=%s */",
		name, id, class, d.Milliseconds(), key)
}
