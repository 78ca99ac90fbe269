// Groups of the load exchange: which aggregator is better, which group has room, and how long messages may take. Used by the parts of
// policy/load_exchange.h.
//
// Pure functions.
#pragma once

#include "policy/load_exchange.h"

namespace Parsleytrail
{

/// Whether `a` is the better aggregator. All entries use the same order, so that they select the same one.
bool isBetterAggregator(const EntryRef &a, const EntryRef &b);
/// Whether `a` has over 1.5 times the processor time of `b`. A smaller difference is no reason to hand a group over to a
/// member: each change of the aggregator interrupts load updates for some hundred milliseconds.
bool isMuchBetter(const EntryRef &a, const EntryRef &b);
/// Whether this is the entry itself.
bool isOwn(const LoadExchange &exchange, const EntryRef &entry);
bool isSameDataCenter(const LoadExchange &exchange, const EntryRef &entry);
/// Whether the aggregator at a host has timed out or is stopping, and is not tried yet.
bool isUnresponsive(const LoadExchange &exchange, const std::string &host, TimePoint now);
/// Interval between messages of this entry, and of the others of its data centre, which list the same targets.
milliseconds sendInterval(const LoadExchange &exchange);
/// Intervals in which an aggregator sends a summary to each other group once.
std::size_t summaryTurns(const LoadExchange &exchange);
/// Timeout for messages that are due every `interval`, from that of messages due every exchangeInterval. Up to two may be lost in a
/// row; otherwise a data centre with many targets would lose its aggregator with each lost datagram.
milliseconds extendedTimeout(milliseconds timeout, milliseconds interval);
/// Timeout of messages from other groups, each of which sends its summaries to all others in turn.
milliseconds groupTimeout(const LoadExchange &exchange);
/// Whether an aggregator has responded recently.
bool hasRecentDigest(const LoadExchange &exchange, TimePoint now);
/// Whether the members and groups of a new aggregator may not all have reported yet. Until then the digest that it received
/// as a member is used.
bool isTakingOver(const LoadExchange &exchange, TimePoint now);
/// Whether this entry looks for a group to join after its start.
bool isJoining(const LoadExchange &exchange, TimePoint now);
/// Whether this entry knows its place after a start: its aggregator has accepted it, or it is one that others report to.
bool hasGroup(const LoadExchange &exchange);
/// Entries of a group, its aggregator included.
std::size_t groupSize(const GroupSummary &summary);
/// Aggregator of the group that `joining` entries of a data centre should join: the best one whose group has that many free slots.
/// Null if none is known.
const EntryRef *groupToJoin(const LoadExchange &exchange, const std::string &dataCenter, std::size_t joining, TimePoint now);
/// The member that becomes the aggregator when this entry stops or times out; no id: none.
EntryRef standbyAggregator(const LoadExchange &exchange);

} // namespace Parsleytrail
