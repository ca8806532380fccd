package processcheck

// ServiceName is the name under which Service is registered with a peer.Server.
const ServiceName = "Processes"

// ReportArgs are the arguments of Processes.Report.
type ReportArgs struct{ Endpoint string }

// ReportReply is the reply of Processes.Report.
type ReportReply struct{ Report Report }

// Service is the RPC service that other instances call.
type Service struct{ list List }

// NewService returns the service that tells what the list shows.
func NewService(list List) *Service { return &Service{list: list} }

// Report tells what this instance's endpoint list shows of an endpoint.
func (s *Service) Report(args ReportArgs, reply *ReportReply) error {
	reply.Report = s.list.Report(args.Endpoint)
	return nil
}
