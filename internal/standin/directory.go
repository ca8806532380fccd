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

type listedInstance struct {
	ID      string `json:"id"`
	Zone    string `json:"zone"`
	Peer    string `json:"peer"`
	Leaving bool   `json:"leaving"`
	Applied uint64 `json:"applied"`
}

// ListedEndpoint is one endpoint of the instance list.
type ListedEndpoint struct {
	Name    string `json:"name"`
	Zone    string `json:"zone"`
	URL     string `json:"url"`
	Service string `json:"service,omitempty"`
	Model   string `json:"model,omitempty"`
	Leaving bool   `json:"leaving"`
}

type instanceList struct {
	Instances []listedInstance `json:"instances"`
	Endpoints []ListedEndpoint `json:"endpoints"`
}

type announcement struct {
	listedInstance
	announcedAt time.Time
}

// instanceDirectory is the instance list. Readers see it as it was up to lag ago.
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

// handleListInstances answers a conditional GET with 304 while the list stands.
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
