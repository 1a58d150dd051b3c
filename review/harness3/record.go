package main

import (
	"fmt"
	"os"
	"sync"
	"time"
)

// recorder writes what was sent, answered and run.
type recorder struct {
	mu    sync.Mutex
	file  *os.File
	began time.Time
}

func newRecorder(path string) (*recorder, error) {
	file, err := os.Create(path)
	return &recorder{file: file, began: time.Now()}, err
}

func (r *recorder) printf(format string, values ...any) { r.printAt(time.Now(), format, values...) }

func (r *recorder) printAt(at time.Time, format string, values ...any) {
	r.mu.Lock()
	defer r.mu.Unlock()
	_, _ = fmt.Fprintf(r.file, "%8.3f  %s\n", at.Sub(r.began).Seconds(), fmt.Sprintf(format, values...))
}
