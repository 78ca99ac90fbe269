// Counters, gauges and time histograms of one process, and their OpenMetrics text.
#pragma once

#include <cstdint>
#include <memory>
#include <string>
#include <string_view>

namespace Parsleytrail
{

/// Times, in logarithmic buckets from 10 us to 1000 s.
class TimeHistogram
{
public:
    TimeHistogram();
    ~TimeHistogram();
    TimeHistogram(TimeHistogram &&) noexcept;

    /// Counts one time. Allocates nothing.
    void record(double seconds);
    std::uint64_t count() const;
    /// Time under which the share `q` (0 to 1) of the records lies, interpolated within its bucket; 0 if empty. Seconds.
    double quantile(double q) const;

private:
    friend class Metrics;
    struct Private;
    std::unique_ptr<Private> d;
};

/// All metrics of a process, by name. Names follow OpenMetrics (counters without _total).
class Metrics
{
public:
    Metrics();
    ~Metrics();

    /// The counter of that name; the reference stays good, so hot paths look it up once.
    std::uint64_t &counter(const std::string &name, const char *help);
    /// The gauge of that name.
    double &gauge(const std::string &name, const char *help);
    /// The histogram of that name; seconds.
    TimeHistogram &histogram(const std::string &name, const char *help);
    /// OpenMetrics text, ending with # EOF.
    std::string openMetricsText() const;

private:
    struct Private;
    std::unique_ptr<Private> d;
};

} // namespace Parsleytrail
