package bytebudget

import "sync"

// ShareConfig configures a Share.
type ShareConfig struct {
	Budget *Budget
	// Reserve is the number of bytes that may be taken also while other content has taken all of the
	// budget, so that work goes on. It is at most Most.
	Reserve int64
	// Most is the number of bytes that Take does not pass, so that the rest is left to other content.
	Most int64
}

// Share is what one kind of content takes of a Budget. It is safe for concurrent use.
type Share struct {
	c ShareConfig

	mu   sync.Mutex
	used int64
}

// NewShare returns a share of a budget.
func NewShare(c ShareConfig) *Share { return &Share{c: c} }

// Take takes bytes. It returns false, and takes none, if the share would pass its most, or if the budget
// has fewer left and the share would pass its reserve. To take none always succeeds.
func (s *Share) Take(bytes int64) bool {
	if bytes <= 0 {
		return true
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	used := s.used + bytes
	if used > s.c.Most {
		return false
	}
	if !s.c.Budget.Take(bytes) {
		if used > s.c.Reserve {
			return false
		}
		s.c.Budget.Charge(bytes)
	}
	s.used = used
	return true
}

// Charge takes bytes also if Take would not, for what is in memory already.
func (s *Share) Charge(bytes int64) {
	s.add(bytes)
	s.c.Budget.Charge(bytes)
}

// Give returns bytes that were taken.
func (s *Share) Give(bytes int64) {
	s.add(-bytes)
	s.c.Budget.Give(bytes)
}

// Used returns the number of bytes that are taken.
func (s *Share) Used() int64 {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.used
}

func (s *Share) add(bytes int64) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.used += bytes
}
