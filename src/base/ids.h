// Strong types for names and numbers in the interfaces of modules.
//
// A TargetId can't be passed where a RequestId is expected. Each type is a plain struct around its value.
#pragma once

#include <compare>
#include <cstdint>
#include <functional>
#include <string>

namespace Parsleytrail
{

/// A name. Tag makes names of different kinds distinct types.
template<typename Tag>
struct Name {
    std::string value; ///< empty: none

    auto operator<=>(const Name &) const = default;
    bool isEmpty() const
    {
        return value.empty();
    }
};

/// A number. Tag makes numbers of different kinds distinct types.
template<typename Tag, typename Rep>
struct Number {
    Rep value = 0; ///< 0: none

    auto operator<=>(const Number &) const = default;
};

using RequestId = Name<struct RequestIdTag>;         ///< id of a request of a caller, unique in the system
using TargetId = Name<struct TargetIdTag>;           ///< id of an engine or application and of its sidecar
using EntryId = Name<struct EntryIdTag>;             ///< id of an entry, the process that callers send requests to
using ModelName = Name<struct ModelNameTag>;         ///< name of a model of the configuration
using ServiceName = Name<struct ServiceNameTag>;     ///< name of a service of the configuration
using WorkspaceName = Name<struct WorkspaceNameTag>; ///< name of a workspace of the configuration

using Incarnation = Number<struct IncarnationTag, std::uint64_t>;                   ///< start of a process, microseconds since 1970; higher for a later start
using Attempt = Number<struct AttemptTag, std::uint32_t>;                           ///< attempt at a request, counted from 1
using ConfigurationVersion = Number<struct ConfigurationVersionTag, std::uint64_t>; ///< version of an accepted configuration, from 1
using FencingNumber = Number<struct FencingNumberTag, std::uint64_t>;               ///< increases with each change of a lease's holder

} // namespace Parsleytrail

template<typename Tag>
struct std::hash<Parsleytrail::Name<Tag>> {
    std::size_t operator()(const Parsleytrail::Name<Tag> &name) const noexcept
    {
        return std::hash<std::string>()(name.value);
    }
};
