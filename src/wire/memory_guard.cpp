#include "wire/memory_guard.h"

#include "base/log.h"
#include "base/text.h"

#include <nlohmann/json.hpp>

#include <cstdlib>
#include <malloc.h>
#include <sys/resource.h>

namespace Parsleytrail
{

/// Interval of logging releases, of returning free memory, and of checking an account that a release could not bring below its limit.
constexpr milliseconds checkInterval{1000};
/// Free memory is returned to the system once this much less is held than before.
constexpr std::size_t returnedBytes = 8u << 20;
/// Buffers of this size and more are mapped one by one, so that freeing one returns its memory whatever else is in use. The allocator
/// would raise its own threshold each time that such a buffer is freed.
constexpr int mappedBufferBytes = 128 * 1024;
/// Share of the descriptors that clients' connections may take; the rest is for targets, the store and other processes.
constexpr double clientsDescriptorShare = 0.75;
constexpr double bytesPerMegabyte = 1e6;
constexpr double maxMegabytes = 1e9; ///< above any machine, and can't overflow a number of bytes

struct MemoryGuard::Private {
    Private(EventLoop &eventLoop, const Clock &systemClock)
        : loop(eventLoop)
        , clock(systemClock)
    {
    }

    EventLoop &loop;
    const Clock &clock;
    ClientMemory memory;
    MemoryGuardFigures figures;
    MemoryGuardFigures loggedFigures; ///< when the last event was logged
    std::size_t peakSinceReturn = 0;  ///< most bytes held since free memory was returned last
    std::vector<std::weak_ptr<const MemorySource>> sources;
    std::unique_ptr<Timer> checkTimer;
    bool isReleaseScheduled = false;
    std::shared_ptr<bool> alive = std::make_shared<bool>(true);

    void scheduleRelease();
    void release();
    void check();
    void logReleases();
    void returnFreeMemory();
};

/// Releases after the current callback: what is to be released may be in use there.
void MemoryGuard::Private::scheduleRelease()
{
    if (std::exchange(isReleaseScheduled, true)) {
        return;
    }
    loop.defer([this, weak = std::weak_ptr(alive)] {
        if (!weak.expired()) {
            isReleaseScheduled = false;
            release();
        }
    });
}

void MemoryGuard::Private::release()
{
    peakSinceReturn = std::max(peakSinceReturn, heldBytes(memory));
    if (!isOver(memory)) {
        return;
    }
    std::vector<MemoryHolder> holders;
    for (const auto &weak : sources) {
        if (const auto source = weak.lock()) {
            (*source)(holders);
        }
    }
    for (const std::size_t i : selectToRelease(memory, holders)) {
        ++(holders[i].use == MemoryUse::Receiving ? figures.requestsRefused : figures.connectionsClosed);
        holders[i].release();
    }
}

void MemoryGuard::Private::check()
{
    release();
    logReleases();
    returnFreeMemory();
    std::erase_if(sources, [](const auto &source) {
        return source.expired();
    });
}

void MemoryGuard::Private::logReleases()
{
    const std::uint64_t refused = figures.requestsRefused - loggedFigures.requestsRefused;
    const std::uint64_t closed = figures.connectionsClosed - loggedFigures.connectionsClosed;
    if (refused + closed == 0) {
        return;
    }
    logEvent(Event::ClientMemoryFull, {{"held", std::to_string(heldBytes(memory))},
                                       {"limit", std::to_string(memory.limits.total)},
                                       {"refused", std::to_string(refused)},
                                       {"closed", std::to_string(closed)}});
    loggedFigures = figures;
}

/// The allocator keeps freed memory between buffers that are in use; most of it is whole pages.
void MemoryGuard::Private::returnFreeMemory()
{
    peakSinceReturn = std::max(peakSinceReturn, heldBytes(memory));
    if (peakSinceReturn > heldBytes(memory) + returnedBytes) {
        peakSinceReturn = heldBytes(memory);
        malloc_trim(0);
    }
}

MemoryGuard::MemoryGuard(EventLoop &loop, const Clock &clock, const ClientMemoryLimits &limits)
    : d(std::make_unique<Private>(loop, clock))
{
    d->memory.limits = limits;
    d->memory.onOver = [this] {
        d->scheduleRelease();
    };
    d->checkTimer = std::make_unique<Timer>(loop, [this] {
        d->check();
    });
    d->checkTimer->startRepeating(checkInterval);
}

MemoryGuard::~MemoryGuard() = default;

ClientMemory &MemoryGuard::memory()
{
    return d->memory;
}

const ClientMemory &MemoryGuard::memory() const
{
    return d->memory;
}

std::shared_ptr<const MemorySource> MemoryGuard::addSource(MemorySource source)
{
    const auto shared = std::make_shared<const MemorySource>(std::move(source));
    d->sources.push_back(shared);
    return shared;
}

TimePoint MemoryGuard::now() const
{
    return d->clock.now();
}

void MemoryGuard::countRefused()
{
    ++d->figures.requestsRefused;
}

const MemoryGuardFigures &MemoryGuard::figures() const
{
    return d->figures;
}

std::string MemoryGuard::dump() const
{
    const nlohmann::json state = {{"limit", d->memory.limits.total},
                                  {"largeRequestsLimit", d->memory.limits.largeRequests},
                                  {"receiveBuffer", d->memory.limits.receiveBufferBytes},
                                  {"receiving", d->memory.receiving},
                                  {"working", d->memory.working},
                                  {"peak", d->memory.peak},
                                  {"requestsRefused", d->figures.requestsRefused},
                                  {"connectionsClosed", d->figures.connectionsClosed}};
    return state.dump();
}

std::size_t processMemoryBytes(std::int64_t megabytes)
{
    const char *text = std::getenv("PARSLEY_MEMORY_MB");
    double stated = 0;
    if (megabytes > 0) {
        stated = static_cast<double>(megabytes);
    } else if (text && !parseNumber(text, stated)) {
        stated = 0;
    }
    const bool isKnown = stated >= 1 && stated <= maxMegabytes; // false for NaN too
    return static_cast<std::size_t>((isKnown ? stated : smallestMachineMegabytes) * bytesPerMegabyte);
}

void prepareAllocator()
{
    mallopt(M_MMAP_THRESHOLD, mappedBufferBytes);
}

std::size_t descriptorLimit()
{
    rlimit limit{};
    const bool isKnown = getrlimit(RLIMIT_NOFILE, &limit) == 0 && limit.rlim_cur != RLIM_INFINITY;
    return isKnown ? limit.rlim_cur : 0;
}

std::size_t clientConnections(std::size_t descriptors)
{
    return static_cast<std::size_t>(clientsDescriptorShare * static_cast<double>(descriptors));
}

void exportMemoryMetrics(const MemoryGuard &guard, Metrics &metrics)
{
    const ClientMemory &memory = guard.memory();
    metrics.gauge("parsley_client_memory_bytes", "Memory that clients make this process hold.") = static_cast<double>(heldBytes(memory));
    metrics.gauge("parsley_client_memory_peak_bytes", "The most of it since the start.") = static_cast<double>(memory.peak);
    metrics.gauge("parsley_client_memory_limit_bytes", "Its limit.") = static_cast<double>(memory.limits.total);
    metrics.counter("parsley_client_memory_refused", "Requests refused before they were complete or passed on, for want of memory.") =
        guard.figures().requestsRefused;
    metrics.counter("parsley_client_memory_closed", "Connections closed with a response that their clients did not read, for want of memory.") =
        guard.figures().connectionsClosed;
}

} // namespace Parsleytrail
