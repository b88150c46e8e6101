// Index of this file:
// [SECTION] Sound declarations
// [SECTION] Findings
// [SECTION] Differences
// [SECTION] Settings
// [SECTION] Store
// [SECTION] Robustness

#include "damaskhill_impl_edge_server.hpp"
#include "damaskhill_platform_check.hpp"
#include "damaskhill_platform_reader.hpp"

#include <boost/test/unit_test.hpp>

#include <filesystem>
#include <fstream>
#include <random>
#include <thread>

#include <unistd.h>

using namespace damaskhill;
using namespace damaskhill::platform;

namespace {

const std::string sample =
    R"({"version":7,"routes":[{"name":"r-2bfkz4b","host":"ficu95.example","pathPrefix":"/lohu930/",)"
    R"("kind":"streaming","timeoutMs":15000,"targetLatencyMs":800,"priority":1,"backends":[)"
    R"({"service":"huvo11a","weight":90},{"service":"wuno96b","weight":10}],"maxAttempts":1,"public":false,)"
    R"("sessionAffinity":true,"streamResume":false,"targetGapMs":500},{"name":"r-p7tcw9f",)"
    R"("host":"ficu95.example","pathPrefix":"/pufi791/","kind":"streaming","timeoutMs":12000,)"
    R"("targetLatencyMs":500,"priority":1,"service":"huvo11a","maxAttempts":2,"public":false,)"
    R"("sessionAffinity":true,"streamResume":true,"targetGapMs":500}],"services":[{"name":"huvo11a",)"
    R"("healthPath":"/health","maxConnections":480,"protocol":"h1","tls":false,"coldStartS":3.0,)"
    R"("coldPerS":13.0,"engine":{"capacity":64,"kvCapacity":531792,"kvBytes":163840,"linkMbps":370000.0,)"
    R"("moves":true,"backups":true,"stride":7,"most":12,"pinMs":4000.0,"holdMs":2000.0,"handleS":5.0,)"
    R"("models":[{"name":"m"}]}},{"name":"wuno96b","healthPath":"/health","maxConnections":220,)"
    R"("protocol":"h1","tls":false,"coldStartS":0.0,"coldPerS":0.0}],"limits":{"maxHeaderBytes":16384,)"
    R"("maxBodyBytes":4194304,"headerTimeoutMs":3000,"idleTimeoutMs":15000,"tokensPerS":1200000},)"
    R"("tenants":[{"name":"hule930","apiKeys":["eevyxq2yyazax6pwawxd","mdejk7f92bqurzecqvkd"],"priority":1}]})";

// The smallest declarations without findings.
const std::string plain = R"({"version":1,"routes":[{"name":"r","host":"h","pathPrefix":"/a/",)"
                          R"("kind":"idempotent","timeoutMs":900,"targetLatencyMs":100,"service":"s"}],)"
                          R"("services":[{"name":"s"}]})";

/// Plain declarations with one merge patch applied.
std::string patched(const char* patch) {
    json document = json::parse(plain);
    document.merge_patch(json::parse(patch));
    return document.dump();
}

/// Plain declarations whose only route has one merge patch applied.
std::string with_route(const char* patch) {
    json document = json::parse(plain);
    document["routes"][0].merge_patch(json::parse(patch));
    return document.dump();
}

/// Plain declarations with a second route, a copy of the first with one merge patch applied.
std::string with_second_route(const char* patch) {
    json document = json::parse(plain);
    json route = document["routes"][0];
    route.merge_patch(json::parse(patch));
    document["routes"].push_back(route);
    return document.dump();
}

std::vector<finding> findings_of(const check_input& input) {
    failure error;
    auto findings = check_declarations(input, error);
    BOOST_REQUIRE_MESSAGE(findings.has_value(), describe(error));
    return std::move(*findings);
}

struct expected_finding {
    finding_kind kind;
    std::string path;
    std::string document;
};

void check_single(const expected_finding& expected, const check_input& input) {
    const auto findings = findings_of(input);
    BOOST_TEST_CONTEXT(to_string(expected.kind) << " in " << expected.document << "\n"
                                                << findings_text(findings)) {
        BOOST_REQUIRE(findings.size() == 1U);
        BOOST_TEST((findings.front().kind == expected.kind));
        BOOST_TEST(findings.front().path == expected.path);
        BOOST_TEST(!findings.front().text.empty());
    }
}

target_entry target_of(const char* service) {
    target_entry target;
    target.service = service;
    return target;
}

} // namespace

