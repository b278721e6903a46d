package platform

import (
	"cmp"
	"encoding/base64"
	"encoding/json"
	"slices"
	"strconv"
	"strings"
	"time"

	"github.com/valyala/fasthttp"

	"github.com/cassiachute/cassiachute/platform"
	"github.com/cassiachute/cassiachute/standin/reply"
)

const (
	// maxFeedWait bounds how long a read of the feed waits for a change.
	maxFeedWait  = 30 * time.Second
	maxChanges   = 4096    // most changes that are kept for the feed
	maxPageBytes = 1 << 20 // most bytes of encoded values in a page, unless it holds a single row
)

// rowID identifies a row.
type rowID struct{ table, part, key string }

func idOf(row platform.RowItem) rowID { return rowID{row.Table, row.Part, row.Key} }

// serveTransact serves a request for a transaction.
func (p *Platform) serveTransact(ctx *fasthttp.RequestCtx) {
	var request platform.TransactRequest
	if err := json.Unmarshal(ctx.PostBody(), &request); err != nil {
		ctx.Error(err.Error(), fasthttp.StatusBadRequest)
		return
	}
	rows, version, committed := p.Transact(request)
	status := fasthttp.StatusOK
	if !committed {
		status = fasthttp.StatusPreconditionFailed
	}
	reply.JSON(ctx, status, platform.RowsAnswer{Rows: rows, Version: version, Now: time.Now().UnixMilli()})
}

// Transact carries out a transaction and returns its version and true. If a
// condition does not hold, it changes nothing and returns the current rows that
// the conditions name, the current version and false.
func (p *Platform) Transact(request platform.TransactRequest) ([]platform.RowItem, uint64, bool) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if !p.checksHold(request.Checks) {
		return p.checkedRows(request.Checks), p.data.lastVersion, false
	}
	p.data.lastVersion++
	for _, put := range request.Puts {
		put.Version = p.data.lastVersion
		p.data.rows[idOf(put)] = put
		p.data.changes = append(p.data.changes, put)
	}
	for _, drop := range request.Removals {
		delete(p.data.rows, idOf(drop))
		drop.Version, drop.Removed = p.data.lastVersion, true
		p.data.changes = append(p.data.changes, drop)
	}
	if excess := len(p.data.changes) - maxChanges; excess > 0 {
		p.data.lastTrimmed = p.data.changes[excess-1].Version
		p.data.changes = slices.Clone(p.data.changes[excess:])
	}
	close(p.changed)
	p.changed = make(chan struct{})
	return nil, p.data.lastVersion, true
}

// checksHold returns whether all named rows have the versions that the conditions require, 0 for a row
// that doesn't exist.
func (p *Platform) checksHold(checks []platform.CheckItem) bool {
	for _, c := range checks {
		if p.data.rows[rowID{c.Table, c.Part, c.Key}].Version != c.Version {
			return false
		}
	}
	return true
}

// checkedRows returns the current rows that the conditions name.
func (p *Platform) checkedRows(checks []platform.CheckItem) []platform.RowItem {
	rows := []platform.RowItem{}
	for _, c := range checks {
		if row, ok := p.data.rows[rowID{c.Table, c.Part, c.Key}]; ok {
			rows = append(rows, row)
		}
	}
	return rows
}

// serveRows serves a read of one page of rows, ordered by key.
func (p *Platform) serveRows(ctx *fasthttp.RequestCtx) {
	query := ctx.QueryArgs()
	table, part := string(query.Peek("table")), string(query.Peek("part"))
	from, to := string(query.Peek("from")), string(query.Peek("to"))
	limit := query.GetUintOrZero("limit")
	if limit == 0 {
		limit = defaultPageRows
	}
	p.mu.Lock()
	rows := p.hostRows(table)
	for _, row := range p.data.rows {
		if row.Table == table && row.Part == part && row.Key >= from && (to == "" || row.Key < to) {
			rows = append(rows, row)
		}
	}
	last := p.data.lastVersion
	p.mu.Unlock()
	slices.SortFunc(rows, func(a, b platform.RowItem) int { return strings.Compare(a.Key, b.Key) })
	count := countFitting(rows[:min(limit, len(rows))])
	reply.JSON(ctx, fasthttp.StatusOK, platform.RowsAnswer{
		Rows: rows[:count], More: count < len(rows), Version: last, Now: time.Now().UnixMilli(),
	})
}

