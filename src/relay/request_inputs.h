// Fingerprints by which crashes of targets are attributed: of a whole request, and of the parts of its prompt that other requests may share.
#pragma once

#include "relay/forwarding.h"

#include <cstdint>
#include <optional>
#include <string>
#include <vector>

namespace Parsleytrail
{

constexpr std::size_t maxSharedParts = 32; ///< further parts of a prompt are not looked at

/// Fingerprint of what a request asks for: equal for all attempts of the same request by the same workspace, at any entry. Attempt
/// ids, and other fields that differ between attempts, are not part of it.
std::uint64_t inputFingerprint(const ForwardedRequest &request);
/// Formats a fingerprint as 16 hexadecimal digits, for logs.
std::string inputText(const ForwardedRequest &request);

/// Fingerprints of the parts of the request's prompt, in order and without the last one, which no other request has. The same part has
/// another fingerprint for another model.
std::vector<std::uint64_t> sharedPartFingerprints(const RelayContext &context, const ForwardedRequest &request);
/// Formats fingerprints for logs, separated by commas.
std::string fingerprintsText(const std::vector<std::uint64_t> &fingerprints);
/// Both of the above.
RequestInputs inputsOf(const RelayContext &context, const ForwardedRequest &request);

/// Whether the request was open at a crash of a target.
bool isSuspectInput(const RelayContext &context, const ForwardedRequest &request);
/// The input that the request is refused for because it crashes targets; nothing if it may run.
std::optional<std::uint64_t> findQuarantinedInput(const RelayContext &context, const ForwardedRequest &request);

} // namespace Parsleytrail