using enum finding_kind;

BOOST_AUTO_TEST_SUITE(config_check)

//-----------------------------------------------------------------------------
// [SECTION] Sound declarations
//-----------------------------------------------------------------------------

// Guards against findings in sound declarations, also compared with themselves.
BOOST_AUTO_TEST_CASE(sound_declarations_have_no_findings) {
    for (const std::string& text :
         {sample, plain, patched(R"({"tenants":[{"name":"n","apiKeys":["k1","k2"]}]})"),
          with_second_route(R"({"name":"q","pathPrefix":"/a/b/"})"),
          with_second_route(R"({"name":"q","host":"g"})"), with_route(R"({"pathPrefix":"/"})")}) {
        BOOST_TEST(findings_text(findings_of({text, {}, {}, {}})) == "");
        BOOST_TEST(findings_text(findings_of({text, text, {}, {}})) == "");
    }
    const std::vector<target_entry> targets{target_of("huvo11a"), target_of("wuno96b")};
    BOOST_TEST(findings_text(findings_of({sample, sample, targets, {}})) == "");
}

// Guards against a decoder that decodes otherwise when it is audited.
BOOST_AUTO_TEST_CASE(audit_does_not_change_what_is_decoded) {
    for (const std::string& text :
         {sample, with_route(R"({"timeoutMs":1e300,"maxAttempts":1.5,"kind":7})")}) {
        catalog routers;
        catalog audited;
        declaration_audit audit;
        failure error;
        BOOST_REQUIRE(decode_declarations(text, routers, error).has_value());
        BOOST_REQUIRE(decode_declarations(text, audited, error, &audit).has_value());
        BOOST_TEST((routers.accounts == audited.accounts));
        BOOST_TEST(routers.tokens_per_second == audited.tokens_per_second);
        for (const auto& [host, routes] : routers.routes) {
            const auto& other = audited.routes.at(host);
            BOOST_REQUIRE(routes.size() == other.size());
            for (std::size_t i = 0; i < routes.size(); ++i) {
                BOOST_TEST(routes[i].name == other[i].name);
                BOOST_TEST((routes[i].timeout == other[i].timeout));
                BOOST_TEST(routes[i].max_attempts == other[i].max_attempts);
                BOOST_TEST(routes[i].services.size() == other[i].services.size());
            }
        }
    }
}

//-----------------------------------------------------------------------------
// [SECTION] Findings
//-----------------------------------------------------------------------------

