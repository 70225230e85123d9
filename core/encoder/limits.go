package encoder

// MaxMessage is the largest size of a gRPC message, in bytes: enough for the largest results of a job.
const MaxMessage = 32 << 20
