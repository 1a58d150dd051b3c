package main

import (
	"context"
	"encoding/base64"
	"encoding/binary"
	"encoding/json"
	"io"
	"net"
	"net/http"
	"slices"
	"sort"
	"strconv"
	"sync"
	"time"
)

// storeRecord is one record of a keyed topic; raw is its encoding behind the length.
type storeRecord struct {
	key   string
	value []byte
	raw   []byte
}

type storeTopic struct {
	first    uint64 // offset of records[0]
	records  []storeRecord
	newest   map[string]uint64 // offset of the newest record of each key
	kept     map[uint64]storeRecord
	appended chan struct{}
}

type storeMember struct {
	until time.Time
	parts []int
}

// store is the stand-in of the platform's store. Offsets begin at 0, records are appended
// one call after the other, and its answers are linearizable.
type store struct {
	partitions int
	server     *http.Server

	mu         sync.Mutex
	topics     map[string]*storeTopic
	members    map[string]*storeMember
	generation uint64
	// lose returns how much later an append of a key is done, which is then not answered;
	// zero: it is done and answered. onLate is called once it has been done. Both may be nil.
	lose   func(key string) time.Duration
	onLate func()
}

func startStore(address string, partitions int) (*store, error) {
	s := &store{partitions: partitions, topics: map[string]*storeTopic{}, members: map[string]*storeMember{}}
	listener, err := net.Listen("tcp", address)
	if err != nil {
		return nil, err
	}
	s.server = &http.Server{Handler: s}
	go func() { _ = s.server.Serve(listener) }()
	return s, nil
}

// topic returns a topic, which is created on first use. s.mu is held.
func (s *store) topic(name string) *storeTopic {
	t := s.topics[name]
	if t == nil {
		t = &storeTopic{newest: map[string]uint64{}, kept: map[uint64]storeRecord{}, appended: make(chan struct{})}
		s.topics[name] = t
	}
	return t
}

func (t *storeTopic) end() uint64 { return t.first + uint64(len(t.records)) }

func (t *storeTopic) add(raw []byte) {
	n := int(raw[0])
	r := storeRecord{key: string(raw[1 : 1+n]), value: raw[1+n:], raw: raw}
	if old, ok := t.newest[r.key]; ok {
		delete(t.kept, old)
	}
	t.newest[r.key], t.kept[t.end()] = t.end(), r
	t.records = append(t.records, r)
	close(t.appended)
	t.appended = make(chan struct{})
}

// put writes a record as the operator does.
func (s *store) put(topic, key string, value []byte) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.topic(topic).add(append(append([]byte{byte(len(key))}, key...), value...))
}

func (s *store) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	body, err := io.ReadAll(io.LimitReader(r.Body, 2<<20))
	if err != nil {
		return
	}
	if r.URL.Path == "/-/log-read" {
		s.read(w, r)
		return
	}
	if s.loses(r, body) {
		return
	}
	status, answer := s.execute(r, body)
	w.Header().Set("Content-Type", "application/json")
	w.WriteHeader(status)
	_, _ = w.Write(answer)
}

// loses leaves an append unanswered that is to be lost, and does it later.
func (s *store) loses(r *http.Request, body []byte) bool {
	s.mu.Lock()
	lose, onLate := s.lose, s.onLate
	s.mu.Unlock()
	if lose == nil || r.URL.Path != "/-/log-append" || len(body) < 5 {
		return false
	}
	late := lose(string(body[5 : 5+body[4]]))
	if late == 0 {
		return false
	}
	done := r.Clone(context.Background())
	time.AfterFunc(late, func() {
		s.execute(done, body)
		onLate()
	})
	<-r.Context().Done()
	return true
}

