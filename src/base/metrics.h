// Counters, gauges and time histograms of one process, exported as OpenMetrics text.
#pragma once

#include <cstdint>
#include <memory>
#include <string>
#include <string_view>

namespace Parsleytrail
{

/// Histogram of durations in logarithmic buckets from 10 us to 1000 s.
class TimeHistogram
{
public:
    TimeHistogram();
    ~TimeHistogram();
    TimeHistogram(TimeHistogram &&) noexcept;

    /// Adds one duration. Allocates nothing.
    void record(double seconds);
    std::uint64_t count() const;
    /// The quantile `q` (0 to 1) in seconds, interpolated linearly within its bucket; 0 if the histogram is empty.
    double quantile(double q) const;

private:
    friend class Metrics;
    struct Private;
    std::unique_ptr<Private> d;
};

/// All metrics of a process by name. Names follow OpenMetrics; the text adds _total to counters.
class Metrics
{
public:
    Metrics();
    ~Metrics();

    /// The counter of that name, created on first use. The reference stays valid, so hot paths look it up once.
    std::uint64_t &counter(const std::string &name, const char *help);
    /// The gauge of that name, created on first use. The reference stays valid.
    double &gauge(const std::string &name, const char *help);
    /// The histogram of that name, in seconds, created on first use. The reference stays valid.
    TimeHistogram &histogram(const std::string &name, const char *help);
    /// All metrics as OpenMetrics text, ending with "# EOF".
    std::string openMetricsText() const;

private:
    struct Private;
    std::unique_ptr<Private> d;
};

} // namespace Parsleytrail
