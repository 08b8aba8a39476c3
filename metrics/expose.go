package metrics

import (
	"cmp"
	"io"
	"slices"
	"strings"

	dto "github.com/prometheus/client_model/go"
	"github.com/prometheus/common/expfmt"
	gometrics "github.com/rcrowley/go-metrics"
	"google.golang.org/protobuf/proto"
)

const (
	prefix          = "anvilfork_"
	labelSeparator  = "\x1f"    // ASCII unit separator
	ratioScale      = 1_000_000 // ratios are recorded in millionths, since histograms hold integers
	microsPerSecond = 1e6
)

// quantiles of every exposed summary.
var quantiles = []float64{0.5, 0.9, 0.99, 0.999}

// help is the HELP text of every metric.
var help = map[string]string{
	"queries_total":                  "Queries that ended on this VM, refused ones included.",
	"subrequests_total":              "Sub-requests that the queries needed, one a group.",
	"attempts_total":                 "Attempts at targets that replies to this VM reported.",
	"failed_attempts_total":          "Attempts of this VM at targets that ended without a success.",
	"hedges_total":                   "Sub-requests sent to a second home because the first was slow.",
	"refusals_total":                 "Refused queries.",
	"refusals_inside_rate_total":     "Refused queries whose reason is not on the caller's side: not the rate, the key or the request.",
	"answers_total":                  "Answered queries.",
	"partial_answers_total":          "Answered queries with coverage below 1.",
	"query_duration_seconds":         "Time from the admission of a query to its answer.",
	"coverage_ratio":                 "Groups answered of the groups of a query.",
	"missing_shards_total":           "Shards that answers to fan-outs lack, by cause.",
	"connections_opened_total":       "Connections to targets that this VM opened, by cause.",
	"caller_refusals_total":          "Requests refused because of how much their caller sends, by cause.",
	"workspace_answered_ratio":       "Queries answered in the last minute, of those not refused for a reason on the caller's side.",
	"workspace_offered_per_second":   "Queries that a workspace sent to this VM in the last minute, refused ones included.",
	"worst_workspace_answered_ratio": "Smallest workspace_answered_ratio; 1 without queries.",
	"blocked_entries":                "Request contents that crash targets and are blocked.",
	"store_era":                      "Era of the store that this VM has a copy of; zero if the store states none.",
	"store_outages_total":            "Outages of the store that this VM was the first to find ended.",
	"store_out_of_reach_total":       "Times that this VM read the store while the reads of some other VMs failed.",
	"store_rewinds_total":            "Times that the copy of the store was replaced by one of another era.",
	"store_reads_ignored_total":      "Reads of the store that were ignored because of the era that they state.",
	"store_kept_entries":             "Entries that are kept although the store, back from an older copy, lacks them or has them otherwise, by reason.",
	"extra_load_ratio":               "Attempts beyond one a sub-request in the last minute, as a fraction of the sub-requests.",
}

// encodeSeries joins the name and the labels of a series into its name in the
// registry.
func encodeSeries(name string, l Labels) string {
	return strings.Join([]string{name, l.Service, l.Workspace, l.Code, l.Cause}, labelSeparator)
}

// decodeSeries splits a name that encodeSeries returned, without empty labels.
func decodeSeries(full string) (string, []*dto.LabelPair) {
	parts := strings.Split(full, labelSeparator)
	var pairs []*dto.LabelPair
	for i, label := range []string{"service", "workspace", "code", "cause"} {
		if i+1 < len(parts) && parts[i+1] != "" {
			pairs = append(pairs, &dto.LabelPair{Name: proto.String(label), Value: proto.String(parts[i+1])})
		}
	}
	return parts[0], pairs
}

// Write writes all series in the Prometheus text format.
func (r *Registry) Write(w io.Writer) error {
	families := make(map[string]*dto.MetricFamily)
	r.series.Each(func(full string, series any) {
		name, pairs := decodeSeries(full)
		m, kind := toMetric(name, series)
		if m == nil {
			return
		}
		m.Label = pairs
		f, ok := families[name]
		if !ok {
			f = &dto.MetricFamily{Name: proto.String(prefix + name), Help: proto.String(help[name]), Type: kind.Enum()}
			families[name] = f
		}
		f.Metric = append(f.Metric, m)
	})
	return writeFamilies(w, families)
}

// writeFamilies writes the families sorted by name, and their series sorted by
// labels.
func writeFamilies(w io.Writer, families map[string]*dto.MetricFamily) error {
	sorted := make([]*dto.MetricFamily, 0, len(families))
	for _, f := range families {
		slices.SortFunc(f.Metric, func(a, b *dto.Metric) int { return cmp.Compare(sortKey(a), sortKey(b)) })
		sorted = append(sorted, f)
	}
	slices.SortFunc(sorted, func(a, b *dto.MetricFamily) int { return cmp.Compare(a.GetName(), b.GetName()) })
	for _, f := range sorted {
		if _, err := expfmt.MetricFamilyToText(w, f); err != nil {
			return err
		}
	}
	return nil
}

// sortKey joins the label values of a series.
func sortKey(m *dto.Metric) string {
	var b strings.Builder
	for _, l := range m.Label {
		b.WriteString(l.GetValue())
		b.WriteString(labelSeparator)
	}
	return b.String()
}

// toMetric converts a series, and returns nil for a series of an unknown type.
func toMetric(name string, series any) (*dto.Metric, dto.MetricType) {
	switch s := series.(type) {
	case gometrics.Counter:
		return &dto.Metric{Counter: &dto.Counter{Value: proto.Float64(float64(s.Count()))}}, dto.MetricType_COUNTER
	case gometrics.GaugeFloat64:
		return &dto.Metric{Gauge: &dto.Gauge{Value: proto.Float64(s.Value())}}, dto.MetricType_GAUGE
	case gometrics.Histogram:
		return &dto.Metric{Summary: toSummary(name, s.Snapshot())}, dto.MetricType_SUMMARY
	}
	return nil, dto.MetricType_UNTYPED
}

// toSummary converts a histogram to a summary in seconds or, if the name ends in
// _ratio, in fractions.
func toSummary(name string, h gometrics.Histogram) *dto.Summary {
	scale := 1.0 / microsPerSecond
	if strings.HasSuffix(name, "_ratio") {
		scale = 1.0 / ratioScale
	}
	s := &dto.Summary{
		SampleCount: proto.Uint64(uint64(h.Count())),
		SampleSum:   proto.Float64(h.Mean() * scale * float64(h.Count())),
	}
	for i, v := range h.Percentiles(quantiles) {
		s.Quantile = append(s.Quantile, &dto.Quantile{Quantile: proto.Float64(quantiles[i]), Value: proto.Float64(v * scale)})
	}
	return s
}
