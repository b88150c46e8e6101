// Codecs: encoded values decode to the same value, and invalid input is rejected with a typed failure.

#include "damaskhill_impl_json.hpp"
#include "damaskhill_impl_thrift.hpp"

#include <boost/test/unit_test.hpp>
#include <rapidcheck/boost_test.h>

using namespace damaskhill;

BOOST_AUTO_TEST_SUITE(codec)

namespace {

assign sample_assign() {
    assign sample;
    sample.pull_id = 7;
    sample.attempt = {1, 2};
    sample.account = account_id_of("fleet/krakow");
    sample.body = std::string("\0binary\xff", 8);
    sample.cost_hint = 12.5;
    sample.order = order_claim{{3, 4}, {5, 6}, {{7, 8}}};
    sample.revisions = {{"fleet", 3}};
    return sample;
}

} // namespace

// Guards against a field that is encoded but not decoded, or decoded but not encoded.
BOOST_AUTO_TEST_CASE(message_round_trips) {
    failure error;
    const auto decoded = decode_message(encode_message(sample_assign()), error);
    BOOST_REQUIRE(decoded);
    const auto* sample = std::get_if<assign>(&*decoded);
    BOOST_REQUIRE(sample);
    BOOST_TEST(sample->pull_id == 7U);
    BOOST_TEST((sample->attempt == attempt_id{1, 2}));
    BOOST_TEST((sample->account == account_id_of("fleet/krakow")));
    BOOST_TEST(sample->body == sample_assign().body);
    BOOST_REQUIRE(sample->order);
    BOOST_TEST((sample->order->unseals.front() == seal_id{7, 8}));
    BOOST_TEST(sample->revisions.front().revision == 3U);
}

// Guards against a crash, hang or huge allocation on corrupted messages: every result is a value or a typed
// failure.
RC_BOOST_PROP(corrupted_message_yields_value_or_typed_failure,
              (const std::vector<std::pair<std::uint16_t, std::uint8_t>>& changes, std::uint16_t cut)) {
    std::string bytes = encode_message(sample_assign());
    for (const auto& [at, value] : changes)
        bytes[at % bytes.size()] = static_cast<char>(value);
    bytes.resize(bytes.size() - cut % bytes.size());
    failure error;
    const auto decoded = decode_message(bytes, error);
    RC_ASSERT(decoded.has_value() || error.kind == failure_kind::malformed_frame ||
              error.kind == failure_kind::unsupported_protocol);
}

// Guards against accepting a forged, altered or reordered frame.
BOOST_AUTO_TEST_CASE(frame_mac_covers_key_context_and_content) {
    const std::vector<link_key> keys{{1, "0123456789abcdef"}};
    const std::vector<link_key> other_keys{{1, "fedcba9876543210"}};
    const std::string frame = sign_frame("message", keys, {true, 4, "salts"}).substr(frame_length_size);
    failure error;
    BOOST_TEST(verify_frame(frame, keys, {true, 4, "salts"}, error).has_value());
    BOOST_TEST(!verify_frame(frame, other_keys, {true, 4, "salts"}, error).has_value());
    BOOST_TEST(!verify_frame(frame, keys, {true, 5, "salts"}, error).has_value());
    BOOST_TEST(!verify_frame(frame, keys, {false, 4, "salts"}, error).has_value());
    BOOST_TEST(!verify_frame(frame, keys, {true, 4, "other"}, error).has_value());
    std::string altered = frame;
    altered.back() ^= 1;
    BOOST_TEST(!verify_frame(altered, keys, {true, 4, "salts"}, error).has_value());
    BOOST_TEST((error.kind == failure_kind::unauthenticated_frame));
}

// Guards against silently ignoring a misspelt key in a settings file.
BOOST_AUTO_TEST_CASE(unknown_key_is_rejected_with_its_path) {
    failure error;
    const auto pool = parse_json_as<pool_declaration>(R"({"name":"p","colt_limit":3})", "p.json",
                                                      unknown_keys::reject, error);
    BOOST_TEST(!pool.has_value());
    BOOST_TEST((error.kind == failure_kind::unknown_field));
    BOOST_TEST(error.where == "p.json: $.colt_limit");
}

BOOST_AUTO_TEST_SUITE_END()
