// Index of this file:
// [SECTION] Caller requests
// [SECTION] Target responses
// [SECTION] Store items
// [SECTION] Autoscaling

#include "damaskhill_impl_thrift.hpp"
#include "damaskhill_platform_wire.hpp"

#include <boost/test/unit_test.hpp>
#include <rapidcheck.h>

using namespace damaskhill;
using namespace damaskhill::platform;

namespace {

http_request chat_request() {
    return {1,
            "POST",
            "/a/b?c=1",
            {{"Host", "h.example:80"},
             {"Damaskhill-Attempt-Id", "9c41"},
             {"Damaskhill-Token-Count", "1460,80"},
             {"Damaskhill-Length-Hint", "60"},
             {"Damaskhill-Model", "m"},
             {"Damaskhill-Prompt-Prefix", "5c1e07a2:800, 91bd3f06:410,e4402b7d:250"},
             {"Damaskhill-Deadline-Remaining", "12000"},
             {"Authorization", "Token secret"},
             {"Damaskhill-Tenant", "forged"},
             {"Damaskhill-Cache-Hold", "forged"},
             {"Kv-From", "forged"},
             {"Connection", "keep-alive, X-Hop"},
             {"X-Hop", "1"},
             {"X-Kept", "2"}},
            "body"};
}

const std::string declarations = R"({"version":7,"routes":[{"name":"r","host":"h.example","pathPrefix":"/a/",
"kind":"streaming","timeoutMs":15000,"targetLatencyMs":800,"backends":[{"service":"s","weight":90},
{"service":"t","weight":10}],"maxAttempts":2,"streamResume":true,"targetGapMs":500}],"services":[{"name":"s",
"coldStartS":3.0,"coldPerS":13.0,"engine":{"capacity":64,"kvCapacity":1000}}],"limits":{"tokensPerS":290000},
"tenants":[{"name":"n","apiKeys":["k1","k2"]}]})";

const std::string registration = R"({"service":"s","address":"10.1.0.9:8080","zone":"z","version":"v1",
"capacity":64,"state":"ready","coldRemainingMs":1500,"sequence":4})";

} // namespace

BOOST_AUTO_TEST_SUITE(platform_wire)

//-----------------------------------------------------------------------------
// [SECTION] Caller requests
//-----------------------------------------------------------------------------

// Guards against forged platform headers and API keys that reach a target, and against headers, path or
// prompt fields that decoding changes or drops.
BOOST_AUTO_TEST_CASE(request_drops_reserved_and_hop_by_hop_headers) {
    const auto request = decode_request(5, chat_request());
    BOOST_TEST(request.caller == 5U);
    BOOST_TEST(request.host == "h.example");
    BOOST_TEST(request.path == "/a/b?c=1");
    BOOST_TEST(request.api_key == "secret");
    BOOST_TEST((request.remaining == duration{12s}));
    BOOST_TEST(request.prompt.tokens == 1460U);
    BOOST_TEST(request.prompt.output_limit == 80U);
    BOOST_TEST(request.prompt.output_hint == 60U);
    BOOST_REQUIRE(request.prompt.segments.size() == 3U);
    BOOST_TEST(request.prompt.segments[1].tokens == 410U);
    BOOST_TEST(request.prompt.segments[1].id != request.prompt.segments[1].content);
    for (const char* name :
         {"Authorization", "Damaskhill-Tenant", "Damaskhill-Cache-Hold", "Kv-From", "X-Hop"})
        BOOST_TEST(find_header(request.headers, name).empty());
    BOOST_TEST(find_header(request.headers, "X-Kept") == "2");
    BOOST_TEST(find_header(request.headers, "Damaskhill-Attempt-Id") == "9c41");
}

// Guards against a request that gives the target more time than is left, or that names another target or
// account.
BOOST_AUTO_TEST_CASE(call_carries_target_account_and_deadline) {
    direct::send_request effect;
    effect.content = new direct::request;
    effect.content->input = decode_request(5, chat_request());
    effect.target = "i-1";
    effect.account = "n";
    effect.remaining = 900ms;
    effect.resume_after = "12";
    const edge_call call = encode_call(effect);
    BOOST_TEST(call.head.starts_with("POST /a/b?c=1 HTTP/1.1\r\nHost: h.example\r\n"));
    for (const char* line :
         {"Damaskhill-Expect-Replica: i-1\r\n", "Damaskhill-Tenant: n\r\n", "Content-Length: 4\r\n",
          "Damaskhill-Deadline-Remaining: 900\r\n", "Last-Event-Id: 12\r\n"})
        BOOST_TEST((call.head.find(line) != std::string::npos));
    BOOST_TEST((call.head.find("secret") == std::string::npos));
    BOOST_TEST(call.body == "body");
}

