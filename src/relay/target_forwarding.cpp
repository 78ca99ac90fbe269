#include "relay/target_forwarding.h"

#include "base/log.h"

namespace Parsleytrail
{

TargetForwarding::TargetForwarding(RelayContext &context, ForwardedRequest request, const ForwardingHooks &hooks)
    : m_context(context)
    , m_hooks(hooks)
    , m_request(std::move(request))
{
}

void TargetForwarding::installCallerHandlers()
{
    m_request.exchange->onDisconnected([self = shared_from_this(), this] {
        recordCallerDisconnected(m_context, m_request, m_attempts);
        end();
    });
    m_request.exchange->onDrained([this] {
        if (m_exchange) {
            m_exchange->pauseReading(false);
        }
    });
}

void TargetForwarding::sendTo(const TargetId &target, const Address &address, const std::vector<AddedField> &added)
{
    TargetRequest request;
    request.address = address;
    request.bytes = serializeRequest(m_context, m_request, target, added);
    request.isHead = m_request.exchange->head().method == "HEAD";
    // A target may close an idle connection just as a request arrives, and the reset does not show whether the request ran.
    // A request that must not run twice could not be retried then, so it always gets a new connection.
    request.allowsReuse = canRetryAfterRun();
    request.idField = m_context.adapter.headers().attemptId;
    request.id = m_request.attemptId;
    TargetExchange::Handlers handlers;
    handlers.onHead = [self = shared_from_this(), this](const HttpHead &head) {
        handleHead(head);
    };
    handlers.onBody = [self = shared_from_this(), this](std::string &body) {
        handleBody(body);
    };
    handlers.onDone = [self = shared_from_this(), this] {
        handleEnd();
    };
    handlers.onFailure = [self = shared_from_this(), this, target, sentAt = m_context.clock.now()](const TargetFailure &failure) {
        if (failure.mayHaveRun) {
            logCrash(target, sentAt);
        }
        handleFailure(failure);
    };
    m_exchange = TargetExchange::start(m_context.connections, std::move(request), std::move(handlers));
}

void TargetForwarding::logCrash(const TargetId &target, TimePoint sentAt)
{
    m_hooks.checkForCrash(target, [self = shared_from_this(), this, target, sentAt, failedAt = m_context.clock.now()](TargetCondition condition) {
        if (condition == TargetCondition::Running) {
            return;
        }
        ++m_context.metrics.crashedRuns;
        const auto open = std::chrono::duration_cast<milliseconds>(failedAt - sentAt);
        logEvent(Event::TargetCrashed, {{"target", target.value},
                                        {"condition", toString(condition)},
                                        {"id", m_request.attemptId},
                                        {"input", inputText(m_request)},
                                        {"workspace", m_request.workspace.value},
                                        {"open_ms", std::to_string(open.count())}});
    });
}

void TargetForwarding::cancelExchange()
{
    if (m_exchange) {
        std::exchange(m_exchange, nullptr)->cancel();
    }
}

void TargetForwarding::abandon()
{
    m_request.exchange->onDisconnected(nullptr);
    m_request.exchange->onDrained(nullptr);
    end();
}

void TargetForwarding::end()
{
    endAttempt();
    m_isOver = true;
}

} // namespace Parsleytrail