// Guards against a finding that is missing, that has another place, or that brings others with it.
BOOST_AUTO_TEST_CASE(each_finding_has_a_smallest_document) {
    const std::vector<expected_finding> cases{
        {refused_document, "$.version", patched(R"({"version":0})")},
        {refused_document, "$.routes", patched(R"({"routes":{}})")},
        {missing_field, "$.routes[0].timeoutMs", with_route(R"({"timeoutMs":null})")},
        {missing_field, "$.routes[0].name", with_route(R"({"name":""})")},
        {missing_field, "$.tenants[0].name", patched(R"({"tenants":[{"apiKeys":["k"]}]})")},
        {wrong_type, "$.routes[0].timeoutMs", with_route(R"({"timeoutMs":"900"})")},
        {wrong_type, "$.routes[0].public", with_route(R"({"public":1})")},
        {wrong_type, "$.routes[0].sessionAffinity", with_route(R"({"sessionAffinity":"yes"})")},
        {wrong_type, "$.routes[0].backends", with_route(R"({"backends":{}})")},
        {wrong_type, "$.routes[1]",
         R"({"version":1,"routes":[)" + json::parse(plain)["routes"][0].dump() +
             R"(,7],"services":[{"name":"s"}]})"},
        {wrong_type, "$.services[0].engine", patched(R"({"services":[{"name":"s","engine":64}]})")},
        {wrong_type, "$.limits", patched(R"({"limits":[]})")},
        {wrong_type, "$.tenants", patched(R"({"tenants":{}})")},
        {out_of_range, "$.routes[0].maxAttempts", with_route(R"({"maxAttempts":0})")},
        {out_of_range, "$.routes[0].timeoutMs", with_route(R"({"timeoutMs":1e300})")},
        {out_of_range, "$.routes[0].priority", with_route(R"({"priority":-1})")},
        {out_of_range, "$.limits.tokensPerS", patched(R"({"limits":{"tokensPerS":-1}})")},
        {unknown_word, "$.routes[0].kind", with_route(R"({"kind":"idempotend"})")},
        {unknown_field, "$.routes[0].timeoutMS", with_route(R"({"timeoutMS":5})")},
        {unknown_field, R"($.routes[0]["time\nout"])", with_route(R"({"time\nout":5})")},
        {unknown_field, "$.tenant", patched(R"({"tenant":[]})")},
        {not_applied, "$.routes[0].backends[0]", with_route(R"({"backends":[{"service":"s","weight":0}]})")},
        {not_applied, "$.routes[0].maxAttempts", with_route(R"({"maxAttempts":1.5})")},
        {route_without_service, "$.routes[0]",
         R"({"version":1,"services":[],"routes":[{"name":"r","host":"h","pathPrefix":"/a/",)"
         R"("kind":"idempotent","timeoutMs":900,"targetLatencyMs":100}]})"},
        {unknown_service, "$.routes[0]", patched(R"({"services":[]})")},
        {duplicate_route, "$.routes[1]", with_second_route(R"({"name":"q"})")},
        {duplicate_service, "$.services[1]", patched(R"({"services":[{"name":"s"},{"name":"s"}]})")},
        {shared_key, "$.tenants[1].apiKeys[0]",
         patched(R"({"tenants":[{"name":"n","apiKeys":["k"]},{"name":"o","apiKeys":["k"]}]})")},
        {account_without_keys, "$.tenants[0]", patched(R"({"tenants":[{"name":"n","apiKeys":[]}]})")},
        {no_accounts, "$.tenants", patched(R"({"tenants":[]})")},
        {prefix_without_slash, "$.routes[0].pathPrefix", with_route(R"({"pathPrefix":"/a"})")},
        {prefix_without_slash, "$.routes[0].pathPrefix", with_route(R"({"pathPrefix":"a/"})")},
        {prefix_never_matches, "$.routes[0].pathPrefix", with_route(R"({"pathPrefix":"/a?b/"})")},
        {prefix_never_matches, "$.routes[0].pathPrefix", with_route(R"({"pathPrefix":"/a b/"})")},
        {host_never_matches, "$.routes[0].host", with_route(R"({"host":"H"})")},
        {host_never_matches, "$.routes[0].host", with_route(R"({"host":"h:80"})")},
        {unused_service, "$.services[1]", patched(R"({"services":[{"name":"s"},{"name":"t"}]})")},
        {timeout_under_latency, "$.routes[0].timeoutMs", with_route(R"({"timeoutMs":99})")},
        {attempts_over_kind, "$.routes[0].maxAttempts",
         with_route(R"({"kind":"non_idempotent","maxAttempts":2})")},
        {attempts_over_kind, "$.routes[0].maxAttempts",
         with_route(R"({"kind":"streaming","maxAttempts":2})")},
        {header_limit_over_router, "$.limits.maxHeaderBytes",
         patched(R"({"limits":{"maxHeaderBytes":65537}})")},
        {body_limit_over_router, "$.limits.maxBodyBytes", patched(R"({"limits":{"maxBodyBytes":8388609}})")},
        {header_timeout_over_idle, "$.limits.headerTimeoutMs",
         patched(R"({"limits":{"headerTimeoutMs":2,"idleTimeoutMs":1}})")},
        {target_counts_reversed, "$.services[0].autoscaling",
         patched(R"({"services":[{"name":"s","autoscaling":{"minReplicas":2,"maxReplicas":1}}]})")}};
    for (const expected_finding& expected : cases)
        check_single(expected, {expected.document, {}, {}, {}});
    // What is known besides the document.
    check_single({service_without_target, "$.services[0]", plain},
                 {plain, {}, std::vector{target_of("t")}, {}});
    const std::string homes = with_route(R"({"allowedRegions":["x","y"]})");
    check_single({unknown_region, "$.routes[0].allowedRegions", homes}, {homes, {}, {}, {"x"}});
}

