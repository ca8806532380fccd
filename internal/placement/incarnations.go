package placement

import "guavapier/internal/endpointload"

// EndpointKeys returns the IDs of all endpoints by the keys of their incarnations.
func (t *Table) EndpointKeys() map[endpointload.Key]string {
	t.mu.Lock()
	defer t.mu.Unlock()
	ids := make(map[endpointload.Key]string, len(t.endpoints))
	for id, e := range t.endpoints {
		ids[endpointload.KeyOf(id, e.Born)] = id
	}
	return ids
}
