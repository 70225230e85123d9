package exporter

// The bucket bounds of the histograms.
var (
	// responseRatioBuckets includes the latency targets as bounds: 1.1 (median), 1.31, 1.5 and 2.5 (p99 of short jobs at
	// 80% and 95% of slots), 3 (wide jobs).
	responseRatioBuckets = []float64{1.01, 1.05, 1.1, 1.2, 1.31, 1.5, 2, 2.5, 3, 5, 10, 30, 100}
	// durationBuckets, in seconds, ranges from a network hop inside a zone to the longest tasks.
	durationBuckets = []float64{0.001, 0.0025, 0.005, 0.01, 0.025, 0.05, 0.1, 0.25, 0.5, 1, 2.5, 5, 10, 30, 60}
	// syncBuckets, in seconds, is finer around the duration of a synced write, which takes several milliseconds.
	syncBuckets = []float64{0.0005, 0.001, 0.002, 0.003, 0.005, 0.0075, 0.01, 0.02, 0.05, 0.1, 0.5, 2}
	// batchBuckets ranges up to the largest number of commands in one log write.
	batchBuckets = []float64{1, 2, 4, 8, 16, 32, 64, 128, 256, 512, 1024}
)
