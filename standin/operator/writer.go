package operator

import (
	"bytes"
	"cmp"
	"slices"
	"sync"

	"github.com/cassiachute/cassiachute/platform"
	standin "github.com/cassiachute/cassiachute/standin/platform"
)

// Store is what the operator and the targets write to.
type Store interface {
	Transact(request platform.TransactRequest) ([]platform.RowItem, uint64, bool)
}

// Writer writes to a store that may be away and may lose what it has acknowledged. It remembers the newest state of
// each row, so that lost rows can be written again.
type Writer struct {
	store *standin.Platform

	mu     sync.Mutex
	newest map[rowKey]platform.RowItem
}

// rowKey identifies a row.
type rowKey struct{ table, key string }

// NewWriter returns a Writer to a store.
func NewWriter(store *standin.Platform) *Writer {
	return &Writer{store: store, newest: map[rowKey]platform.RowItem{}}
}

// Transact waits until the store is there and carries out a transaction.
func (w *Writer) Transact(request platform.TransactRequest) ([]platform.RowItem, uint64, bool) {
	w.store.AwaitUp()
	w.mu.Lock()
	defer w.mu.Unlock()
	for _, row := range request.Puts {
		w.newest[rowKey{row.Table, row.Key}] = row
	}
	for _, row := range request.Removals {
		row.Removed = true
		w.newest[rowKey{row.Table, row.Key}] = row
	}
	return w.store.Transact(request)
}

// LostRows returns the rows whose newest state the store lacks, ordered by table and key.
func (w *Writer) LostRows() []platform.RowItem {
	w.mu.Lock()
	defer w.mu.Unlock()
	var rows []platform.RowItem
	for _, row := range w.newest {
		if w.lost(row) {
			rows = append(rows, row)
		}
	}
	slices.SortFunc(rows, func(a, b platform.RowItem) int {
		return cmp.Or(cmp.Compare(a.Table, b.Table), cmp.Compare(a.Key, b.Key))
	})
	return rows
}

// WriteAgain writes the newest state of a row, unless the store has it. It does not wait for a store that is away.
func (w *Writer) WriteAgain(lost platform.RowItem) {
	w.mu.Lock()
	defer w.mu.Unlock()
	row := w.newest[rowKey{lost.Table, lost.Key}]
	switch {
	case !w.lost(row):
	case row.Removed:
		w.store.Transact(platform.TransactRequest{Removals: []platform.RowItem{row}})
	default:
		w.store.Transact(platform.TransactRequest{Puts: []platform.RowItem{row}})
	}
}

// lost reports whether the store lacks the newest state of a row.
func (w *Writer) lost(row platform.RowItem) bool {
	stored, ok := w.store.Row(row.Table, row.Key)
	return ok == row.Removed || ok && !bytes.Equal(stored.Value, row.Value)
}
