#include "policy/departure.h"

namespace Parsleytrail
{

milliseconds drawLeaveDelay(milliseconds drainTime, std::mt19937_64 &random)
{
    std::uniform_int_distribution<std::int64_t> delay(0, drainTime.count() / 2);
    return milliseconds(delay(random));
}

} // namespace Parsleytrail
