//go:build review

package kit

import (
	"fmt"
	"os"
	"sync"
	"time"
)

// Record is the file that tells what was sent, answered and run.
type Record struct {
	Quiet bool // lines are not printed as well

	mu    sync.Mutex
	file  *os.File
	began time.Time
}

// NewRecord creates the file.
func NewRecord(path string) (*Record, error) {
	file, err := os.Create(path)
	if err != nil {
		return nil, err
	}
	return &Record{file: file, began: time.Now()}, nil
}

// Add adds a line with the time since the start.
func (r *Record) Add(format string, values ...any) {
	r.mu.Lock()
	defer r.mu.Unlock()
	line := fmt.Sprintf("%8.3f ", time.Since(r.began).Seconds()) + fmt.Sprintf(format, values...) + "\n"
	_, _ = r.file.WriteString(line)
	if !r.Quiet {
		fmt.Print(line)
	}
}

// Close closes the file.
func (r *Record) Close() { _ = r.file.Close() }
