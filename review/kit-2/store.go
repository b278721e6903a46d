package main

import (
	"encoding/json"
	"net"
	"net/http"
	"sort"
	"strconv"
	"sync"
	"time"
)

// row is a row of the store as it is encoded on the wire.
type row struct {
	Table   string `json:"table"`
	Part    string `json:"part"`
	Key     string `json:"key"`
	Value   []byte `json:"value,omitempty"`
	Version uint64 `json:"ver,omitempty"`
	Removed bool   `json:"removed,omitempty"`
}

// check is a condition of a transaction.
type check struct {
	Table   string `json:"table"`
	Part    string `json:"part"`
	Key     string `json:"key"`
	Version uint64 `json:"ver"`
}

// transaction is the body of a call that writes rows.
type transaction struct {
	Checks   []check `json:"expectedRev"`
	Puts     []row   `json:"put"`
	Removals []row   `json:"remove"`
}

// rowID identifies a row.
type rowID struct{ table, part, key string }

// store is a stand-in for the platform's metadata store.
type store struct {
	address string
	server  *http.Server
	gate    func(w http.ResponseWriter, r *http.Request) bool // returns false if it has handled the call

	mu      sync.Mutex
	rows    map[rowID]row
	history []row
	version uint64
	changed chan struct{}
	started time.Time
}

// newStore starts a store at a free loopback port.
func newStore(address string) *store {
	l, err := net.Listen("tcp", address)
	must(err)
	s := &store{address: l.Addr().String(), rows: map[rowID]row{}, version: 1, changed: make(chan struct{}), started: time.Now()}
	mux := http.NewServeMux()
	mux.HandleFunc(expand("POST {transact}"), s.transact)
	mux.HandleFunc(expand("GET {get}"), s.get)
	mux.HandleFunc(expand("GET {feed}"), s.feed)
	s.server = &http.Server{Handler: http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		s.mu.Lock()
		gate := s.gate
		s.mu.Unlock()
		if gate != nil && !gate(w, r) {
			return
		}
		mux.ServeHTTP(w, r)
	})}
	go s.server.Serve(l)
	return s
}

// setGate sets the function that may handle calls in place of the store.
func (s *store) setGate(gate func(w http.ResponseWriter, r *http.Request) bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.gate = gate
}

// put writes a row with an empty part.
func (s *store) put(table, key string, value any) {
	body, err := json.Marshal(value)
	must(err)
	s.mu.Lock()
	defer s.mu.Unlock()
	s.apply([]row{{Table: table, Key: key, Value: body}}, nil)
}

// remove removes a row with an empty part.
func (s *store) remove(table, key string) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.apply(nil, []row{{Table: table, Key: key}})
}

// apply applies writes. The caller holds the lock.
func (s *store) apply(puts, removals []row) {
	s.version++
	for _, r := range puts {
		r.Version, r.Removed = s.version, false
		s.rows[rowID{r.Table, r.Part, r.Key}] = r
		s.history = append(s.history, r)
	}
	for _, r := range removals {
		id := rowID{r.Table, r.Part, r.Key}
		if _, ok := s.rows[id]; ok {
			delete(s.rows, id)
			s.history = append(s.history, row{Table: r.Table, Part: r.Part, Key: r.Key, Version: s.version, Removed: true})
		}
	}
	close(s.changed)
	s.changed = make(chan struct{})
}

// answer is the body of an answer with rows.
type answer struct {
	Rows    []row  `json:"rows"`
	More    bool   `json:"hasMore"`
	Version uint64 `json:"ver"`
	Now     int64  `json:"nowMs"`
}

func (s *store) write(w http.ResponseWriter, status int, a answer) {
	if a.Rows == nil {
		a.Rows = []row{}
	}
	a.Now = time.Since(s.started).Milliseconds()
	w.Header().Set("Content-Type", "application/json")
	w.WriteHeader(status)
	_ = json.NewEncoder(w).Encode(a)
}

func (s *store) transact(w http.ResponseWriter, r *http.Request) {
	var t transaction
	if json.NewDecoder(r.Body).Decode(&t) != nil {
		w.WriteHeader(http.StatusBadRequest)
		return
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	status, a := http.StatusOK, answer{}
	for _, c := range t.Checks {
		known := s.rows[rowID{c.Table, c.Part, c.Key}]
		if known.Version != c.Version {
			status = http.StatusPreconditionFailed
		}
		if known.Version != 0 {
			a.Rows = append(a.Rows, known)
		}
	}
	if status == http.StatusOK {
		s.apply(t.Puts, t.Removals)
		a.Rows = nil
	}
	a.Version = s.version
	s.write(w, status, a)
}

func (s *store) get(w http.ResponseWriter, r *http.Request) {
	q := r.URL.Query()
	limit, err := strconv.Atoi(q.Get("limit"))
	if err != nil || limit > 500 {
		limit = 500
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	a := answer{Version: s.version}
	for id, known := range s.rows {
		if id.table == q.Get("table") && id.part == q.Get("part") && id.key >= q.Get("from") && (q.Get("to") == "" || id.key < q.Get("to")) {
			a.Rows = append(a.Rows, known)
		}
	}
	sort.Slice(a.Rows, func(i, j int) bool { return a.Rows[i].Key < a.Rows[j].Key })
	if len(a.Rows) > limit {
		a.Rows, a.More = a.Rows[:limit], true
	}
	s.write(w, http.StatusOK, a)
}

func (s *store) feed(w http.ResponseWriter, r *http.Request) {
	q := r.URL.Query()
	after, _ := strconv.ParseUint(q.Get("afterRev"), 10, 64)
	wait, _ := strconv.Atoi(q.Get("waitMs"))
	timer := time.NewTimer(time.Duration(wait) * time.Millisecond)
	defer timer.Stop()
	for over := false; ; {
		s.mu.Lock()
		latest := map[rowID]row{}
		for _, known := range s.history {
			if known.Table == q.Get("table") && known.Version > after {
				latest[rowID{known.Table, known.Part, known.Key}] = known
			}
		}
		a, changed := answer{Version: s.version}, s.changed
		s.mu.Unlock()
		for _, known := range latest {
			a.Rows = append(a.Rows, known)
		}
		sort.Slice(a.Rows, func(i, j int) bool { return a.Rows[i].Version < a.Rows[j].Version })
		if len(a.Rows) > 0 || over {
			s.write(w, http.StatusOK, a)
			return
		}
		select {
		case <-changed:
		case <-timer.C:
			over = true
		case <-r.Context().Done():
			return
		}
	}
}
