// Index of this file:
// [SECTION] Settings

#include "damaskhill_impl_direct.hpp"

#include <boost/test/unit_test.hpp>

#include <cstdio>
#include <fstream>

using namespace damaskhill;

namespace {

const std::string settings_file = "/tmp/damaskhill_test_direct_settings.json";

std::optional<direct_daemon_settings> load(const json& document, failure& error) {
    std::ofstream{settings_file} << document.dump();
    auto settings = load_direct_settings(settings_file, error);
    std::remove(settings_file.c_str());
    return settings;
}

json valid_settings() {
    return {{"name", "front-1"},
            {"data_centre", "dc-a"},
            {"http_address", "10.1.0.33:8783"},
            {"ready_address", "10.1.0.33:8780"},
            {"control_address", "10.1.0.33:8785"},
            {"report_address", "10.1.0.33:7400"},
            {"store_address", "10.200.1.7:8781"},
            {"seeds", {"10.2.0.18:8785"}},
            {"link_keys", {{{"number", 1}, {"secret", "sixteen bytes or more"}}}},
            {"key_limit_ms", 5000},
            {"stop_limit_s", 8.5}};
}

} // namespace

BOOST_AUTO_TEST_SUITE(direct_settings)

// Guards against a router that starts with an unknown field or a value out of range, or whose error does not
// name the field.
BOOST_AUTO_TEST_CASE(invalid_settings_are_rejected_by_name) {
    failure error;
    BOOST_REQUIRE(load(valid_settings(), error).has_value());
    json misspelled = valid_settings();
    misspelled["cold_slak"] = 5;
    BOOST_TEST(!load(misspelled, error).has_value());
    BOOST_TEST((error.kind == failure_kind::unknown_field));
    json address = valid_settings();
    address["seeds"] = {"somewhere"};
    BOOST_TEST(!load(address, error).has_value());
    BOOST_TEST((error.where.find("seeds") != std::string::npos));
    json limit = valid_settings();
    limit["key_limit_ms"] = 10;
    BOOST_TEST(!load(limit, error).has_value());
    BOOST_TEST((error.kind == failure_kind::out_of_range));
    limit = valid_settings();
    limit["max_descriptors"] = 100;
    BOOST_TEST(!load(limit, error).has_value());
    BOOST_TEST((error.kind == failure_kind::out_of_range));
}

// Guards against limits of clients that are out of range or get lost, and against addresses that together
// need more descriptors than the process has.
BOOST_AUTO_TEST_CASE(client_limits_derive_from_settings_file) {
    failure error;
    for (const char* name : {"max_header_bytes", "header_timeout_ms", "idle_timeout_ms", "body_timeout_ms"}) {
        json document = valid_settings();
        document[name] = 1;
        BOOST_TEST(!load(document, error).has_value());
        BOOST_TEST((error.kind == failure_kind::out_of_range));
        BOOST_TEST((error.where.find(name) != std::string::npos));
    }
    json document = valid_settings();
    document["header_timeout_ms"] = 4000;
    document["idle_timeout_ms"] = 20000;
    document["body_timeout_ms"] = 30000;
    document["max_header_bytes"] = 20000;
    for (const std::uint64_t descriptors : {256U, 4096U, 65536U}) {
        document["max_descriptors"] = descriptors;
        const auto settings = load(document, error);
        BOOST_REQUIRE(settings.has_value());
        const client_limit_settings callers = caller_limits_of(*settings);
        BOOST_TEST((callers.head_timeout == 4s));
        BOOST_TEST((callers.idle_timeout == 20s));
        BOOST_TEST((callers.body_timeout == 30s));
        BOOST_TEST(callers.max_header_bytes == 20000U);
        const std::size_t others = control_limits_of(*settings).max_connections;
        BOOST_TEST(callers.max_connections + 2 * others < descriptors * 3 / 4);
    }
    // The defaults of the settings are those of the limits.
    const auto settings = load(valid_settings(), error);
    BOOST_REQUIRE(settings.has_value());
    BOOST_TEST((caller_limits_of(*settings).head_timeout == client_limit_settings{}.head_timeout));
    BOOST_TEST((caller_limits_of(*settings).idle_timeout == client_limit_settings{}.idle_timeout));
}

