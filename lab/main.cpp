// parsley-lab: experiments with the real policy code in simulated time.
//
//     parsley-lab scale --sizes=30x5,100x5,437x5,874x5
//     parsley-lab freshness --sizes=8x2,40x2 --schedules=100 --bound_ms=2000
#include "lab/freshness.h"
#include "lab/scale.h"

#include <absl/flags/flag.h>
#include <absl/flags/parse.h>
#include <absl/flags/usage.h>
#include <absl/strings/numbers.h>
#include <absl/strings/str_split.h>

#include <algorithm>
#include <cstdio>
#include <string>
#include <vector>

ABSL_FLAG(std::vector<std::string>, sizes, std::vector<std::string>({"30x5", "100x5", "300x5", "437x5", "874x5"}), "fleets, as entries x data centres: 437x5");
ABSL_FLAG(double, engines_per_entry, 1.3, "engines for each entry");
ABSL_FLAG(double, loss, 0.001, "share of datagrams that are lost");
ABSL_FLAG(unsigned, seed, 1, "seed of the network and of the loads; freshness: of the first schedule of faults");
ABSL_FLAG(unsigned, schedules, 100, "freshness: schedules of faults for each size, with consecutive seeds");
ABSL_FLAG(int, bound_ms, 2000, "freshness: time within which every entry in touch must have a change of the tables, in milliseconds");
ABSL_FLAG(std::string, format, "table", "table, json (one object a line) or csv");

using namespace Parsleytrail::Lab;