// Guards against a hidden route that is taken for two separate ones.
BOOST_AUTO_TEST_CASE(routes_hidden_by_case_or_port_are_named) {
    for (const char* host : {R"({"name":"q","host":"H"})", R"({"name":"q","host":"h:80"})"}) {
        const auto findings = findings_of({with_second_route(host), {}, {}, {}});
        BOOST_REQUIRE(findings.size() == 2U);
        BOOST_TEST((findings[0].kind == host_never_matches));
        BOOST_TEST((findings[1].kind == hidden_route));
        BOOST_TEST(findings[1].path == "$.routes[1]");
    }
}

// Guards against API keys in the output, also of entries that are malformed.
BOOST_AUTO_TEST_CASE(keys_are_not_shown) {
    const std::string secret = "eevyxq2yyazax6pwawxd";
    for (const char* accounts :
         {R"([{"name":"n","apiKeys":["K"]},{"name":"o","apiKeys":["K"]}])", R"([{"name":"n","apiKeys":"K"}])",
          R"([{"name":"n","apikeys":["K"]}])", R"([{"name":"n","apiKeys":[["K"]]}])", R"(["K"])", R"("K")",
          R"([{"name":"n","apiKeys":["L"],"priority":"K"}])", R"({"apiKeys":["K"]})"}) {
        std::string list = accounts;
        for (std::size_t at = list.find('K'); at != std::string::npos; at = list.find('K', at + 1)) {
            if (list[at - 1] == '"') list.replace(at, 1, secret);
        }
        const std::string document = plain.substr(0, plain.size() - 1) + R"(,"tenants":)" + list + "}";
        for (const auto& [next, in_force] : {std::pair{document, plain}, std::pair{plain, document}}) {
            const auto findings = findings_of({next, in_force, {}, {}});
            BOOST_TEST(!findings.empty());
            BOOST_TEST((findings_text(findings).find(secret) == std::string::npos), list);
            BOOST_TEST((findings_json(findings).find(secret) == std::string::npos), list);
        }
    }
    failure error;
    BOOST_TEST(!check_declarations({secret, {}, {}, {}}, error).has_value());
    BOOST_TEST((describe(error).find(secret) == std::string::npos));
}

//-----------------------------------------------------------------------------
// [SECTION] Differences
//-----------------------------------------------------------------------------

