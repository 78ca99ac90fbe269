// How old an entry's copies of the store's tables are: the time since the store is known to have held nothing newer.
//
// The age is carried along with every copy and never reset by passing it on. An entry decides by it whether to rely on another
// one, whether to ask the store itself, and whether it may refuse a request as its configuration says.
//
//     recordAnswer(age, provenAt);                                        // an entry that asks the store
//     recordProof(age, source.proof, configurationChange, targetsChange); // an entry that copies
//     if (isOld(age.provenAt, limits.maxAge, now)) ... // ask the store
//
// Pure functions.
#pragma once

#include "base/clock.h"

#include <cstdint>

namespace Parsleytrail
{

/// When the store is known to have held nothing newer than certain changes of its tables.
struct TablesProof {
    TimePoint provenAt{};                  ///< zero: never
    std::uint64_t configurationChange = 0; ///< of the configuration table
    std::uint64_t targetsChange = 0;       ///< of the target table
};

/// How old an entry's own tables are.
struct OwnTablesAge {
    TimePoint provenAt{};  ///< when the store is known to have held nothing newer; zero: never
    TablesProof awaited{}; ///< of an entry that it copies from, with changes that have not arrived yet; zero: none
};

/// Whether tables that were proven at `provenAt` are older than `maxAge`. A limit of zero: never.
bool isOld(TimePoint provenAt, milliseconds maxAge, TimePoint now);
/// The store itself told this entry of all changes of both tables up to `provenAt`; zero: it has not yet.
void recordAnswer(OwnTablesAge &age, TimePoint provenAt);
/// Another entry's tables were proven. They prove the own ones once these include their changes.
void recordProof(OwnTablesAge &age, const TablesProof &other, std::uint64_t configurationChange, std::uint64_t targetsChange);

/// Age of tables as it is written into a message that is sent at `now`, in milliseconds.
std::uint16_t ageForMessage(TimePoint provenAt, TimePoint now);
/// When the tables of a sender were proven whose message was received at `receivedAt`; zero: never. The time that the message took is not
/// known and not counted.
TimePoint provenAtFromMessage(std::uint16_t ageMs, TimePoint receivedAt);

} // namespace Parsleytrail
