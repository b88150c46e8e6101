// Concurrency limits of targets and the priority of interactive requests.

#include "damaskhill_bench_load.hpp"

#include <boost/test/unit_test.hpp>
#include <rapidcheck.h>

#include <algorithm>

using namespace damaskhill;
using namespace damaskhill::bench;

BOOST_AUTO_TEST_SUITE(limits)

namespace {

// Faulty variant that jumps to the warm limit at once; the check below must detect it.
struct jumping_limit : target_limit {};
bool grow(jumping_limit& target, duration) {
    target.limit = target.settings.warm_limit;
    return false;
}
bool grow(target_limit& target, duration latency) {
    return on_first_byte_latency(target, request_class::interactive, latency);
}

// Whether the limit, at random latencies, grows by at most one for each `limit` answers.
template <class Limit>
bool grows_only_on_answers(std::uint64_t seed) {
    random_source random{seed};
    Limit target;
    reset_to_cold(target);
    double answers_since = 0;
    double limit = current_limit(target);
    for (int i = 0; i < 300; ++i) {
        ++answers_since;
        grow(target, duration{20'000 + static_cast<std::int64_t>(random.next() % 80'000)});
        const double now = current_limit(target);
        if (now > limit && (now > limit + 1 || answers_since + 1e-6 < limit)) return false;
        if (now != limit) answers_since = 0;
        limit = now;
    }
    return true;
}

fleet_settings small_fleet() {
    fleet_settings s;
    target_settings target;
    target.warm_limit = 4;
    s.pools.push_back({"lm", 1, target});
    return s;
}

} // namespace

// Guards against a limit that grows without answers, or by more than one for each `limit` answers.
BOOST_AUTO_TEST_CASE(limit_grows_only_on_answers) {
    BOOST_TEST(rc::check([](std::uint64_t seed) { RC_ASSERT(grows_only_on_answers<target_limit>(seed)); }));
    BOOST_TEST(!grows_only_on_answers<jumping_limit>(1)); // the check detects the faulty variant
}

// Guards against a cold target that keeps its warm limit. Late first bytes, slow streams and overloads show
// it.
BOOST_AUTO_TEST_CASE(cold_target_resets_the_limit_at_once) {
    for (const int kind : {0, 1, 2}) {
        target_limit target;
        target.limit = 32;
        on_first_byte_latency(target, request_class::interactive, 30ms);
        on_stream_rate(target, 200.0);
        if (kind == 0) BOOST_TEST(on_first_byte_latency(target, request_class::interactive, 100ms));
        if (kind == 1) BOOST_TEST(on_stream_rate(target, 50.0));
        if (kind == 2) on_overload(target);
        BOOST_TEST(current_limit(target) == target.settings.cold_limit);
    }
}

// Guards against interactive requests that wait behind batch streams, and against preempted streams whose
// answers lose or repeat text.
BOOST_AUTO_TEST_CASE(interactive_request_preempts_batch_streams) {
    fleet f{small_fleet()};
    f.declare(sample_accounts(std::vector<double>{1, 1}, 4, 4));
    f.run_for(5s);
    std::vector<caller_id> batch;
    for (std::uint64_t i = 0; i < 8; ++i)
        batch.push_back(f.send_request(0, model_request(0, 1000, 2000, request_class::batch, i)));
    f.run_for(1s);
    std::vector<caller_id> quick;
    for (std::uint64_t i = 0; i < 3; ++i)
        quick.push_back(f.send_request(1, model_request(1, 20, 40, request_class::interactive, 100 + i)));
    f.run_for(300ms);
    for (const caller_id caller : quick)
        BOOST_TEST(f.result(caller).answered);
    BOOST_TEST(f.counters["preemptions_total/"] > 0U);
    f.run_for(40s);
    for (const caller_id caller : batch) {
        const caller_result& r = f.result(caller);
        BOOST_TEST(r.answered);
        BOOST_TEST(r.text == expected_text(r.request.body, 1000));
    }
}

// Guards against starvation of a batch request by a continuous load of interactive requests.
BOOST_AUTO_TEST_CASE(batch_request_finishes_under_interactive_load) {
    fleet f{small_fleet()};
    f.declare(sample_accounts(std::vector<double>{1, 1}, 4, 4));
    f.run_for(5s);
    std::uint64_t number = 0;
    const auto ask = [&] {
        f.send_request(1, model_request(1, 40, 80, request_class::interactive, number++));
    };
    f.on_end = [&](const caller_result& r) {
        if (r.request.cls == request_class::interactive) f.schedule(f.now() + 1ms, ask);
    };
    for (int i = 0; i < 60; ++i)
        ask();
    f.run_for(2s);
    const caller_id batch = f.send_request(0, model_request(0, 600, 1200, request_class::batch, 1'000'000));
    f.run_for(40s);
    BOOST_TEST(f.result(batch).answered);
}

BOOST_AUTO_TEST_SUITE_END()
