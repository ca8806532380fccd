package standin

import (
	"encoding/json"
	"fmt"
	"net/http"
	"sort"
	"strconv"
	"time"

	"github.com/cespare/xxhash/v2"
)

// listedInstance is an instance as it announces itself and as the list shows it.
type listedInstance struct {
	ID      string `json:"id"`
	Zone    string `json:"zone"`
	Peer    string `json:"peer"`
	Leaving bool   `json:"leaving"`
	Applied uint64 `json:"applied"`
}

// ListedEndpoint is an entry of the list's endpoints: a plain service with
// Service set, or a model engine with Model set.
type ListedEndpoint struct {
	Name    string `json:"name"`
	Zone    string `json:"zone"`
	URL     string `json:"url"`
	Service string `json:"service,omitempty"`
	Model   string `json:"model,omitempty"`
	Leaving bool   `json:"leaving"`
}

// instanceList is the body of GET /instances.
type instanceList struct {
	Instances []listedInstance `json:"instances"`
	Endpoints []ListedEndpoint `json:"endpoints"`
}

// announcement is the latest announcement of an instance.
type announcement struct {
	listedInstance
	announcedAt time.Time
}

// instanceDirectory stores the announced instances and the configured
// endpoints. Readers get a snapshot that is up to lag old. An instance is
// removed when its last announcement is older than ttl. Platform.mu guards it.
type instanceDirectory struct {
	lag, ttl   time.Duration
	instances  map[string]announcement
	endpoints  []ListedEndpoint
	snapshot   instanceList
	snapshotAt time.Time
}

func newInstanceDirectory(opts PlatformOptions) instanceDirectory {
	return instanceDirectory{lag: opts.ListLag, ttl: opts.InstanceTTL, instances: map[string]announcement{}}
}

// view returns the current snapshot and replaces it first if it is older than
// lag. Instances are sorted by ID.
func (d *instanceDirectory) view(now time.Time) instanceList {
	if now.Sub(d.snapshotAt) < d.lag {
		return d.snapshot
	}
	list := instanceList{Instances: []listedInstance{}, Endpoints: append([]ListedEndpoint{}, d.endpoints...)}
	for id, a := range d.instances {
		if now.Sub(a.announcedAt) > d.ttl {
			delete(d.instances, id)
			continue
		}
		list.Instances = append(list.Instances, a.listedInstance)
	}
	sort.Slice(list.Instances, func(i, j int) bool { return list.Instances[i].ID < list.Instances[j].ID })
	d.snapshot, d.snapshotAt = list, now
	return list
}

// handleAnnounce adds an instance to the list, or renews it there.
func (p *Platform) handleAnnounce(w http.ResponseWriter, r *http.Request) {
	var a announcement
	if !readJSON(w, r, &a.listedInstance) {
		return
	}
	a.announcedAt = time.Now()
	p.mu.Lock()
	defer p.mu.Unlock()
	p.directory.instances[a.ID] = a
	writeJSON(w, a.listedInstance)
}

// handleListInstances answers with 304 while the list still has the ETag that
// the request's If-None-Match names.
func (p *Platform) handleListInstances(w http.ResponseWriter, r *http.Request) {
	p.mu.Lock()
	list := p.directory.view(time.Now())
	p.mu.Unlock()
	data, err := json.Marshal(list)
	if err != nil {
		http.Error(w, err.Error(), http.StatusInternalServerError)
		return
	}
	tag := fmt.Sprintf("%q", strconv.FormatUint(xxhash.Sum64(data), 16))
	w.Header().Set("ETag", tag)
	if r.Header.Get("If-None-Match") == tag {
		w.WriteHeader(http.StatusNotModified)
		return
	}
	w.Header().Set("Content-Type", "application/json")
	_, _ = w.Write(data)
}

func (p *Platform) handlePutEndpoints(w http.ResponseWriter, r *http.Request) {
	var endpoints []ListedEndpoint
	if !readJSON(w, r, &endpoints) {
		return
	}
	p.SetEndpoints(endpoints)
	writeJSON(w, endpoints)
}

// SetEndpoints replaces the endpoints of the instance list.
func (p *Platform) SetEndpoints(endpoints []ListedEndpoint) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.directory.endpoints = endpoints
}
