package clients

import (
	"sync"
	"time"

	"go.uber.org/zap"
)

// shortageQuietTime is how long nothing may have been short until a shortage counts as over.
const shortageQuietTime = time.Second

// shortageLog logs when descriptors or memory for clients begin to be short, and when that is over: one line each,
// however often a connection is closed to make room in between.
type shortageLog struct {
	log *zap.Logger

	mu     sync.Mutex
	since  time.Time // when the present shortage began; zero: none
	last   time.Time // when something was last short
	events int       // how often something was short since it began
}

// note records that a resource was short.
func (l *shortageLog) note(resource string) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.last = time.Now()
	l.events++
	if !l.since.IsZero() {
		return
	}
	l.since, l.events = l.last, 1
	l.log.Info("shortage of resources for clients begins", zap.String("first", resource))
	time.AfterFunc(shortageQuietTime, l.check)
}

// check logs the end of a shortage, or looks again later.
func (l *shortageLog) check() {
	l.mu.Lock()
	defer l.mu.Unlock()
	if quiet := time.Since(l.last); quiet < shortageQuietTime {
		time.AfterFunc(shortageQuietTime-quiet, l.check)
		return
	}
	l.log.Info("shortage of resources for clients is over", zap.Duration("lasted", l.last.Sub(l.since)), zap.Int("events", l.events))
	l.since = time.Time{}
}

// noteAcceptFailure logs an error of accept that is not a want of descriptors or memory.
func (t *connTable) noteAcceptFailure(err error) {
	t.log.Warn("a connection from a client could not be accepted", zap.Error(err))
}
