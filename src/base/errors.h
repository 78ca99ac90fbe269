// Errors that carry the step that failed and the peer or file involved.
//
// Synchronous functions return Result<T>; callbacks of asynchronous operations receive an Error.
#pragma once

#include <boost/leaf/error.hpp>
#include <boost/leaf/result.hpp>

#include <string>

namespace Parsleytrail
{

/// A failed step, the other side and the reason.
struct Error {
    std::string step; ///< operation that failed, e.g. "read settings"
    std::string peer; ///< peer or file involved, e.g. "127.0.0.1:8090"; empty if none
    std::string text; ///< reason

    /// "step (peer): text", or "step: text" without a peer.
    std::string toString() const;
};

template<typename T>
using Result = boost::leaf::result<T>;

/// Creates the error to return from a function with the return type Result.
boost::leaf::error_id fail(std::string step, std::string peer, std::string text);

/// Runs `work`, which returns Result<void>. Returns true on success; else false, with `error` set.
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
