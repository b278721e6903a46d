package platform

import (
	"maps"
	"net"
	"slices"
	"strconv"
	"time"

	"github.com/valyala/fasthttp"

	"github.com/cassiachute/cassiachute/platform"
)

// headerEra is the header that numbers the restores of the store, in all its answers.
const headerEra = "Store-Era"

const upPollInterval = 10 * time.Millisecond

// data is what the store keeps, and what a copy of it holds.
type data struct {
	rows        map[rowID]platform.RowItem
	lastVersion uint64
	changes     []platform.RowItem // in order of their versions
	lastTrimmed uint64             // newest version among the changes that are no longer kept
	objects     map[string][]byte
}

// clone returns a copy that later changes of the original do not affect.
func (d *data) clone() data {
	c := *d
	c.rows, c.changes, c.objects = maps.Clone(d.rows), slices.Clone(d.changes), maps.Clone(d.objects)
	return c
}

// Copy is the content of a Platform at one moment.
type Copy struct{ data data }

// Copy returns a copy of the present content.
func (p *Platform) Copy() Copy {
	p.mu.Lock()
	defer p.mu.Unlock()
	return Copy{data: p.data.clone()}
}

// Restore replaces the content by a copy. Everything written since the copy was made is lost, its versions are
// given out again, and the era rises by one. Feeds that wait for a change get no answer.
func (p *Platform) Restore(c Copy) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.data = c.data.clone()
	p.era++
	close(p.changed)
	p.changed = make(chan struct{})
}

// Era returns the number of the present era, which begins at 1.
func (p *Platform) Era() uint64 {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.era
}

// Row returns a row with an empty part, and whether it exists.
func (p *Platform) Row(table, key string) (platform.RowItem, bool) {
	p.mu.Lock()
	defer p.mu.Unlock()
	row, ok := p.data.rows[rowID{table: table, key: key}]
	return row, ok
}

// AwaitUp waits until the store answers calls. Transact itself does not: it is no call.
func (p *Platform) AwaitUp() {
	for p.down() {
		time.Sleep(upPollInterval)
	}
}

func (p *Platform) down() bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.faults.Down
}

// setEra sets the header with the era in an answer.
func (p *Platform) setEra(ctx *fasthttp.RequestCtx, era uint64) {
	ctx.Response.Header.Set(headerEra, strconv.FormatUint(era, 10))
}

// closeWithoutAnswer closes the connection of a request without an answer.
func closeWithoutAnswer(ctx *fasthttp.RequestCtx) {
	ctx.HijackSetNoResponse(true)
	ctx.Hijack(func(net.Conn) {})
}
