// Errors that carry the step and the peer at which they arose.
//
// Functions that finish at once return Result<T>; callbacks of asynchronous work are handed an Error.
#pragma once

#include <boost/leaf/error.hpp>
#include <boost/leaf/result.hpp>

#include <string>

namespace Parsleytrail
{

/// What went wrong, where.
struct Error {
    std::string step; ///< what was being done, e.g. "read settings"
    std::string peer; ///< other side or file, e.g. "127.0.0.1:8090"; empty if none
    std::string text; ///< reason

    /// "step (peer): text", for logs and people.
    std::string toString() const;
};

template<typename T>
using Result = boost::leaf::result<T>;

/// Fails a function that returns Result.
boost::leaf::error_id fail(std::string step, std::string peer, std::string text);

/// Runs `work`, which returns Result<void>; returns true, or false with `error` filled.
template<typename Work>
bool runCatching(Work &&work, Error &error);

} // namespace Parsleytrail

#include <boost/leaf/handle_errors.hpp>

template<typename Work>
bool Parsleytrail::runCatching(Work &&work, Error &error)
{
    return boost::leaf::try_handle_all(
        [&]() -> Result<bool> {
            BOOST_LEAF_CHECK(work());
            return true;
        },
        [&](const Error &caught) {
            error = caught;
            return false;
        },
        [&] {
            error = {"unknown", "", "unknown error"};
            return false;
        });
}
