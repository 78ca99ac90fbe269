#include "entry/input_guard.h"

#include "base/log.h"
#include "base/text.h"

#include <nlohmann/json.hpp>

#include <algorithm>

namespace Parsleytrail
{

struct InputGuard::Private {
    EntryContext &context;
    Quarantine quarantine;
    std::function<void(const SuspicionNotice &)> noticeHandler;
    std::uint64_t &quarantinedCount;

    void addSuspicion(std::uint64_t fingerprint, const Suspicion &suspicion);
    SuspicionNotice toNotice(std::uint64_t fingerprint, const Suspicion &suspicion) const;
};

SuspicionNotice InputGuard::Private::toNotice(std::uint64_t fingerprint, const Suspicion &suspicion) const
{
    return {fingerprint, {suspicion.crashes.begin(), suspicion.crashes.end()}, suspicion.service, suspicion.workspace, suspicion.request};
}

void InputGuard::Private::addSuspicion(std::uint64_t fingerprint, const Suspicion &suspicion)
{
    const bool wasQuarantined = classifyInput(quarantine, fingerprint) == InputStatus::Quarantined;
    if (!recordCrash(quarantine, fingerprint, suspicion, context.clock.now())) {
        return;
    }
    const bool isQuarantined = classifyInput(quarantine, fingerprint) == InputStatus::Quarantined;
    if (isQuarantined && !wasQuarantined) {
        ++quarantinedCount;
    }
    logEvent(isQuarantined ? Event::InputConvicted : Event::InputSuspected, {{"fingerprint", fingerprintText(fingerprint)},
                                                                             {"service", suspicion.service.value},
                                                                             {"workspace", suspicion.workspace.value},
                                                                             {"request", suspicion.request.value}});
    noticeHandler(toNotice(fingerprint, quarantine.suspicions.at(fingerprint)));
}

InputGuard::InputGuard(EntryContext &context)
    : d(new Private{context, {}, {}, context.metrics.counter("parsley_inputs_convicted", "Inputs refused because they kill engines.")})
{
}

InputGuard::~InputGuard() = default;

void InputGuard::onNotice(std::function<void(const SuspicionNotice &)> handler)
{
    d->noticeHandler = std::move(handler);
}

InputStatus InputGuard::classify(std::uint64_t fingerprint, const std::vector<std::string> &allowed) const
{
    const InputStatus status = classifyInput(d->quarantine, fingerprint);
    const bool isAllowed = status == InputStatus::Quarantined && std::find(allowed.begin(), allowed.end(), fingerprintText(fingerprint)) != allowed.end();
    return isAllowed ? InputStatus::Suspect : status;
}

void InputGuard::recordEngineCrash(std::uint64_t fingerprint, std::uint64_t crash, const ServiceName &service, const WorkspaceName &workspace,
                                   const RequestId &request)
{
    d->addSuspicion(fingerprint, {{crash}, service, workspace, request, {}});
}

void InputGuard::clearInput(std::uint64_t fingerprint)
{
    if (clearSuspicion(d->quarantine, fingerprint)) {
        d->noticeHandler({fingerprint, {}, {}, {}, {}});
    }
}

void InputGuard::handleNotice(const SuspicionNotice &notice)
{
    // A notice without crashes clears the input.
    if (notice.crashes.empty()) {
        return clearInput(notice.fingerprint);
    }
    d->addSuspicion(notice.fingerprint, {{notice.crashes.begin(), notice.crashes.end()}, notice.service, notice.workspace, notice.request, {}});
}

std::vector<SuspicionNotice> InputGuard::notices() const
{
    std::vector<SuspicionNotice> list;
    for (const auto &[fingerprint, suspicion] : d->quarantine.suspicions) {
        list.push_back(d->toNotice(fingerprint, suspicion));
    }
    return list;
}

void InputGuard::prune()
{
    Parsleytrail::prune(d->quarantine, d->context.clock.now());
}

nlohmann::json InputGuard::describe() const
{
    nlohmann::json list = nlohmann::json::array();
    for (const auto &[fingerprint, suspicion] : d->quarantine.suspicions) {
        const bool isQuarantined = classifyInput(d->quarantine, fingerprint) == InputStatus::Quarantined;
        list.push_back({{"fingerprint", fingerprintText(fingerprint)},
                        {"standing", isQuarantined ? "refused" : "suspect"},
                        {"crashes", suspicion.crashes.size()},
                        {"service", suspicion.service.value},
                        {"workspace", suspicion.workspace.value},
                        {"request", suspicion.request.value}});
    }
    return list;
}

} // namespace Parsleytrail
