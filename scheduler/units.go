package scheduler

import "slices"

const (
	ms  Micros = 1000
	sec        = 1000 * ms
)

func seconds(t Micros) float64 { return float64(t) / float64(sec) }

// median returns the upper median of the values, or 0 if there are none. It sorts the values in place.
func median(values []float64) float64 {
	if len(values) == 0 {
		return 0
	}
	slices.Sort(values)
	return values[len(values)/2]
}

// mean returns the arithmetic mean of the values, or 0 if there are none.
func mean(values []float64) (mean float64) {
	for _, v := range values {
		mean += v / float64(len(values))
	}
	return mean
}

// mixBits hashes an id with the finalizer of SplitMix64. All dispatchers must compute the same hash.
func mixBits(x uint64) uint64 {
	x ^= x >> 30
	x *= 0xbf58476d1ce4e5b9
	x ^= x >> 27
	x *= 0x94d049bb133111eb
	return x ^ x>>31
}
