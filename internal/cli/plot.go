package cli

import (
	"fmt"

	"github.com/HdrHistogram/hdrhistogram-go"
	"gonum.org/v1/plot"
	"gonum.org/v1/plot/vg"
)

const (
	maxLatencyMicros = 60_000_000
	latencyDigits    = 3 // significant ones of a histogram's values
)

// newLatencyHistogram counts times in µs.
func newLatencyHistogram() *hdrhistogram.Histogram {
	return hdrhistogram.New(1, maxLatencyMicros, latencyDigits)
}

// quantileMillis returns a quantile, in percent, in ms.
func quantileMillis(h *hdrhistogram.Histogram, percent float64) float64 {
	return float64(h.ValueAtQuantile(percent)) / 1000
}

// p99Millis is the 99th percentile in ms.
func p99Millis(h *hdrhistogram.Histogram) float64 { return quantileMillis(h, 99) }

// plotSize is in centimetres.
type plotSize struct{ width, height vg.Length }

// savePlot adds named curves or points to a plot and writes it to a file, if one is named.
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
