#include "relay/request_inputs.h"

#include "base/digest.h"
#include "base/text.h"

#include <algorithm>

namespace Parsleytrail
{

std::uint64_t inputFingerprint(const ForwardedRequest &request)
{
    const HttpHead &head = request.exchange->head();
    std::uint64_t hash = hash64(request.exchange->body());
    for (const std::string_view part :
         {std::string_view(request.workspace.value), head.find("Host"), std::string_view(head.target), std::string_view(head.method)}) {
        hash = hash64(part, hash);
    }
    return requestFingerprint(hash);
}

std::string inputText(const ForwardedRequest &request)
{
    return fingerprintText(inputFingerprint(request));
}

std::vector<std::uint64_t> sharedPartFingerprints(const RelayContext &context, const ForwardedRequest &request)
{
    const HeaderNames &names = context.adapter.headers();
    const HttpHead &head = request.exchange->head();
    std::vector<std::string> ids = context.adapter.decodePromptParts(head.find(names.promptParts));
    if (!ids.empty()) {
        ids.pop_back();
    }
    ids.resize(std::min(ids.size(), maxSharedParts));
    const std::uint64_t model = hash64(head.find(names.model));
    std::vector<std::uint64_t> fingerprints;
    fingerprints.reserve(ids.size());
    for (const std::string &id : ids) {
        fingerprints.push_back(partFingerprint(hash64(id, model)));
    }
    return fingerprints;
}

std::string fingerprintsText(const std::vector<std::uint64_t> &fingerprints)
{
    std::vector<std::string> texts;
    texts.reserve(fingerprints.size());
    for (const std::uint64_t fingerprint : fingerprints) {
        texts.push_back(fingerprintText(fingerprint));
    }
    return joined(texts, ",");
}

RequestInputs inputsOf(const RelayContext &context, const ForwardedRequest &request)
{
    return {inputFingerprint(request), sharedPartFingerprints(context, request)};
}

bool isSuspectInput(const RelayContext &context, const ForwardedRequest &request)
{
    return !context.crashingRequests.records.empty() && isSuspect(context.crashingRequests, inputFingerprint(request));
}

std::optional<std::uint64_t> findQuarantinedInput(const RelayContext &context, const ForwardedRequest &request)
{
    if (context.crashingRequests.records.empty()) {
        return std::nullopt;
    }
    return findQuarantined(context.crashingRequests, inputsOf(context, request));
}

} // namespace Parsleytrail
