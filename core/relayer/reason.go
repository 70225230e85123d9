package relayer

// Reason is why a request was refused.
type Reason string

// The reasons.
const (
	BadRequest    Reason = "BadRequest"    // not a CONNECT request with an IP address and a port
	UnknownTarget Reason = "UnknownTarget" // not a known controller
	Full          Reason = "Full"          // too many connections
	Unreachable   Reason = "Unreachable"   // the target did not accept the connection
)
