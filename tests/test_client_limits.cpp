// Index of this file:
// [SECTION] Limits of clients

#include "damaskhill_impl_client_limits.hpp"

#include <boost/test/unit_test.hpp>

using namespace damaskhill;

namespace {

struct limits_fixture {
    client_limits limits{{}};
    client_clock::time_point now{};
    client_entry first, second;
};

} // namespace

//-----------------------------------------------------------------------------
// [SECTION] Limits of clients
//-----------------------------------------------------------------------------

BOOST_FIXTURE_TEST_SUITE(client_limits_suite, limits_fixture)

// Guards against defaults that a client meets which keeps to the declared limits.
BOOST_AUTO_TEST_CASE(defaults_exceed_the_declared_limits) {
    const client_limit_settings defaults;
    BOOST_TEST(defaults.max_header_bytes > 16'384U);
    BOOST_TEST(defaults.max_body_bytes > 4'194'304U);
    BOOST_TEST(defaults.max_headers >= 16'384U / 4);
    BOOST_TEST((defaults.head_timeout > 3s));
    BOOST_TEST((defaults.idle_timeout > 15s));
}

// Guards against a stage without a time limit, and against one that a client prolongs with single bytes.
BOOST_AUTO_TEST_CASE(each_stage_ends_at_its_limit) {
    const client_limit_settings s;
    for (const auto& [stage, limit] :
         {std::pair{client_stage::idle, s.idle_timeout}, std::pair{client_stage::head, s.head_timeout},
          std::pair{client_stage::body, s.body_timeout}, std::pair{client_stage::lingering, s.linger_time}}) {
        limits.enter(first, stage, now);
        if (stage == client_stage::body) limits.on_body_bytes(first, 1, now + 1s);
        BOOST_TEST((limits.next_due() == now + limit));
        BOOST_TEST(limits.overdue(now + limit - 1ms) == nullptr);
        BOOST_TEST(limits.overdue(now + limit) == &first);
    }
    limits.enter(first, client_stage::body, now);
    limits.on_body_bytes(first, 2000, now + 1s);
    BOOST_TEST((limits.next_due() == now + 1s + s.body_timeout));
    limits.enter(first, client_stage::served, now);
    BOOST_TEST(!limits.next_due().has_value());
}

// Guards against a served client that is closed for a new one, and against closing a young useless one first.
BOOST_AUTO_TEST_CASE(oldest_useless_connection_makes_room) {
    client_entry third;
    limits.enter(first, client_stage::served, now);
    BOOST_TEST(limits.least_useful(now + 1h) == nullptr);
    limits.enter(second, client_stage::body, now);
    BOOST_TEST(limits.least_useful(now + 1s) == nullptr);
    BOOST_TEST(limits.least_useful(now + 3s) == &second);
    limits.enter(first, client_stage::head, now + 1s);
    limits.enter(third, client_stage::head, now + 2s);
    BOOST_TEST(limits.least_useful(now + 3s) == &first);
    limits.enter(third, client_stage::idle, now + 2s);
    BOOST_TEST(limits.least_useful(now + 3s) == &third);
    limits.enter(second, client_stage::lingering, now + 3s);
    BOOST_TEST(limits.least_useful(now + 3s) == &second);
}

// Guards against a sum that drifts when connections change what they hold.
BOOST_AUTO_TEST_CASE(sum_of_held_bytes_follows_its_parts) {
    limits.hold(first, 10U << 20U);
    limits.hold(second, 6U << 20U);
    BOOST_TEST(!limits.holds_too_much());
    limits.hold(second, (6U << 20U) + 1);
    BOOST_TEST(limits.holds_too_much());
    limits.hold(first, 0);
    limits.hold(second, 5);
    BOOST_TEST(limits.held_bytes() == 5U);
}

BOOST_AUTO_TEST_SUITE_END()