namespace
{

bool parseSize(const std::string &text, FleetSize &size)
{
    const std::vector<std::string> parts = absl::StrSplit(text, 'x');
    constexpr int maxEntries = 10000;
    return parts.size() == 2 && absl::SimpleAtoi(parts[0], &size.entries) && absl::SimpleAtoi(parts[1], &size.dataCenters) && size.dataCenters >= 1
           && size.entries >= size.dataCenters && size.entries <= maxEntries;
}

void printTableHeader()
{
    std::printf("%8s %4s %8s %7s %8s %8s %8s %8s %7s %7s %6s %8s %8s %8s %8s\n", "entries", "dcs", "engines", "views", "tables", "calls", "calls", "calls",
                "news", "readers", "groups", "changes", "KB/s", "KB/s", "us/s");
    std::printf("%8s %4s %8s %7s %8s %8s %8s %8s %7s %7s %6s %8s %8s %8s %8s\n", "", "", "", "ms", "ms", "at start", "a second", "a change", "ms", "", "",
                "of group", "mean", "most", "an entry");
}

void printTableRow(const ScaleFigures &row)
{
    std::printf("%8d %4d %8d %7lld %8lld %8.0f %8.1f %8.1f %7lld %7zu %6zu %8llu %8.1f %8.1f %8.0f\n", row.size.entries, row.size.dataCenters, row.engines,
                static_cast<long long>(row.timeToConverge.count()), static_cast<long long>(row.timeToTables.count()), row.callsAtStart, row.callsPerSecond,
                row.callsPerConfiguration, static_cast<long long>(row.timeOfNews.count()), row.readers, row.aggregators,
                static_cast<unsigned long long>(row.aggregatorChanges), row.sentMean, row.sentMost, row.microsecondsPerSecond);
}

void printGrowth(const std::vector<ScaleFigures> &rows)
{
    const auto exponent = [&rows](double (*value)(const ScaleFigures &)) {
        return growthExponent(rows, value);
    };
    std::printf("growth, as a power of the number of entries from the first to the last size: calls at start %.2f, a second %.2f; KB/s mean %.2f, most %.2f; "
                "us/s %.2f\n",
                exponent([](const ScaleFigures &row) {
                    return row.callsAtStart;
                }),
                exponent([](const ScaleFigures &row) {
                    return row.callsPerSecond;
                }),
                exponent([](const ScaleFigures &row) {
                    return row.sentMean;
                }),
                exponent([](const ScaleFigures &row) {
                    return row.sentMost;
                }),
                exponent([](const ScaleFigures &row) {
                    return row.microsecondsPerSecond;
                }));
}

int runScale()
{
    ScaleOptions options;
    options.enginesPerEntry = absl::GetFlag(FLAGS_engines_per_entry);
    options.loss = absl::GetFlag(FLAGS_loss);
    options.seed = absl::GetFlag(FLAGS_seed);
    const std::string format = absl::GetFlag(FLAGS_format);
    std::vector<ScaleFigures> rows;
    if (format == "table") {
        printTableHeader();
    } else if (format == "csv") {
        std::printf("%s\n", csvHeader().c_str());
    }
    for (const std::string &text : absl::GetFlag(FLAGS_sizes)) {
        FleetSize size;
        if (!parseSize(text, size)) {
            std::fprintf(stderr, "parsley-lab: not a size: %s; sizes are given as entries x data centres, as 437x5\n", text.c_str());
            return 2;
        }
        std::fprintf(stderr, "parsley-lab: %d entries in %d data centres ...\n", size.entries, size.dataCenters);
        rows.push_back(measureScale(size, options));
        if (format == "table") {
            printTableRow(rows.back());
        } else {
            std::printf("%s\n", (format == "csv" ? toCsv(rows.back()) : toJson(rows.back())).c_str());
        }
        std::fflush(stdout);
    }
    if (format == "table") {
        printGrowth(rows);
    }
    return 0;
}

/// Plays schedules of faults and prints each one in which an entry in touch lacked a change that was due. Returns 1 if there was one.
int runFreshness()
{
    constexpr int minBoundMs = 500;
    const int boundMs = absl::GetFlag(FLAGS_bound_ms);
    if (boundMs < minBoundMs) {
        std::fprintf(stderr, "parsley-lab: --bound_ms must be at least %d\n", minBoundMs);
        return 2;
    }
    std::uint64_t findings = 0;
    for (const std::string &text : absl::GetFlag(FLAGS_sizes)) {
        FreshnessOptions options;
        options.bound = std::chrono::milliseconds(boundMs);
        if (!parseSize(text, options.size)) {
            std::fprintf(stderr, "parsley-lab: not a size: %s; sizes are given as entries x data centres, as 437x5\n", text.c_str());
            return 2;
        }
        std::uint64_t found = 0;
        std::uint64_t calls = 0;
        std::chrono::milliseconds slowest{0};
        const unsigned first = absl::GetFlag(FLAGS_seed);
        const unsigned schedules = absl::GetFlag(FLAGS_schedules);
        for (unsigned seed = first; seed < first + schedules; ++seed) {
            const FreshnessFigures figures = measureFreshness(options, seed);
            const bool isFinding = figures.late + figures.older > 0;
            found += isFinding ? 1 : 0;
            calls += figures.calls;
            slowest = std::max(slowest, figures.slowest);
            if (isFinding) {
                std::printf("%s seed %u: %s; went back %llu times\n", text.c_str(), seed, figures.firstLate.c_str(),
                            static_cast<unsigned long long>(figures.older));
                std::fflush(stdout);
            }
        }
        std::printf("%s: %u schedules, %llu with findings, slowest %lld ms, %llu calls to the store\n", text.c_str(), schedules,
                    static_cast<unsigned long long>(found), static_cast<long long>(slowest.count()), static_cast<unsigned long long>(calls));
        std::fflush(stdout);
        findings += found;
    }
    return findings > 0 ? 1 : 0;
}

} // namespace

int main(int argc, char **argv)
{
    absl::SetProgramUsageMessage(
        "experiments with the real policy code in simulated time\n\n  parsley-lab scale   what entries send and ask, by the size of the fleet\n"
        "  parsley-lab freshness   how old tables get while entries lose the store and each other");
    const std::vector<char *> arguments = absl::ParseCommandLine(argc, argv);
    const std::string experiment = arguments.size() == 2 ? arguments[1] : "";
    if (experiment == "scale") {
        return runScale();
    }
    if (experiment == "freshness") {
        return runFreshness();
    }
    std::fprintf(stderr, "parsley-lab: give one experiment: scale or freshness (--help tells more)\n");
    return 2;
}
