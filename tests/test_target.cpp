// Decoding of responses of targets.

#include "damaskhill_impl_target.hpp"

#include <boost/test/unit_test.hpp>
#include <rapidcheck/boost_test.h>

using namespace damaskhill;

BOOST_AUTO_TEST_SUITE(target_events)

// Guards against text that is lost or added when an engine's event is decoded.
BOOST_AUTO_TEST_CASE(completion_and_chat_events_are_decoded) {
    failure error;
    const auto text = decode_engine_event(R"(data: {"choices":[{"text":"w1 "}]})", error);
    const auto delta = decode_engine_event(R"(data: {"choices":[{"delta":{"content":"w2 "}}]})", error);
    const auto end = decode_engine_event("data: [DONE]", error);
    BOOST_REQUIRE((text && delta && end));
    BOOST_TEST(text->text == "w1 ");
    BOOST_TEST(delta->text == "w2 ");
    BOOST_TEST(end->end);
}

// Guards against a crash on corrupted events: every line yields an event or a typed failure.
RC_BOOST_PROP(corrupted_event_yields_event_or_typed_failure,
              (const std::vector<std::pair<std::uint8_t, std::uint8_t>>& changes, std::uint8_t cut)) {
    std::string line = R"(data: {"choices":[{"index":0,"delta":{"content":"w1 "}}]})";
    for (const auto& [at, value] : changes)
        line[at % line.size()] = static_cast<char>(value);
    line.resize(line.size() - cut % line.size());
    failure error;
    const auto event = decode_engine_event(line, error);
    RC_ASSERT(event.has_value() || error.kind == failure_kind::malformed_document);
}

// Guards against a caller's answer that contains the body of a failed attempt before the output of the next
// one.
BOOST_AUTO_TEST_CASE(body_of_retried_failure_is_not_part_of_answer) {
    BOOST_TEST(!is_part_of_answer(500, false));
    BOOST_TEST(!is_part_of_answer(502, false));
    BOOST_TEST(is_part_of_answer(500, true)); // orders are never retried, so this is the answer
    BOOST_TEST(!is_part_of_answer(429, false));
    BOOST_TEST(!is_part_of_answer(503, true)); // refused before execution
    BOOST_TEST(is_part_of_answer(400, false));
    BOOST_TEST(is_part_of_answer(200, false));
}

BOOST_AUTO_TEST_SUITE_END()
