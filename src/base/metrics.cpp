#include "base/metrics.h"

#include <boost/histogram.hpp>

#include <map>
#include <sstream>

namespace Parsleytrail
{

namespace bh = boost::histogram;

constexpr unsigned bucketCount = 160; ///< 20 per decade: a bucket is 12% wide
constexpr double smallestSeconds = 1e-5;
constexpr double largestSeconds = 1e3;

using LogAxis = bh::axis::regular<double, bh::axis::transform::log>;

struct TimeHistogram::Private {
    decltype(bh::make_histogram_with(bh::dense_storage<std::uint64_t>(), LogAxis())) histogram =
        bh::make_histogram_with(bh::dense_storage<std::uint64_t>(), LogAxis(bucketCount, smallestSeconds, largestSeconds));
    std::uint64_t count = 0;
    double sum = 0;
};

TimeHistogram::TimeHistogram()
    : d(std::make_unique<Private>())
{
}

TimeHistogram::~TimeHistogram() = default;
TimeHistogram::TimeHistogram(TimeHistogram &&) noexcept = default;

void TimeHistogram::record(double seconds)
{
    d->histogram(seconds);
    ++d->count;
    d->sum += seconds;
}

std::uint64_t TimeHistogram::count() const
{
    return d->count;
}

double TimeHistogram::quantile(double q) const
{
    const double rank = q * static_cast<double>(d->count);
    double cumulativeCount = 0;
    for (auto &&bucket : bh::indexed(d->histogram, bh::coverage::all)) {
        const auto inBucket = static_cast<double>(*bucket);
        if (inBucket > 0 && cumulativeCount + inBucket >= rank) {
            const double low = bucket.index() < 0 ? 0 : bucket.bin().lower();
            const double high = bucket.index() >= static_cast<int>(bucketCount) ? largestSeconds : bucket.bin().upper();
            return low + (high - low) * (rank - cumulativeCount) / inBucket;
        }
        cumulativeCount += inBucket;
    }
    return 0;
}

/// A metric with its help text.
template<typename T>
struct Described {
    T value{};        ///< current value
    std::string help; ///< help text, one sentence
};

struct Metrics::Private {
    std::map<std::string, Described<std::uint64_t>> counters;
    std::map<std::string, Described<double>> gauges;
    std::map<std::string, Described<TimeHistogram>> histograms;
};

Metrics::Metrics()
    : d(std::make_unique<Private>())
{
}

Metrics::~Metrics() = default;

std::uint64_t &Metrics::counter(const std::string &name, const char *help)
{
    auto &entry = d->counters[name];
    entry.help = help;
    return entry.value;
}

double &Metrics::gauge(const std::string &name, const char *help)
{
    auto &entry = d->gauges[name];
    entry.help = help;
    return entry.value;
}

TimeHistogram &Metrics::histogram(const std::string &name, const char *help)
{
    auto &entry = d->histograms[name];
    entry.help = help;
    return entry.value;
}

std::string Metrics::openMetricsText() const
{
    std::ostringstream out;
    for (const auto &[name, entry] : d->counters) {
        out << "# TYPE " << name << " counter\n# HELP " << name << ' ' << entry.help << '\n' << name << "_total " << entry.value << '\n';
    }
    for (const auto &[name, entry] : d->gauges) {
        out << "# TYPE " << name << " gauge\n# HELP " << name << ' ' << entry.help << '\n' << name << ' ' << entry.value << '\n';
    }
    for (const auto &[name, entry] : d->histograms) {
        out << "# TYPE " << name << " histogram\n# UNIT " << name << " seconds\n# HELP " << name << ' ' << entry.help << '\n';
        const TimeHistogram::Private &data = *entry.value.d;
        std::uint64_t cumulativeCount = 0;
        for (auto &&bucket : bh::indexed(data.histogram, bh::coverage::all)) {
            cumulativeCount += *bucket;
            const bool isShown = *bucket > 0 && bucket.index() < static_cast<int>(bucketCount);
            if (isShown) {
                out << name << "_bucket{le=\"" << (bucket.index() < 0 ? smallestSeconds : bucket.bin().upper()) << "\"} " << cumulativeCount << '\n';
            }
        }
        out << name << "_bucket{le=\"+Inf\"} " << data.count << '\n' << name << "_count " << data.count << '\n' << name << "_sum " << data.sum << '\n';
    }
    out << "# EOF\n";
    return out.str();
}

} // namespace Parsleytrail