// Guards against differences that are missed, misnamed or reported twice.
BOOST_AUTO_TEST_CASE(each_difference_has_a_smallest_document) {
    struct expected_difference {
        finding_kind kind;
        std::string path;
        std::string in_force;
        std::string next;
    };
    const auto raised = [](const std::string& text) {
        json document = json::parse(text);
        document["version"] = 2;
        return document.dump();
    };
    const std::string two_services = patched(R"({"services":[{"name":"s"},{"name":"t"}]})");
    const std::string moved = with_route(R"({"service":"t"})");
    const std::string two_routes = with_second_route(R"({"name":"q","pathPrefix":"/b/"})");
    const std::string limits = patched(R"({"limits":{"maxBodyBytes":10}})");
    const std::string lower_limits = patched(R"({"limits":{"maxBodyBytes":9}})");
    const auto accounts = [](const char* list) {
        return patched((std::string{R"({"tenants":)"} + list + "}").c_str());
    };
    const std::string one_key = accounts(R"([{"name":"n","apiKeys":["k"]}])");
    const std::string two_keys = accounts(R"([{"name":"n","apiKeys":["k","l"]}])");
    const std::vector<expected_difference> cases{
        {version_not_newer, "$.version", raised(plain), plain},
        {route_added, "$.routes[1]", plain, two_routes},
        {route_removed, "$.routes[1]", two_routes, plain},
        {route_address_changed, "$.routes[0]", plain, with_route(R"({"pathPrefix":"/b/"})")},
        {route_kind_changed, "$.routes[0]", plain, with_route(R"({"kind":"streaming"})")},
        {route_access_changed, "$.routes[0].public", plain, with_route(R"({"public":true})")},
        {route_limit_tightened, "$.routes[0].timeoutMs", plain, with_route(R"({"timeoutMs":800})")},
        {route_limit_relaxed, "$.routes[0].maxAttempts", plain, with_route(R"({"maxAttempts":2})")},
        {regions_changed, "$.routes[0].allowedRegions", plain, with_route(R"({"allowedRegions":["x"]})")},
        {service_changed, "$.services[0]", plain, patched(R"({"services":[{"name":"s","coldPerS":1}]})")},
        {limit_tightened, "$.limits.maxBodyBytes", limits, lower_limits},
        {limit_relaxed, "$.limits.maxBodyBytes", lower_limits, limits},
        {limit_tightened, "$.limits.maxBodyBytes", plain, limits},
        {limit_relaxed, "$.limits.tokensPerS", patched(R"({"limits":{"tokensPerS":5}})"), plain},
        {key_added, "$.tenants[0].apiKeys[1]", one_key, two_keys},
        {key_withdrawn, "$.tenants[0].apiKeys[1]", two_keys, one_key}};
    for (const expected_difference& expected : cases) {
        const bool is_older = expected.kind == version_not_newer;
        const std::string next = is_older ? expected.next : raised(expected.next);
        check_single({expected.kind, expected.path, next}, {next, expected.in_force, {}, {}});
    }

    // Differences that come with another finding.
    const auto has = [&](finding_kind kind, const std::string& in_force, const std::string& next) {
        return std::ranges::count(findings_of({raised(next), in_force, {}, {}}), kind, &finding::kind);
    };
    const std::string other_service = patched(R"({"services":[{"name":"t"}]})");
    BOOST_TEST(has(route_moved, plain, moved) == 1);
    BOOST_TEST(has(service_added, plain, two_services) == 1);
    BOOST_TEST(has(service_removed, plain, other_service) == 1);
    const std::string other_account = accounts(R"([{"name":"o","apiKeys":["k"]}])");
    BOOST_TEST(has(account_added, one_key, other_account) == 1);
    BOOST_TEST(has(account_removed, one_key, other_account) == 1);
    BOOST_TEST(has(key_moved, one_key, other_account) == 1);
    BOOST_TEST(has(key_withdrawn, one_key, other_account) == 0);
    BOOST_TEST(has(keys_required, plain, one_key) == 1);
    BOOST_TEST(has(keys_not_required, one_key, plain) == 1);
}

// Guards against differences between documents that mean the same.
BOOST_AUTO_TEST_CASE(order_and_scale_are_no_differences) {
    json document = json::parse(sample);
    document["version"] = 8;
    std::reverse(document["routes"].begin(), document["routes"].end());
    std::reverse(document["services"].begin(), document["services"].end());
    document["routes"][1]["backends"] =
        json::parse(R"([{"service":"wuno96b","weight":1},{"service":"huvo11a","weight":9}])");
    BOOST_TEST(findings_text(findings_of({document.dump(2), sample, {}, {}})) == "");
}

//-----------------------------------------------------------------------------
// [SECTION] Settings
//-----------------------------------------------------------------------------