//-----------------------------------------------------------------------------
// [SECTION] Target responses
//-----------------------------------------------------------------------------

// Guards against accepting the response to another request, and against hop-by-hop headers that are passed
// on.
BOOST_AUTO_TEST_CASE(responses_of_other_requests_are_detected) {
    edge_response_head head{200,
                            {{"Damaskhill-Attempt-Id", "9c41"},
                             {"Damaskhill-Replica-Seal", "s"},
                             {"Keep-Alive", "timeout=5"},
                             {"Content-Type", "text/event-stream"}},
                            false};
    const auto matching = decode_response(1, "9c41", edge_response_head{head});
    BOOST_TEST(matching.checks.attempt_matches);
    BOOST_TEST(matching.head.has_seal);
    BOOST_TEST(find_header(matching.head.headers, "Keep-Alive").empty());
    const auto other = decode_response(1, "ffff", std::move(head));
    BOOST_TEST(other.checks.attempt_differs);
    const auto misdirected = decode_response(1, "9c41", {421, {}, false});
    BOOST_TEST(misdirected.head.wrong_target);
    const auto compressed = decode_response(1, "9c41", {200, {{"Content-Encoding", "gzip"}}, false});
    BOOST_TEST(compressed.checks.content_encoded);
}

// Guards against a limit, a rest or a departure that is misread: unreadable values are ignored and reported,
// and a response to another attempt says nothing.
BOOST_AUTO_TEST_CASE(notices_of_targets_are_decoded) {
    const auto decode = [](std::uint32_t status, http_headers headers) {
        headers.emplace_back("Damaskhill-Attempt-Id", "9c41");
        return decode_response(1, "9c41", edge_response_head{status, std::move(headers), false}).head.notices;
    };
    const response_notices none;
    BOOST_TEST((decode(200, {}) == none));
    BOOST_TEST(decode(200, {{"Server-Limit", "2.5"}}).limit_per_s.value() == 2.5);
    BOOST_TEST(decode(500, {{"server-limit", " 0 "}}).limit_per_s.value() == 0.0);
    BOOST_TEST(decode(503, {{"Server-Leaving", "1"}}).leaving);
    BOOST_TEST(!decode(200, {{"Server-Leaving", "0"}}).leaving);
    BOOST_TEST((decode(503, {{"Retry-After", "1.5"}}).rest == duration{1500ms}));
    BOOST_TEST((decode(200, {{"Retry-After", "1.5"}}) == none)); // only a refusal asks for a rest
    for (const char* value : {"", "-1", "nan", "inf", "1e3", "x", "2.5 ", "99999999999", "2,5"}) {
        const bool readable = std::string_view{value} == "2.5 ";
        BOOST_TEST_CONTEXT(value) {
            BOOST_TEST(decode(200, {{"Server-Limit", value}}).unreadable == !readable);
            BOOST_TEST(decode(200, {{"Server-Limit", value}}).limit_per_s.has_value() == readable);
            BOOST_TEST(decode(503, {{"Retry-After", value}}).rest.has_value() == readable);
        }
    }
    BOOST_TEST(decode(200, {{"Server-Limit", "2"}, {"Server-Limit", "3"}}).unreadable);
    const auto other = decode_response(
        1, "ffff", {200, {{"Damaskhill-Attempt-Id", "9c41"}, {"Server-Leaving", "1"}}, false});
    BOOST_TEST((other.head.notices == none));
}

//-----------------------------------------------------------------------------
// [SECTION] Store items
//-----------------------------------------------------------------------------

