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
	maxFeedWait = 30 * time.Second
	maxHistory  = 4096    // changes
	maxPage     = 1 << 20 // bytes of the values of one page, more only for a single row
)

// rowName names a row.
type rowName struct{ table, part, key string }

func nameOf(row platform.RowItem) rowName { return rowName{row.Table, row.Part, row.Key} }

// transact serves a transaction.
func (p *Platform) transact(ctx *fasthttp.RequestCtx) {
	var call platform.TransactRequest
	if err := json.Unmarshal(ctx.PostBody(), &call); err != nil {
		ctx.Error(err.Error(), fasthttp.StatusBadRequest)
		return
	}
	rows, version, done := p.Transact(call)
	status := fasthttp.StatusOK
	if !done {
		status = fasthttp.StatusPreconditionFailed
	}
	reply.JSON(ctx, status, platform.RowsAnswer{Rows: rows, Version: version, Now: time.Now().UnixMilli()})
}

// Transact carries out a transaction. If a condition does not hold, it returns
// the present rows that the conditions name, and false.
func (p *Platform) Transact(call platform.TransactRequest) ([]platform.RowItem, uint64, bool) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if !p.holds(call.Checks) {
		return p.present(call.Checks), p.last, false
	}
	p.last++
	for _, put := range call.Puts {
		put.Version = p.last
		p.rows[nameOf(put)] = put
		p.changes = append(p.changes, put)
	}
	for _, drop := range call.Drops {
		delete(p.rows, nameOf(drop))
		drop.Version, drop.Removed = p.last, true
		p.changes = append(p.changes, drop)
	}
	if extra := len(p.changes) - maxHistory; extra > 0 {
		p.lost = p.changes[extra-1].Version
		p.changes = slices.Clone(p.changes[extra:])
	}
	close(p.changed)
	p.changed = make(chan struct{})
	return nil, p.last, true
}

func (p *Platform) holds(checks []platform.CheckItem) bool {
	for _, c := range checks {
		if p.rows[rowName{c.Table, c.Part, c.Key}].Version != c.Version {
			return false
		}
	}
	return true
}

func (p *Platform) present(checks []platform.CheckItem) []platform.RowItem {
	rows := []platform.RowItem{}
	for _, c := range checks {
		if row, ok := p.rows[rowName{c.Table, c.Part, c.Key}]; ok {
			rows = append(rows, row)
		}
	}
	return rows
}

// page serves a read of rows, ordered by key.
func (p *Platform) page(ctx *fasthttp.RequestCtx) {
	query := ctx.QueryArgs()
	table, part := string(query.Peek("table")), string(query.Peek("part"))
	from, to := string(query.Peek("from")), string(query.Peek("to"))
	limit := query.GetUintOrZero("limit")
	if limit == 0 {
		limit = defaultPage
	}
	p.mu.Lock()
	rows := p.listed(table)
	for _, row := range p.rows {
		if row.Table == table && row.Part == part && row.Key >= from && (to == "" || row.Key < to) {
			rows = append(rows, row)
		}
	}
	last := p.last
	p.mu.Unlock()
	slices.SortFunc(rows, func(a, b platform.RowItem) int { return strings.Compare(a.Key, b.Key) })
	count := fitting(rows[:min(limit, len(rows))])
	reply.JSON(ctx, fasthttp.StatusOK, platform.RowsAnswer{
		Rows: rows[:count], More: count < len(rows), Version: last, Now: time.Now().UnixMilli(),
	})
}

// fitting returns how many of the first rows one page holds.
func fitting(rows []platform.RowItem) int {
	size := 0
	for n, row := range rows {
		if size += base64.StdEncoding.EncodedLen(len(row.Value)); size > maxPage && n > 0 {
			return n
		}
	}
	return len(rows)
}

// listed returns the hosts as they were the lag ago, if their table is asked for.
func (p *Platform) listed(table string) []platform.RowItem {
	rows := []platform.RowItem{}
	if table != platform.TableHosts {
		return rows
	}
	var hosts []platform.Host
	for _, v := range p.hosts {
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

// feed serves a read of changes and waits for the first one.
func (p *Platform) feed(ctx *fasthttp.RequestCtx) {
	query := ctx.QueryArgs()
	after, err := strconv.ParseUint(string(query.Peek("afterRev")), 10, 64)
	if err != nil {
		ctx.Error(err.Error(), fasthttp.StatusBadRequest)
		return
	}
	wait := min(maxFeedWait, time.Duration(query.GetUintOrZero("waitMs"))*time.Millisecond)
	end := time.NewTimer(wait)
	defer end.Stop()
	table := string(query.Peek("table"))
	for {
		if p.forgotten(after) {
			ctx.SetStatusCode(fasthttp.StatusGone)
			return
		}
		rows, last, changed := p.since(table, after)
		if len(rows) > 0 {
			reply.JSON(ctx, fasthttp.StatusOK, platform.RowsAnswer{Rows: rows, Version: last})
			return
		}
		select {
		case <-changed:
		case <-end.C:
			reply.JSON(ctx, fasthttp.StatusOK, platform.RowsAnswer{Rows: rows, Version: last})
			return
		}
	}
}

// forgotten returns whether changes after a version are no longer kept.
func (p *Platform) forgotten(after uint64) bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	return after < p.lost
}

// since returns the newest change of each row of a table after a version.
func (p *Platform) since(table string, after uint64) ([]platform.RowItem, uint64, <-chan struct{}) {
	p.mu.Lock()
	defer p.mu.Unlock()
	newest := map[rowName]platform.RowItem{}
	for _, row := range p.changes {
		if row.Table == table && row.Version > after {
			newest[nameOf(row)] = row
		}
	}
	rows := make([]platform.RowItem, 0, len(newest))
	for _, row := range newest {
		rows = append(rows, row)
	}
	slices.SortFunc(rows, func(a, b platform.RowItem) int { return cmp.Compare(a.Version, b.Version) })
	return rows, p.last, p.changed
}

// putObject stores an object. With a condition, it refuses one that exists.
func (p *Platform) putObject(ctx *fasthttp.RequestCtx, key string) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if _, ok := p.objects[key]; ok && len(ctx.Request.Header.Peek(fasthttp.HeaderIfNoneMatch)) > 0 {
		ctx.SetStatusCode(fasthttp.StatusPreconditionFailed)
		return
	}
	p.objects[key] = slices.Clone(ctx.PostBody())
}

// object returns an object.
func (p *Platform) object(ctx *fasthttp.RequestCtx, key string) {
	p.mu.Lock()
	defer p.mu.Unlock()
	body, ok := p.objects[key]
	if !ok {
		ctx.SetStatusCode(fasthttp.StatusNotFound)
		return
	}
	ctx.SetBody(body)
}