// Guards against settings that a router refuses and the check accepts.
BOOST_AUTO_TEST_CASE(settings_are_checked_by_the_routers_loader) {
    const std::string file =
        (std::filesystem::temp_directory_path() / ("damaskhill_check_" + std::to_string(::getpid())))
            .string();
    const json sound = json::parse(
        R"({"name":"n","data_centre":"d","http_address":"127.0.0.1:1","ready_address":"127.0.0.1:2",)"
        R"("control_address":"127.0.0.1:3","report_address":"127.0.0.1:3","store_address":"127.0.0.1:4",)"
        R"("link_keys":[{"number":1,"secret":"0123456789abcdef"}]})");
    const auto check = [&](const std::string& text) {
        std::ofstream{file} << text;
        failure error;
        return check_direct_settings(file, error);
    };
    const auto changed = [&](const char* patch) {
        json document = sound;
        document.merge_patch(json::parse(patch));
        return check(document.dump());
    };
    const auto none = check(sound.dump());
    BOOST_REQUIRE(none.has_value());
    BOOST_TEST(findings_text(*none) == "");
    for (const auto& [patch, kind, path] :
         {std::tuple{R"({"check_in_ms":1})", refused_settings, "$.check_in_ms"},
          std::tuple{R"({"nmae":"n"})", refused_settings, "$.nmae"},
          std::tuple{R"({"http_address":"x"})", refused_settings, "$.http_address"},
          std::tuple{R"({"ready_address":"127.0.0.1:1"})", address_used_twice, "$.ready_address"}}) {
        const auto findings = changed(patch);
        BOOST_REQUIRE(findings.has_value() && findings->size() == 1U);
        BOOST_TEST((findings->front().kind == kind));
        BOOST_TEST(findings->front().path == path);
    }
    for (const char* patch : {R"({"link_keys":"0123456789abcdef"})", R"({"link_key":"0123456789abcdef"})"}) {
        const auto secret = changed(patch);
        BOOST_REQUIRE(secret.has_value());
        BOOST_TEST((findings_text(*secret).find("0123456789abcdef") == std::string::npos));
    }
    BOOST_TEST(!check("{").has_value());
    std::filesystem::remove(file);
    failure error;
    BOOST_TEST(!check_direct_settings(file, error).has_value());
}

//-----------------------------------------------------------------------------
// [SECTION] Store
//-----------------------------------------------------------------------------

constexpr const char* store_address = "127.0.0.1:18399";

// Guards against a store of which only the first page is read, and against errors of the store that pass for
// an empty one.
BOOST_AUTO_TEST_CASE(store_is_read_page_by_page) {
    const std::string registration = R"({"service":"s","address":"10.1.0.9:8080","zone":"z","version":"v1",)"
                                     R"("capacity":64,"state":"ready"})";
    const auto page = [&](const json& items, bool truncated) {
        return json{{"items", items}, {"truncated", truncated}, {"currentRev", 9}}.dump();
    };
    const auto item = [&](const char* key, const std::string& value) {
        return json{{"key", key}, {"value", encode_base64(value)}, {"rev", 3}, {"created", 3}, {"lease", 0}};
    };
    const std::string range = "/damaskhill/kv-range?pathPrefix=";
    const std::map<std::string, std::string> pages{
        {range + "op%2Fconfig",
         page(json::array({item("op/config", plain), item("op/configs", "x")}), false)},
        {range + "servers%2F",
         page(json::array({item("servers/i-1", registration), item("servers/i-2", "{")}), true)},
        {range + "servers%2F&after=servers%2Fi%2D2",
         page(json::array({item("servers/i-3", registration)}), false)}};
    event_loop loop;
    edge_server* server_pointer = nullptr;
    bool is_down = false; // used by the loop's thread only
    edge_server server{loop,
                       {},
                       {[&](std::uint64_t exchange, http_request&& request) {
                            const auto found = pages.find(request.target);
                            const bool is_known = found != pages.end() && !is_down;
                            server_pointer->send_response(exchange, is_known ? 200 : 503, {},
                                                          is_known ? found->second : "");
                        },
                        [](std::uint64_t) {}}};
    server_pointer = &server;
    failure error;
    BOOST_REQUIRE(server.listen(store_address, error).has_value());
    std::thread thread{[&] { loop.run(); }};
    const reader_settings settings{store_address};
    const auto declarations = read_declarations(settings, error);
    const auto targets = read_targets(settings, error);
    loop.post([&] { is_down = true; });
    failure refused;
    const auto none = read_declarations(settings, refused);
    loop.post([&] { loop.stop(); });
    thread.join();
    BOOST_REQUIRE(declarations.has_value());
    BOOST_TEST(*declarations == plain);
    BOOST_REQUIRE(targets.has_value());
    BOOST_REQUIRE(targets->size() == 2U);
    BOOST_TEST((*targets)[1].id == "i-3");
    BOOST_TEST(!none.has_value());
    BOOST_TEST((refused.kind == failure_kind::store_unreachable));
}

//-----------------------------------------------------------------------------
// [SECTION] Robustness
//-----------------------------------------------------------------------------

