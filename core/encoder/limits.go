package encoder

// MaxMessage bounds one gRPC message, in bytes: room for a job's largest results.
const MaxMessage = 32 << 20
