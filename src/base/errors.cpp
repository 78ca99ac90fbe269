#include "base/errors.h"

namespace Parsleytrail
{

std::string Error::toString() const
{
    const std::string where = peer.empty() ? step : step + " (" + peer + ")";
    return where + ": " + text;
}

boost::leaf::error_id fail(std::string step, std::string peer, std::string text)
{
    return boost::leaf::new_error(Error{std::move(step), std::move(peer), std::move(text)});
}

} // namespace Parsleytrail
