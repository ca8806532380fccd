package gateway

import (
	"guavapier/internal/endpointload"
	"guavapier/internal/placement"
)

// endpointKeys translates between the IDs of the listed endpoints and their keys.
type endpointKeys struct {
	changes uint64 // Of the list, when the maps were made.
	ids     map[endpointload.Key]string
	keys    map[string]endpointload.Key
}

// update makes the maps anew if the list has changed.
func (k *endpointKeys) update(endpoints *placement.Table, changes uint64) {
	if k.ids != nil && k.changes == changes {
		return
	}
	k.changes, k.ids = changes, endpoints.EndpointKeys()
	k.keys = make(map[string]endpointload.Key, len(k.ids))
	for key, id := range k.ids {
		k.keys[id] = key
	}
}
