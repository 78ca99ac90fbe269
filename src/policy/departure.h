// Decides when running streams leave an engine that drains.
//
// Pure: randomness is passed in.
#pragma once

#include "base/clock.h"

#include <random>

namespace Parsleytrail
{

/// How long a running stream stays at an engine that was seen to drain: a random part of the first half of `drainTime`, for which
/// the engine continues to serve.
///
/// The engines that take over process all tokens of a stream again. If all streams left at once, most of them would wait for the
/// others and pause for longer than their callers accept. Short streams end before they have to leave.
milliseconds drawLeaveDelay(milliseconds drainTime, std::mt19937_64 &random);

} // namespace Parsleytrail
