package cli

import (
	"fmt"

	"github.com/HdrHistogram/hdrhistogram-go"
	"gonum.org/v1/plot"
	"gonum.org/v1/plot/vg"
)

const (
	maxLatencyMicros = 60_000_000
	latencyDigits    = 3 // significant decimal digits of the values in a histogram
)

// newLatencyHistogram returns a histogram of durations in µs.
func newLatencyHistogram() *hdrhistogram.Histogram {
	return hdrhistogram.New(1, maxLatencyMicros, latencyDigits)
}

// quantileMillis returns the quantile at the given percentage, in ms.
func quantileMillis(h *hdrhistogram.Histogram, percent float64) float64 {
	return float64(h.ValueAtQuantile(percent)) / 1000
}

// p99Millis returns the 99th percentile in ms.
func p99Millis(h *hdrhistogram.Histogram) float64 { return quantileMillis(h, 99) }

// plotSize is the size of a plot in centimetres.
type plotSize struct{ width, height vg.Length }

// savePlot adds items, which alternate between a name and its data, to a plot and writes the plot to a file. With an
// empty path it does nothing.
func savePlot(path string, p *plot.Plot, size plotSize, add func(*plot.Plot, ...any) error, items []any) error {
	if path == "" {
		return nil
	}
	if err := add(p, items...); err != nil {
		return fmt.Errorf("plot: %w", err)
	}
	if err := p.Save(size.width*vg.Centimeter, size.height*vg.Centimeter, path); err != nil {
		return fmt.Errorf("plot: %w", err)
	}
	return nil
}