// Guards against duties that fail only when they are due, and against a start that fails over duties that
// nobody asks for.
BOOST_AUTO_TEST_CASE(invalid_duties_are_rejected_by_name) {
    failure error;
    const auto load_duties = [&](const json& duties) {
        json document = valid_settings();
        document["duties"] = duties;
        return load(document, error);
    };
    const json valid{{"platform_address", "10.200.0.139:8169"}, {"lease_ms", 2000}};
    const auto settings = load_duties(valid);
    BOOST_REQUIRE(settings.has_value());
    const auto core = make_core_settings(*settings, 1);
    BOOST_REQUIRE(core.duties.has_value());
    BOOST_TEST((core.duties->lease == 2s));
    for (const char* address :
         {"", "10.200.0.139", "10.200.0.139:0", "10.200.0.139:65536", "10.200.0.139:-1"}) {
        BOOST_TEST(!load_duties({{"platform_address", address}}).has_value());
        BOOST_TEST((error.where.find("duties.platform_address") != std::string::npos));
    }
    for (const char* name : {"calls_per_s", "lease_ms", "wake_margin_ms", "usage_window_s", "usage_due_s"}) {
        for (const double value : {-1.0, 1e18}) {
            json invalid = valid;
            invalid[name] = value;
            BOOST_TEST(!load_duties(invalid).has_value());
            BOOST_TEST((error.where.find(name) != std::string::npos));
        }
    }
    ::setenv(duties_variable, valid.dump().c_str(), 1);
    const auto from_environment = load(valid_settings(), error);
    ::setenv(duties_variable, "{", 1);
    const auto malformed = load(valid_settings(), error);
    ::setenv(duties_variable, "", 1);
    BOOST_REQUIRE(from_environment.has_value());
    BOOST_REQUIRE(make_core_settings(*from_environment, 1).duties.has_value());
    BOOST_TEST((make_core_settings(*from_environment, 1).duties->lease == 2s));
    BOOST_TEST(!malformed.has_value());
    const auto none = load_duties({{"platform_address", ""}, {"kinds", json::array()}});
    BOOST_REQUIRE(none.has_value());
    BOOST_TEST(!make_core_settings(*none, 1).duties.has_value());
    BOOST_TEST(!make_core_settings(*load(valid_settings(), error), 1).duties.has_value());
}

// Guards against reports to the wrong port of the seeds (their control port instead of the report port), and
// against limits that leave no margin below the configured ones: a stop that outlasts the platform's stop
// limit is ended by a kill.
BOOST_AUTO_TEST_CASE(core_settings_derive_from_settings_file) {
    failure error;
    const auto settings = load(valid_settings(), error);
    BOOST_REQUIRE(settings.has_value());
    const auto core = make_core_settings(*settings, 7);
    BOOST_REQUIRE(core.seeds.size() == 1U);
    BOOST_TEST(core.seeds.front() == "10.2.0.18:7400");
    BOOST_TEST((core.stop_timeout < 8500ms));
    BOOST_TEST((core.freshness.max_key_age < 5s));
    BOOST_TEST((core.freshness.max_targets_age < 2s));
    BOOST_TEST((core.shared_read_wait < core.freshness.max_targets_age));
    BOOST_TEST(core.cold_limits.max_senders == 5U);
    BOOST_TEST(caller_connection_limit(*settings) < settings->max_descriptors);
}

// Guards against a short grace in which requests are accepted until shortly before the exit.
BOOST_AUTO_TEST_CASE(stop_accepts_for_less_than_half_of_the_grace) {
    failure error;
    json document = valid_settings();
    for (const double grace_s : {0.2, 2.0, 5.0, 8.0, 30.0}) {
        document["stop_limit_s"] = grace_s;
        const auto settings = load(document, error);
        BOOST_REQUIRE(settings.has_value());
        const auto core = make_core_settings(*settings, 7);
        BOOST_TEST((core.stop_timeout > 0s));
        BOOST_TEST((2 * core.stop_accept_time < core.stop_timeout));
        BOOST_TEST((core.stop_accept_time <= direct::router_settings{}.stop_accept_time));
    }
}

// Guards against limits that are each small enough and together exceed the memory of the smallest VM: strings
// hold up to twice their size.
BOOST_AUTO_TEST_CASE(held_bytes_fit_into_the_memory) {
    failure error;
    json document = valid_settings();
    for (const std::size_t megabytes : {88U, 260U, 4096U}) {
        document["memory_mb"] = megabytes;
        const auto settings = load(document, error);
        BOOST_REQUIRE(settings.has_value());
        const memory_limits limits = memory_limits_of(*settings);
        const std::size_t sum = limits.caller_connections + limits.requests + 2 * limits.control_connections;
        BOOST_TEST(2 * sum <= (megabytes << 20U) * 6 / 10);
        const auto core = make_core_settings(*settings, 7);
        BOOST_TEST(core.max_buffered_bytes == limits.requests);
        BOOST_TEST(core.max_response_bytes <= limits.requests);
    }
    document["memory_mb"] = 8;
    BOOST_TEST(!load(document, error).has_value());
    document["memory_mb"] = 0;
    const auto settings = load(document, error);
    BOOST_REQUIRE(settings.has_value());
    BOOST_TEST(memory_limits_of(*settings).caller_connections <= (256U << 20U) / 2);
}

BOOST_AUTO_TEST_SUITE_END()
