package right

import "errors"

// SealLocal seals a right at this witness and returns its uses.
func (s *Service[U]) SealLocal(t Terms) ([]Use[U], error) {
	uses, err := s.trySeal(t)
	if !errors.Is(err, ErrNotAdopted) {
		return uses, err
	}
	if err := s.Adopt(t); err != nil {
		return nil, err
	}
	return s.trySeal(t)
}

func (s *Service[U]) trySeal(t Terms) ([]Use[U], error) {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.witness.Seal(t.Right)
}

// Look calls look with the table. look must not keep it.
func (s *Service[U]) Look(look func(*Witness[U])) {
	s.mu.Lock()
	defer s.mu.Unlock()
	look(s.witness)
}
