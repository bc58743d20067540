package testrig

import "sync"

// minLogged is the number of the newest bytes that a Log always keeps.
const minLogged = 64 << 10

// Log keeps the newest text that is written to it. The zero value is ready for use, by any number of goroutines.
type Log struct {
	mu   sync.Mutex
	text []byte
}

// Write implements io.Writer. It never fails.
func (l *Log) Write(text []byte) (int, error) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.text = append(l.text, text...)
	if len(l.text) > 2*minLogged {
		l.text = append(l.text[:0], l.text[len(l.text)-minLogged:]...)
	}
	return len(text), nil
}

// String returns the newest text.
func (l *Log) String() string {
	l.mu.Lock()
	defer l.mu.Unlock()
	return string(l.text)
}