// countFitting returns how many of the first rows fit into one page.
func countFitting(rows []platform.RowItem) int {
	size := 0
	for n, row := range rows {
		if size += base64.StdEncoding.EncodedLen(len(row.Value)); size > maxPageBytes && n > 0 {
			return n
		}
	}
	return len(rows)
}

// hostRows returns the list of hosts as of the configured lag ago if the table is that of the hosts,
// and no rows otherwise.
func (p *Platform) hostRows(table string) []platform.RowItem {
	rows := []platform.RowItem{}
	if table != platform.TableHosts {
		return rows
	}
	var hosts []platform.Host
	for _, v := range p.hostVersions {
		if time.Since(v.since) >= p.config.Lag {
			hosts = v.hosts
		}
	}
	for _, h := range hosts {
		value, err := json.Marshal(h)
		if err == nil {
			rows = append(rows, platform.RowItem{Table: table, Key: h.Address.String(), Value: value})
		}
	}
	return rows
}

// serveFeed serves a read of the changes of a table after a version. If there is none, it waits for
// one.
func (p *Platform) serveFeed(ctx *fasthttp.RequestCtx) {
	query := ctx.QueryArgs()
	after, err := strconv.ParseUint(string(query.Peek("afterRev")), 10, 64)
	if err != nil {
		ctx.Error(err.Error(), fasthttp.StatusBadRequest)
		return
	}
	wait := min(maxFeedWait, time.Duration(query.GetUintOrZero("waitMs"))*time.Millisecond)
	timeout := time.NewTimer(wait)
	defer timeout.Stop()
	table := string(query.Peek("table"))
	for {
		if !p.hasHistory(after) {
			ctx.SetStatusCode(fasthttp.StatusGone)
			return
		}
		rows, last, changed := p.changesSince(table, after)
		if len(rows) > 0 {
			reply.JSON(ctx, fasthttp.StatusOK, platform.RowsAnswer{Rows: rows, Version: last})
			return
		}
		select {
		case <-changed:
		case <-timeout.C:
			reply.JSON(ctx, fasthttp.StatusOK, platform.RowsAnswer{Rows: rows, Version: last})
			return
		}
	}
}

// hasHistory returns whether a feed may start after a version: the version was given out, and all changes
// after it are kept.
func (p *Platform) hasHistory(after uint64) bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	return after >= p.data.lastTrimmed && after <= p.data.lastVersion
}

// changesSince returns the newest change of each row of a table after a version, ordered by version. It
// also returns the current version and a channel that is closed at the next change.
func (p *Platform) changesSince(table string, after uint64) ([]platform.RowItem, uint64, <-chan struct{}) {
	p.mu.Lock()
	defer p.mu.Unlock()
	newest := map[rowID]platform.RowItem{}
	for _, row := range p.data.changes {
		if row.Table == table && row.Version > after {
			newest[idOf(row)] = row
		}
	}
	rows := make([]platform.RowItem, 0, len(newest))
	for _, row := range newest {
		rows = append(rows, row)
	}
	slices.SortFunc(rows, func(a, b platform.RowItem) int { return cmp.Compare(a.Version, b.Version) })
	return rows, p.data.lastVersion, p.changed
}

// putObject stores an object. If the request has an If-None-Match header, it doesn't replace an
// existing one.
func (p *Platform) putObject(ctx *fasthttp.RequestCtx, key string) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if _, ok := p.data.objects[key]; ok && len(ctx.Request.Header.Peek(fasthttp.HeaderIfNoneMatch)) > 0 {
		ctx.SetStatusCode(fasthttp.StatusPreconditionFailed)
		return
	}
	p.data.objects[key] = slices.Clone(ctx.PostBody())
}

// getObject serves a read of an object.
func (p *Platform) getObject(ctx *fasthttp.RequestCtx, key string) {
	p.mu.Lock()
	defer p.mu.Unlock()
	body, ok := p.data.objects[key]
	if !ok {
		ctx.SetStatusCode(fasthttp.StatusNotFound)
		return
	}
	ctx.SetBody(body)
}
