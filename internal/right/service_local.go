package right

import "errors"

// SealLocal seals a right at this instance's witness and returns the uses that
// its close must account for, ordered by ID.
func (s *Service[U]) SealLocal(t Terms) ([]Use[U], error) {
	uses, err := s.sealAdopted(t)
	if !errors.Is(err, ErrNotAdopted) {
		return uses, err
	}
	if err := s.Adopt(t); err != nil {
		return nil, err
	}
	return s.sealAdopted(t)
}

// sealAdopted seals a right if it is adopted.
func (s *Service[U]) sealAdopted(t Terms) ([]Use[U], error) {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.witness.Seal(t.Right)
}

// WithLockedWitness calls fn with the witness while holding the lock. fn must
// not keep the witness or call the service.
func (s *Service[U]) WithLockedWitness(fn func(*Witness[U])) {
	s.mu.Lock()
	defer s.mu.Unlock()
	fn(s.witness)
}