// Guards against findings without a name or advice, and against kinds that share a name.
BOOST_AUTO_TEST_CASE(every_kind_has_a_name_and_advice) {
    std::set<std::string_view> names;
    for (std::size_t i = 0; i < finding_kinds; ++i) {
        const auto kind = static_cast<finding_kind>(i);
        names.insert(to_string(kind));
        BOOST_TEST(!advice_of(kind).empty());
    }
    BOOST_TEST(names.size() == finding_kinds);
}

// Guards against text that is not a JSON object and passes for a document.
BOOST_AUTO_TEST_CASE(unreadable_documents_are_reported) {
    for (const char* text : {"", "{", "[]", "7", "null", "{\"version\":1,}"}) {
        failure error;
        BOOST_TEST(!check_declarations({text, {}, {}, {}}, error).has_value(), text);
        BOOST_TEST((error.kind != failure_kind::none));
        BOOST_TEST(!check_declarations({plain, text, {}, {}}, error).has_value(), text);
    }
}

// Guards against work that grows with the square of the number of routes, which takes minutes here.
BOOST_AUTO_TEST_CASE(ten_thousand_routes_are_checked_in_time) {
    json document = json::parse(plain);
    const json route = document["routes"][0];
    document["routes"] = json::array();
    constexpr int routes = 10'000;
    for (int i = 0; i < routes; ++i) {
        json copy = route;
        copy["name"] = "r" + std::to_string(i);
        copy["host"] = "h" + std::to_string(i % 10);
        copy["pathPrefix"] = "/" + std::to_string(i) + std::string(300, 'x') + "/";
        document["routes"].push_back(std::move(copy));
    }
    const std::string in_force = document.dump();
    for (json& changed : document["routes"])
        changed["timeoutMs"] = 800;
    document["version"] = 2;
    const std::string next = document.dump();
    const auto started = std::chrono::steady_clock::now();
    const auto findings = findings_of({next, in_force, {}, {}});
    const std::chrono::duration<double> elapsed = std::chrono::steady_clock::now() - started;
    BOOST_TEST(findings.size() == static_cast<std::size_t>(routes));
    BOOST_TEST_MESSAGE("10,000 routes, " << next.size() << " bytes: " << elapsed.count() << " s");
    BOOST_TEST(elapsed.count() < 20.0);
}

// Guards against crashes and hangs on altered documents.
BOOST_AUTO_TEST_CASE(altered_documents_do_not_crash) {
    std::mt19937 random{1};
    const auto below = [&](std::size_t limit) { return random() % limit; };
    constexpr std::array pieces{"null", "-1", "1e300", "\"\"",     "[]",    "{}",
                                "true", "{",  "\\u0",  "\x80\xff", "[[[[[", "\"a\":"};
    constexpr int rounds = 3000;
    int readable = 0;
    for (int i = 0; i < rounds; ++i) {
        std::string text = sample;
        for (std::size_t changes = 1 + below(3); changes > 0; --changes) {
            const std::size_t at = below(text.size());
            text.replace(at, below(12), pieces[below(pieces.size())]);
        }
        failure error;
        const auto findings = check_declarations({text, sample, std::vector<target_entry>{}, {"x"}}, error);
        if (!findings) continue;
        ++readable;
        BOOST_REQUIRE(!findings_json(*findings).empty());
    }
    // Values replaced as a whole leave the document readable.
    const json whole = json::parse(sample).flatten();
    for (const auto& [pointer, ignored] : whole.items()) {
        for (const char* piece :
             {"null", "-1", "1e300", "\"\"", "[]", "{}", "true", "[[1]]", "{\"name\":1}"}) {
            json altered = json::parse(sample);
            altered[json::json_pointer{pointer}] = json::parse(piece);
            failure error;
            const auto findings = check_declarations({altered.dump(), sample, {}, {"x"}}, error);
            BOOST_REQUIRE(findings.has_value());
            const bool is_audited = !pointer.starts_with("/services/0/engine");
            BOOST_TEST((findings->empty() && is_audited && std::string_view{piece} == "[[1]]") == false,
                       pointer);
        }
    }
    BOOST_TEST(readable > 0);
}

BOOST_AUTO_TEST_SUITE_END()
