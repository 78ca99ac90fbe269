// Decides whether a stream starts in another data centre than its entry's, and how many streams do.
//
// A stream leaves only if no local chain is expected to yield its first event in time, and a chain elsewhere is. All entries of an
// overloaded data centre decide this at about the same time, from loads that are some hundred milliseconds old. Two limits keep them
// from overloading the other place together: a share of the streams that leave, which is adapted once a second, and an allowance
// for each data centre and second, which is the entry's share of the streams that still fit there.
//
//     DataCenterChoice state;
//     const Choice choice = chooseDataCenter(state, inputs, now);   // changes nothing
//     recordChoice(state, inputs, choice, now);                     // the stream starts there
//     recordFirstEvent(state, dataCenter, delayMs, now);            // its first event arrived
//     adaptLeavingShare(state);                                     // once a second
//
// Pure: the caller passes the time and random numbers in.
#pragma once

#include "policy/silence.h"

#include <cstdint>
#include <map>
#include <string>
#include <string_view>
#include <vector>

namespace Parsleytrail
{

/// Least share of the streams without a local chain in time that leave; also the initial share. It does not fall to zero, so that
/// the first streams of an overload need not wait for the next adaptation; streams with a local chain in time stay in any case.
constexpr double minLeavingShare = 0.25;
/// Factor on the share after a second in which local chains mostly missed their targets.
constexpr double leavingShareGrowth = 2;
/// Factor on the share after a second in which they mostly met them.
constexpr double leavingShareDecay = 0.75;
/// Time for which an allowance is granted.
constexpr milliseconds allowanceWindow{1000};
/// Reports that are older say nothing about how many streams still fit; exchangeTimeout of policy/load_exchange.h.
constexpr milliseconds maxReportAge{1500};
/// An observed delay of first events counts for this long. Callers disconnect after two seconds without an event, so that a queue
/// that was observed earlier is gone.
constexpr milliseconds firstEventLifetime{2000};

/// Delays of first events that were observed in a data centre, without the forecast backlog and the delay of the link.
struct ObservedFirstEvents {
    DelayEstimate delay;
    TimePoint observedAt{}; ///< when the last one was observed
};

/// Streams that may still leave for a data centre.
struct LeavingAllowance {
    TimePoint grantedAt{};    ///< begin of the current window
    double carried = 0;       ///< part of a stream left from earlier windows; negative: more streams left than were granted
    double left = 0;          ///< streams that may still leave in this window
    std::uint64_t leaves = 0; ///< streams that left since the start of the process
};

/// Streams that had a local chain which would be late, and stayed, by reason; since the last adaptation.
struct StayCounts {
    int byShare = 0;        ///< not part of the share that leaves
    int byAllowance = 0;    ///< no allowance was left
    int lateEverywhere = 0; ///< late in each data centre
    int byStaleReports = 0; ///< the reports of other entries were too old
    int total() const
    {
        return byShare + byAllowance + lateEverywhere + byStaleReports;
    }
};

/// State of the choice for one service in one entry.
struct DataCenterChoice {
    double leavingShare = minLeavingShare;               ///< of the streams without a local chain in time
    int arrivals = 0;                                    ///< streams since the last adaptation
    int localMisses = 0;                                 ///< of these, streams whose local chain would be late
    double arrivalsPerSecond = 0;                        ///< in the last whole second
    StayCounts stays;                                    ///< since the last adaptation
    std::map<std::string, LeavingAllowance> allowances;  ///< by data centre
    std::map<std::string, ObservedFirstEvents> observed; ///< by data centre
};

/// A data centre as a place to start a stream.
struct DataCenterOption {
    std::string dataCenter;    ///< its name
    bool hasChain = false;     ///< a chain of its engines has room for the stream
    double costMs = 0;         ///< cost of that chain
    double firstEventMs = 0;   ///< forecast of the first event on that chain
    double fittingStreams = 0; ///< further streams that fit, as last reported
};

/// What is known when a stream is about to start.
struct ChoiceInputs {
    DataCenterOption local;               ///< the entry's own data centre
    std::vector<DataCenterOption> others; ///< all others; may be left empty if the stream stays anyway, see mayLeave()
    bool hasTarget = false;               ///< the first event is wanted within msLeft
    double msLeft = 0;                    ///< time until the first event is late
    milliseconds reportAge{0};            ///< age of the newest report of the other entries
    double demandShare = 1;               ///< this entry's share of all streams, see demandShare()
    double draw = 0;                      ///< uniform in [0, 1): decides whether the stream is part of the share that leaves
};

/// Why a stream starts where it does.
enum class ChoiceReason : std::uint8_t {
    LocalInTime,     ///< the local chain is in time, or there is no target
    NoLocalChain,    ///< elsewhere, as there is no local chain
    ElsewhereInTime, ///< elsewhere, as the local chain would be late
    NotInShare,      ///< local although late: not part of the share that leaves
    NoAllowance,     ///< local although late: the entry's share of the streams that fit elsewhere is used up
    LateEverywhere,  ///< local: late in each data centre
    StaleReports,    ///< local although late: nothing recent is known of the other data centres
    NoChain          ///< no data centre has a chain
};
std::string_view choiceReasonName(ChoiceReason reason);

/// Where a stream starts.
struct Choice {
    std::string dataCenter; ///< empty: none has a chain
    ChoiceReason reason = ChoiceReason::NoChain;
    double share = 0;     ///< the share that left was compared with
    double allowance = 0; ///< streams that might leave for the chosen data centre in this window
};

/// Time in ms in which engines without other work yield the first event of a stream: they process its prompt, then execute a pass.
double unloadedFirstEventMs(const Fleet &fleet, const EngineModel &model, const std::vector<ChainStage> &chain, double tokens);
/// Time until the first event on a chain, ms: what is usual in the data centre, which is `unloadedMs` if nothing was observed lately,
/// the largest backlog of the chain's engines, and the link in both directions.
double firstEventForecastMs(const DataCenterChoice &state, const std::string &dataCenter, double unloadedMs, double backlogMs, double linkMs, TimePoint now);
/// Records the first event of a stream that started in a data centre; `delayMs` is its delay without the backlog that was forecast
/// and without the link.
void recordFirstEvent(DataCenterChoice &state, const std::string &dataCenter, double delayMs, TimePoint now);

/// This entry's share of all open requests of a service; of an entry that hears no others (`isAlone`), one of `entries` equal ones.
double demandShare(const Fleet &fleet, const ServiceName &service, bool isAlone, int entries);

/// Whether the stream may have to leave, so that ChoiceInputs::others is needed.
bool mayLeave(const ChoiceInputs &inputs);
/// Where a stream starts. Changes nothing.
Choice chooseDataCenter(const DataCenterChoice &state, const ChoiceInputs &inputs, TimePoint now);
/// Counts a stream that starts where `choice` says.
void recordChoice(DataCenterChoice &state, const ChoiceInputs &inputs, const Choice &choice, TimePoint now);
/// Streams that may leave for a data centre in the current window.
double leavingAllowance(const DataCenterChoice &state, const DataCenterOption &option, double demandShare, TimePoint now);
/// Adapts the share that leaves, and begins the next counts. Called once a second.
void adaptLeavingShare(DataCenterChoice &state);

} // namespace Parsleytrail
