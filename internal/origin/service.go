package origin

import "time"

// ServiceName is the name under which PeerService is registered with a peer.Server.
const ServiceName = "Streams"

// maxLifetime bounds the lifetime of a record that another instance states.
const maxLifetime = time.Hour

// CopyArgs are the arguments of Streams.Copy.
type CopyArgs struct {
	Records []Record `cbor:"1,keyasint"`
}

// CopyReply is the empty reply of Streams.Copy.
type CopyReply struct{}

// FindArgs are the arguments of Streams.Find.
type FindArgs struct {
	Stream StreamID
	Named  bool // Always set: instances of earlier versions look for the stream only if it is.
}

// FindReply is the reply of Streams.Find.
type FindReply struct {
	Found  bool
	Origin Origin // If found; the zero value if it is ambiguous.
}

// PeerService is the RPC service that other instances call.
type PeerService struct{ tracker *Tracker }

// NewPeerService returns the service that keeps and finds records in t.
func NewPeerService(t *Tracker) *PeerService { return &PeerService{tracker: t} }

// Copy keeps copies of another instance's records.
func (p *PeerService) Copy(args CopyArgs, _ *CopyReply) error {
	now := p.tracker.Clock()
	for _, r := range args.Records {
		r.Lifetime = min(max(r.Lifetime, 0), maxLifetime)
		if !p.tracker.Streams.Put(r, now) {
			p.tracker.dropped.Add(1)
		}
	}
	return nil
}

// Find returns what this instance knows of a stream, without asking others.
func (p *PeerService) Find(args FindArgs, reply *FindReply) error {
	reply.Origin, reply.Found = p.tracker.Streams.Find(args.Stream, p.tracker.Clock())
	return nil
}