// execute runs a call other than a read of records.
func (s *store) execute(r *http.Request, body []byte) (status int, answer []byte) {
	s.mu.Lock()
	defer s.mu.Unlock()
	query := r.URL.Query()
	var result any = map[string]any{}
	switch r.URL.Path {
	case "/-/log-append":
		name := query.Get("topic")
		if name == "keyed.op" || name == "keyed.servers" {
			return http.StatusForbidden, nil
		}
		t := s.topic(name)
		offset := t.end()
		for len(body) > 4 {
			n := int(binary.BigEndian.Uint32(body))
			t.add(slices.Clone(body[4 : 4+n]))
			body = body[4+n:]
		}
		result = map[string]uint64{"offset": offset, "end": t.end()}
	case "/-/log-newest":
		result = s.newest(query.Get("topic"), query.Get("after"))
	case "/-/log-join":
		result = s.join(body)
	case "/-/log-leave":
		var q struct {
			Member string `json:"member"`
		}
		_ = json.Unmarshal(body, &q)
		if s.members[q.Member] != nil {
			delete(s.members, q.Member)
			s.deal()
		}
	default:
		return http.StatusNotFound, nil
	}
	answer, _ = json.Marshal(result)
	return http.StatusOK, answer
}

func (s *store) read(w http.ResponseWriter, r *http.Request) {
	query := r.URL.Query()
	from, _ := strconv.ParseUint(query.Get("from"), 10, 64)
	waitMS, _ := strconv.Atoi(query.Get("wait_ms"))
	timeout := time.After(time.Duration(waitMS) * time.Millisecond)
	for {
		s.mu.Lock()
		t := s.topic(query.Get("topic"))
		if from < t.first || from > t.end() {
			first := t.first
			s.mu.Unlock()
			w.WriteHeader(http.StatusGone)
			_, _ = io.WriteString(w, `{"first":`+strconv.FormatUint(first, 10)+`}`)
			return
		}
		out := binary.BigEndian.AppendUint64(nil, t.end())
		out = binary.BigEndian.AppendUint64(out, t.first)
		found := from < t.end()
		for _, record := range t.records[from-t.first:] {
			out = binary.BigEndian.AppendUint32(out, uint32(len(record.raw)))
			out = append(out, record.raw...)
		}
		appended := t.appended
		s.mu.Unlock()
		if found {
			_, _ = w.Write(out)
			return
		}
		select {
		case <-appended:
		case <-timeout:
			_, _ = w.Write(out)
			return
		case <-r.Context().Done():
			return
		}
	}
}

// newest returns a page of the newest records. s.mu is held.
func (s *store) newest(topic, after string) any {
	const page = 500
	t := s.topic(topic)
	var keys []string
	for key, at := range t.newest {
		if key > after && len(t.kept[at].value) > 0 {
			keys = append(keys, key)
		}
	}
	sort.Strings(keys)
	more := len(keys) > page
	keys = keys[:min(page, len(keys))]
	items := []map[string]any{}
	for _, key := range keys {
		at := t.newest[key]
		items = append(items, map[string]any{"key": key, "value": base64.StdEncoding.EncodeToString(t.kept[at].value), "offset": at})
	}
	return map[string]any{"items": items, "has_more": more, "end": t.end()}
}

// join joins a member or keeps it in the group. s.mu is held.
func (s *store) join(body []byte) any {
	var q struct {
		Member string   `json:"member"`
		Topics []string `json:"topics"`
		TTL    float64  `json:"ttl_s_time"`
	}
	_ = json.Unmarshal(body, &q)
	now := time.Now()
	changed := s.members[q.Member] == nil
	if changed {
		s.members[q.Member] = &storeMember{}
	}
	s.members[q.Member].until = now.Add(time.Duration(q.TTL * float64(time.Second)))
	for name, m := range s.members {
		if now.After(m.until) {
			delete(s.members, name)
			changed = true
		}
	}
	if changed {
		s.deal()
	}
	rows := [][]any{}
	for _, part := range s.members[q.Member].parts {
		rows = append(rows, []any{q.Topics[0], part, 0})
	}
	return map[string]any{"generation": s.generation, "ttl_s_time": q.TTL, "parts": rows}
}

// deal distributes the partitions evenly. s.mu is held.
func (s *store) deal() {
	s.generation++
	var names []string
	for name, m := range s.members {
		m.parts = nil
		names = append(names, name)
	}
	sort.Strings(names)
	for i := 0; i < s.partitions && len(names) > 0; i++ {
		m := s.members[names[i%len(names)]]
		m.parts = append(m.parts, i)
	}
}
