package right

import "errors"

// SealLocal seals a right at this witness and returns its uses.
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

func (s *Service[U]) sealAdopted(t Terms) ([]Use[U], error) {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.witness.Seal(t.Right)
}

// WithWitness calls look with the table. look must not keep it.
func (s *Service[U]) WithWitness(fn func(*Witness[U])) {
	s.mu.Lock()
	defer s.mu.Unlock()
	fn(s.witness)
}
