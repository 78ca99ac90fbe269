// What identifies a request as the possible cause of a crash: the whole of it, and the parts of its prompt that others may share.
#pragma once

#include "relay/forwarding.h"

#include <cstdint>
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
/// Formats them for logs.
std::string sharedPartsText(const RelayContext &context, const ForwardedRequest &request);

/// Whether the request was open at a crash of a target, and whether it is refused because it crashes targets.
bool isSuspectInput(const RelayContext &context, const ForwardedRequest &request);
bool isQuarantinedInput(const RelayContext &context, const ForwardedRequest &request);

} // namespace Parsleytrail
