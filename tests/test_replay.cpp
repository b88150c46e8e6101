// Tests of replay: a recording yields the same answers again, and differences from stated outcomes are
// reported.

#include "damaskhill_impl_recording.hpp"

#include <boost/test/unit_test.hpp>

#include <sstream>

using namespace damaskhill;

BOOST_AUTO_TEST_SUITE(replay)

namespace {

std::string sample_header() {
    router_daemon_settings settings;
    settings.name = "router-a";
    settings.link_keys = {{1, "a secret of the deployment"}};
    return dump_json(recording_header(settings, {{1, 2}, 3, 4})) + "\n";
}

// A router without declarations refuses every caller as isolated.
std::string sample_event(std::uint64_t caller) {
    caller_request request;
    request.caller = caller;
    request.pool = "model";
    return dump_json(encode_json(router_event{time_point{1s}, request})) + "\n";
}

std::optional<replay_result> run(const std::string& text, failure& error) {
    std::istringstream in{text};
    return replay_recording(in, "sample", error);
}

} // namespace

// Guards against link keys being written to recordings, which leave the deployment.
BOOST_AUTO_TEST_CASE(recording_header_contains_no_secret) {
    BOOST_TEST(sample_header().find("a secret of the deployment") == std::string::npos);
}

// Guards against a comparison that always passes: each kind of stated outcome is violated once.
BOOST_AUTO_TEST_CASE(difference_from_stated_outcomes_is_reported) {
    failure error;
    const auto result = run(sample_header() + sample_event(7) + sample_event(8), error);
    BOOST_REQUIRE(result);
    const json right{{"events", 2},
                     {"effects", {{"refuse/isolated", 2}, {"refuse", {{"min", 1}, {"max", 2}}}}},
                     {"counters", {{"refusals_total/isolated", 2}}},
                     {"forbidden", {"answer_whole"}},
                     {"answers", {{"7", {{"problem", "isolated"}, {"run_state", "not_run"}}}}}};
    BOOST_TEST(compare_outcomes(*result, right).empty());
    const std::vector<json> wrong{{{"events", 3}},
                                  {{"effects", {{"refuse/isolated", 1}}}},
                                  {{"effects", {{"answer_whole", {{"min", 1}}}}}},
                                  {{"counters", {{"refusals_total", 3}}}},
                                  {{"forbidden", {"refuse"}}},
                                  {{"answers", {{"7", {{"status", 200}}}}}},
                                  {{"answers", {{"9", {{"status", 200}}}}}},
                                  {{"misspelt", 1}}};
    for (const json& stated : wrong)
        BOOST_TEST(compare_outcomes(*result, stated).size() == 1U, stated.dump());
}

// Guards against rejecting the recording of a killed process, whose last line may be truncated, and against
// ignoring damage anywhere else.
BOOST_AUTO_TEST_CASE(only_a_truncated_last_line_is_tolerated) {
    failure error;
    const std::string cut = sample_event(8).substr(0, 20);
    const auto killed = run(sample_header() + sample_event(7) + cut, error);
    BOOST_REQUIRE(killed);
    BOOST_TEST(killed->events == 1U);
    BOOST_TEST(killed->truncated_lines == 1U);
    BOOST_TEST(!run(sample_header() + cut + "\n" + sample_event(7), error).has_value());
    BOOST_TEST((error.kind == failure_kind::malformed_document));
    BOOST_TEST(!run(sample_event(7), error).has_value());
    BOOST_TEST((error.kind == failure_kind::missing_field));
}

BOOST_AUTO_TEST_SUITE_END()
