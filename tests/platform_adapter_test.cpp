// Tests that the platform's messages are decoded correctly when members are missing, of another type or out of range.
#include "platform/platform_adapter.h"

#include <absl/strings/escaping.h>
#include <boost/test/unit_test.hpp>

using namespace Parsleytrail;

namespace
{

/// Decodes a configuration; returns the error's text, or an empty string on success.
std::string configurationError(const std::string &json, RouteTable *table = nullptr)
{
    const std::unique_ptr<PlatformAdapter> adapter = makePlatformAdapter();
    Error error;
    const bool isDecoded = runCatching(
        [&]() -> Result<void> {
            BOOST_LEAF_AUTO(decoded, adapter->decodeConfiguration(json));
            if (table) {
                *table = std::move(decoded);
            }
            return {};
        },
        error);
    return isDecoded ? std::string() : error.toString();
}

} // namespace

BOOST_AUTO_TEST_SUITE(platform_adapter)

BOOST_AUTO_TEST_CASE(members_that_may_be_missing_have_their_defaults)
{
    RouteTable table;
    const std::string json = R"({"version": 7, "services": [{"name": "shop"}], "routes": [{"prefix": "/a/", "service": "shop"},
        {"prefix": "/b/", "kind": "idempotent", "timeoutMs": 1500.7, "trafficSplit": [{"service": "shop", "weight": 3}, {"service": "till"}]}]})";
    BOOST_TEST(configurationError(json, &table) == "");
    BOOST_TEST(table.version.value == 7u);
    BOOST_TEST(!table.requiresKeys);
    BOOST_REQUIRE(table.routes.size() == 2u);
    BOOST_TEST((table.routes[0].kind == CallKind::NonIdempotent));
    BOOST_TEST(table.routes[0].services.front().service.value == "shop");
    BOOST_TEST((table.routes[1].kind == CallKind::Idempotent));
    BOOST_TEST(table.routes[1].timeout.count() == 1500);
    BOOST_TEST(table.routes[1].services.front().weight == 3.0);
    BOOST_TEST(table.routes[1].services.back().weight == 1.0);
    BOOST_TEST(table.limits.maxHeaderBytes == CallerLimits().maxHeaderBytes);
}

BOOST_AUTO_TEST_CASE(a_configuration_that_is_not_understood_is_refused_whole)
{
    // A partly applied configuration would route callers to the wrong service: the previous one stays in force.
    for (const char *json : {"", "[]", "{", R"({"version": 7, "routes": []})", R"({"version": "7", "routes": [], "services": []})",
                             R"({"version": 7, "routes": [{"service": "shop"}], "services": []})", R"({"version": 7, "routes": [5], "services": []})",
                             R"({"version": 7, "routes": [{"prefix": "/", "timeoutMs": "long"}], "services": []})",
                             R"({"version": 7, "routes": [{"prefix": "/", "priority": 1e300}], "services": []})",
                             R"({"version": 7, "routes": [{"prefix": "/", "public": 1}], "services": []})", R"({"version": -7, "routes": [], "services": []})",
                             R"({"version": 7, "routes": {}, "services": []})"}) {
        BOOST_TEST_CONTEXT(json)
        {
            BOOST_TEST(configurationError(json).find("decode configuration") != std::string::npos);
        }
    }
}

BOOST_AUTO_TEST_CASE(rows_come_with_their_values_decoded)
{
    const std::unique_ptr<PlatformAdapter> adapter = makePlatformAdapter();
    const std::string json = R"({"rows": [{"key": "a", "schemaVersion": 3, "value": ")" + absl::Base64Escape("{\"x\": 1}")
                             + R"("}, {"key": "b", "deleted": true}, {"key": "c", "value": "no base64!"}], "schemaVersion": 9, "nowMs": 12, "hasMore": true})";
    const RowPage page = adapter->decodeRows(json).value();
    BOOST_TEST(page.revision == 9u);
    BOOST_TEST(page.storeTimeMs == 12);
    BOOST_TEST(page.hasMore);
    BOOST_REQUIRE(page.rows.size() == 3u);
    BOOST_TEST(page.rows[0].value == "{\"x\": 1}");
    BOOST_TEST(page.rows[0].version == 3u);
    BOOST_TEST(page.rows[1].isDeleted);
    BOOST_TEST(page.rows[2].value == "");
}

BOOST_AUTO_TEST_SUITE_END()