BOOST_AUTO_TEST_CASE(declarations_are_decoded) {
    catalog known;
    failure error;
    BOOST_REQUIRE(decode_declarations(declarations, known, error).has_value());
    BOOST_TEST(known.version == 7U);
    BOOST_TEST(known.tokens_per_second == 290'000U);
    BOOST_TEST(known.accounts.account_by_key.at("k2") == "n");
    const auto* route = find_route(known, "h.example", "/a/x");
    BOOST_REQUIRE(route != nullptr);
    BOOST_TEST(route->services.size() == 2U);
    BOOST_TEST(route->resumable);
    BOOST_TEST(known.services.at("s").engine->slots == 64U);
}

// Guards against an empty or unreadable list of accounts, or an odd entry in it, that admits a request
// without a valid key: only declarations without the list need none.
BOOST_AUTO_TEST_CASE(only_declarations_without_accounts_need_no_key) {
    struct accounts_case {
        std::string tenants; // member of the declarations
        key_requirement keys;
        std::map<std::string, std::string, std::less<>> account_by_key;
    };
    const std::vector<accounts_case> cases{
        {"", key_requirement::none, {}},
        {R"("tenants":[])", key_requirement::required, {}},
        {R"("tenants":[{"name":"t"}])", key_requirement::required, {}},
        {R"("tenants":[{"name":"t","apiKeys":[]}])", key_requirement::required, {}},
        {R"("tenants":[{"name":"t","apiKeys":[]},{"name":"u","apiKeys":["k"]}])",
         key_requirement::required,
         {{"k", "u"}}},
        {R"("tenants":[{"name":"t","apiKeys":[""]}])", key_requirement::required, {}},
        {R"("tenants":[{"name":"","apiKeys":["k"]}])", key_requirement::required, {}},
        {R"("tenants":[{"apiKeys":["k"]}])", key_requirement::required, {}},
        {R"("tenants":[{"name":"t","apiKeys":"k"}])", key_requirement::required, {}},
        {R"("tenants":[{"name":"t","apiKeys":[1,null,["k"]]}])", key_requirement::required, {}},
        {R"("tenants":[null,1,"t",[]])", key_requirement::required, {}},
        {R"("tenants":null)", key_requirement::unknown, {}},
        {R"("tenants":{})", key_requirement::unknown, {}},
        {R"("tenants":"")", key_requirement::unknown, {}},
        {R"("tenants":0)", key_requirement::unknown, {}},
        {R"("tenants":false)", key_requirement::unknown, {}}};
    for (const accounts_case& expected : cases) {
        BOOST_TEST_CONTEXT(expected.tenants) {
            const std::string text = R"({"version":8,"routes":[],"services":[])" +
                                     (expected.tenants.empty() ? "" : "," + expected.tenants) + "}";
            catalog known;
            failure error;
            // The accounts of an earlier version must not stay.
            BOOST_REQUIRE(decode_declarations(declarations, known, error).has_value());
            BOOST_REQUIRE(decode_declarations(text, known, error).has_value());
            BOOST_TEST((known.accounts.keys == expected.keys));
            BOOST_TEST((known.accounts.account_by_key == expected.account_by_key));
        }
    }
    BOOST_TEST((catalog{}.accounts.keys == key_requirement::unknown));
}

// Guards against malformed registrations of other writers that become targets.
BOOST_AUTO_TEST_CASE(malformed_registrations_are_rejected) {
    failure error;
    const auto entry = decode_target("i-1", registration, error);
    BOOST_REQUIRE(entry.has_value());
    BOOST_TEST((entry->cold_remaining == duration{1500ms}));
    for (const char* text :
         {"", "{}", "[]", R"({"service":"s","address":"10.1.0.9:8080","capacity":"64","state":"ready"})",
          R"({"service":"s","address":"somewhere","capacity":64,"state":"ready"})",
          R"({"service":"s","address":"10.1.0.9:8080","capacity":64,"state":"resting"})"})
        BOOST_TEST(!decode_target("i-1", text, error).has_value());
}

// Guards against an odd value of another writer that is narrowed to a plausible one, overflows, or is used as
// an address: such an entry names no target.
BOOST_AUTO_TEST_CASE(odd_values_in_registrations_are_rejected) {
    const json sound = json::parse(registration);
    const std::string deep = std::string(100'000, '[') + std::string(100'000, ']');
    const std::vector<std::string> odd{"null",
                                       "true",
                                       "[]",
                                       "{}",
                                       "-1",
                                       "1e300",
                                       "-1e300",
                                       "9223372036854775808",
                                       "18446744073709551615",
                                       "1e999",
                                       "\"\"",
                                       "\"NaN\"",
                                       "\"\xff\"",
                                       "\"" + std::string(1U << 20U, 'x') + "\"",
                                       deep};
    const auto with = [&](const std::string& name, const std::string& value) {
        std::string text = "{";
        for (const auto& [key, member] : sound.items()) {
            if (key != name) text += "\"" + key + "\":" + member.dump() + ",";
        }
        return text + "\"" + name + "\":" + value + "}";
    };
    failure error;
    BOOST_REQUIRE(decode_target("i-1", with("born", "1733380000000"), error).has_value());
    for (const char* name :
         {"service", "address", "zone", "version", "capacity", "state", "coldRemainingMs", "born"}) {
        const bool is_text = sound.contains(name) && sound[name].is_string();
        // A name may be empty, except for that of the service.
        const bool may_be_empty = name == std::string_view{"zone"} || name == std::string_view{"version"};
        for (const std::string& value : odd) {
            const bool is_name = value == "\"NaN\"" && is_text && name != std::string_view{"address"} &&
                                 name != std::string_view{"state"};
            const bool expected = is_name || (may_be_empty && value == "\"\"");
            BOOST_TEST_CONTEXT(name << " " << value.substr(0, 40)) {
                BOOST_TEST(decode_target("i-1", with(name, value), error).has_value() == expected);
            }
        }
    }
    for (const char* address :
         {"10.1.0.9:65536", "10.1.0.9:70000", "10.1.0.9:0", "10.1.0.9:-1", "10.1.0.9:1e3", "10.1.0.9", ":80",
          "10.1.0.9:", "10.1.0.999:80", "10.1.0.9:000000080"})
        BOOST_TEST(!decode_target("i-1", with("address", json(address).dump()), error).has_value(), address);
    for (const char* name : {"service", "address", "zone", "version", "capacity", "state"}) {
        json entry = sound;
        entry.erase(name);
        BOOST_TEST(!decode_target("i-1", entry.dump(), error).has_value(), name);
    }
    for (const char* capacity : {"0", "0.5", "1000001", "4294967295", "4294967297", "65536.5e9"})
        BOOST_TEST(!decode_target("i-1", with("capacity", capacity), error).has_value(), capacity);
}

// Guards against declarations whose version or lists are odd, and that replace sound ones: a version that is
// too large would outrank every later one.
BOOST_AUTO_TEST_CASE(odd_declarations_are_rejected) {
    for (const char* text : {R"({"routes":[],"services":[]})", R"({"version":-1})", R"({"version":0})",
                             R"({"version":1e300})", R"({"version":18446744073709551615})",
                             R"({"version":"8"})", R"({"version":null})", R"({"version":8,"routes":{}})",
                             R"({"version":8,"routes":null})", R"({"version":8,"services":"s"})"}) {
        catalog known;
        failure error;
        BOOST_REQUIRE(decode_declarations(declarations, known, error).has_value());
        BOOST_TEST(!decode_declarations(text, known, error).has_value(), text);
        BOOST_TEST(known.version == 7U);
        BOOST_TEST(known.routes.size() == 1U);
    }
    // Odd numbers of one route or service do not keep the others out.
    catalog known;
    failure error;
    BOOST_REQUIRE(
        decode_declarations(
            R"({"version":8,"routes":[{"name":"r","host":"h","timeoutMs":1e300,"targetLatencyMs":-1,)"
            R"("maxAttempts":-1,"backends":[{"service":"s","weight":1e300},{"service":"t","weight":1}]}],)"
            R"("services":[{"name":"s","coldPerS":1e300,"coldStartS":1e300,"engine":{"capacity":-1,)"
            R"("kvCapacity":1e300}}],"limits":{"tokensPerS":1e300}})",
            known, error)
            .has_value());
    const route_declaration& route = known.routes.at("h").front();
    BOOST_TEST((route.timeout == route_declaration{}.timeout));
    BOOST_TEST(route.max_attempts == 1U);
    BOOST_TEST(route.services.size() == 1U);
    BOOST_TEST(known.services.at("s").engine->slots == 0U);
    BOOST_TEST(known.tokens_per_second == 0U);
}

// Guards against a time limit of a caller that overflows.
BOOST_AUTO_TEST_CASE(odd_time_limits_of_callers_are_bounded) {
    for (const char* value : {"9223372036854775807", "9223372036854775808", "-1", "1e300", "", "x"}) {
        http_request source = chat_request();
        for (auto& [name, text] : source.headers) {
            if (name == "Damaskhill-Deadline-Remaining") text = value;
        }
        const auto remaining = decode_request(5, std::move(source)).remaining;
        BOOST_TEST((!remaining || (*remaining >= 0s && *remaining <= 24h)), value);
    }
}

// Guards against crashes on malformed input.
BOOST_AUTO_TEST_CASE(corrupted_items_do_not_crash) {
    const bool passed = rc::check("altered items", [] {
        std::string text = *rc::gen::element(declarations, registration);
        const auto length = *rc::gen::inRange<std::size_t>(0, text.size() + 1);
        text.resize(length);
        if (!text.empty()) {
            const auto position = *rc::gen::inRange<std::size_t>(0, text.size());
            text[position] = *rc::gen::arbitrary<char>();
        }
        catalog known;
        failure error;
        (void)decode_declarations(text, known, error);
        (void)decode_target("i-1", text, error);
        (void)decode_rollout(text, error);
        (void)decode_rollout_status(text, error);
        (void)decode_base64(text);
        (void)decode_report(text, error);
    });
    BOOST_TEST(passed);
}

BOOST_AUTO_TEST_CASE(base64_round_trip) {
    for (const std::string text : {"", "a", "ab", "abc", "abcd"})
        BOOST_TEST(decode_base64(encode_base64(text)).value() == text);
    BOOST_TEST(!decode_base64("a").has_value());
}

//-----------------------------------------------------------------------------
// [SECTION] Autoscaling
//-----------------------------------------------------------------------------

namespace {

/// Catalog of a service with these members, next to one whose limits are right.
catalog decode_with(const std::string& members) {
    catalog contents;
    failure error;
    BOOST_REQUIRE(decode_declarations(R"({"version":7,"services":[{"name":"s",)" + members +
                                          R"(},{"name":"t","autoscaling":)"
                                          R"({"minReplicas":1,"maxReplicas":2,"bootTimeS":1.5}}]})",
                                      contents, error));
    BOOST_REQUIRE(contents.services.size() == 2U);
    BOOST_REQUIRE(contents.services["t"].autoscaling);
    BOOST_TEST((*contents.services["t"].autoscaling == autoscaling_declaration{1, 2, 1500ms}));
    return contents;
}

} // namespace

// Guards against a boot time that is read at one of its two places only.
BOOST_AUTO_TEST_CASE(boot_time_stands_with_the_limits_or_in_the_service) {
    const autoscaling_declaration expected{2, 20, 8s};
    auto inside = decode_with(R"("autoscaling":{"minReplicas":2,"maxReplicas":20,"bootTimeS":8})");
    auto outside = decode_with(R"("bootTimeS":8,"autoscaling":{"minReplicas":2,"maxReplicas":20})");
    for (catalog* contents : {&inside, &outside}) {
        BOOST_REQUIRE(contents->services["s"].autoscaling);
        BOOST_TEST((*contents->services["s"].autoscaling == expected));
        BOOST_TEST(contents->ignored.empty());
    }
    auto none = decode_with(R"("bootTimeS":8)");
    BOOST_TEST(!none.services["s"].autoscaling);
    BOOST_TEST(none.ignored.empty());
}

// Guards against limits that make no sense, and against the loss of other services with them.
BOOST_AUTO_TEST_CASE(odd_limits_give_no_autoscaling_and_a_failure) {
    for (const char* odd :
         {R"({"minReplicas":5,"maxReplicas":4,"bootTimeS":8})",
          R"({"minReplicas":-1,"maxReplicas":4,"bootTimeS":8})",
          R"({"minReplicas":0,"maxReplicas":0,"bootTimeS":8})",
          R"({"minReplicas":1.5,"maxReplicas":4,"bootTimeS":8})",
          R"({"minReplicas":1,"maxReplicas":1e12,"bootTimeS":8})",
          R"({"minReplicas":"1","maxReplicas":4,"bootTimeS":8})",
          R"({"minReplicas":1,"maxReplicas":4,"bootTimeS":-8})",
          R"({"minReplicas":1,"maxReplicas":4,"bootTimeS":1e9})", R"({"minReplicas":1,"maxReplicas":4})",
          R"({"maxReplicas":4,"bootTimeS":8})", "[]", "true", "7"}) {
        auto contents = decode_with(std::string{R"("autoscaling":)"} + odd);
        BOOST_TEST(!contents.services["s"].autoscaling, odd);
        BOOST_TEST(contents.ignored.size() == 1U, odd);
    }
}

BOOST_AUTO_TEST_SUITE_END()
