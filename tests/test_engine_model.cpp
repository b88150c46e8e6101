// Index of this file:
// [SECTION] Simulated engine
// [SECTION] Estimate
// [SECTION] Slowdown of a target

#include "damaskhill_engine_model.hpp"

#include <boost/test/unit_test.hpp>

#include <algorithm>
#include <cmath>
#include <vector>

using namespace damaskhill;

namespace {

//-----------------------------------------------------------------------------
// [SECTION] Simulated engine
//-----------------------------------------------------------------------------

constexpr time_point start{1000s};

prefill_work work_of_prompt(double tokens, double cached) {
    return {tokens, tokens * (cached + tokens / 2) / 1e6};
}

/// Samples of an engine with the given speed: sizes over three decades, 10% noise, and a share of attempts
/// that waited behind work of other routers.
struct engine_samples {
    engine_speed speed;
    random_source random;
    double queued_share{0.25};
    time_point now{start};

    prefill_work next_work() {
        const double tokens = 200.0 * std::exp(random.next_unit() * std::log(150.0));
        return work_of_prompt(tokens, random.next_unit() < 0.5 ? 5000.0 : 0.0);
    }
    double measure(const prefill_work& work) {
        const double noise = 0.9 + 0.2 * random.next_unit();
        const double queue = random.next_unit() < queued_share ? 400.0 * random.next_unit() : 0.0;
        return (speed.base_ms + prefill_ms(speed, work)) * noise + queue;
    }
    void feed(engine_model& model, int samples) {
        for (int i = 0; i < samples; ++i) {
            now += 50ms;
            const prefill_work work = next_work();
            model.add_sample(work, measure(work), now);
        }
    }
    /// Quantile of the relative error of predictions for undisturbed attempts.
    double error_quantile(const engine_model& model, double quantile) {
        queued_share = 0;
        std::vector<double> errors;
        for (int i = 0; i < 400; ++i) {
            const prefill_work work = next_work();
            const double measured = measure(work);
            const double predicted = model.speed().base_ms + prefill_ms(model.speed(), work);
            errors.push_back(std::abs(predicted - measured) / measured);
        }
        std::ranges::sort(errors);
        return errors[static_cast<std::size_t>(quantile * static_cast<double>(errors.size() - 1))];
    }
};

} // namespace

BOOST_AUTO_TEST_SUITE(engine_model_estimate)

//-----------------------------------------------------------------------------
// [SECTION] Estimate
//-----------------------------------------------------------------------------

// Guards against assuming the speed of known engines: half of the engines below are faster, half are slower
// than the prior, and a quarter of the samples waited in a queue that the router did not know of.
BOOST_AUTO_TEST_CASE(speed_of_unknown_engines_is_found) {
    const std::vector<engine_speed> engines{{25, 1.0 / 30, 0.6},
                                            {20, 1.0 / 61, 0.3},
                                            {25, 1.0 / 66, 0.3},
                                            {47, 1.0 / 112, 0.154},
                                            {15, 1.0 / 200, 0.1}};
    for (const engine_speed& speed : engines) {
        for (std::uint64_t seed = 1; seed <= 5; ++seed) {
            BOOST_TEST_CONTEXT("tokens a ms " << 1 / speed.ms_per_token << ", seed " << seed) {
                engine_samples samples{speed, random_source{seed}};
                engine_model model{engine_model_settings{}};
                samples.feed(model, 300);
                BOOST_TEST(model.is_trusted());
                BOOST_TEST(samples.error_quantile(model, 0.5) <= 0.10);
                BOOST_TEST(samples.error_quantile(model, 0.95) <= 0.30);
            }
        }
    }
}

// Guards against following a few extreme samples, such as attempts at a stalled target.
BOOST_AUTO_TEST_CASE(outliers_do_not_move_the_estimate) {
    engine_samples samples{{47, 1.0 / 112, 0.154}, random_source{7}};
    engine_model model{engine_model_settings{}};
    samples.feed(model, 200);
    const double before = model.speed().base_ms + prefill_ms(model.speed(), work_of_prompt(4000, 0));
    for (int i = 0; i < 5; ++i)
        model.add_sample(work_of_prompt(1000, 0), 60'000, samples.now);
    const double after = model.speed().base_ms + prefill_ms(model.speed(), work_of_prompt(4000, 0));
    BOOST_TEST(std::abs(after - before) < 0.05 * before);
}

// Guards against an estimate that never follows a change, such as new hardware under the same service.
BOOST_AUTO_TEST_CASE(estimate_follows_a_change_of_speed) {
    engine_samples samples{{25, 1.0 / 60, 0.3}, random_source{3}};
    engine_model model{engine_model_settings{}};
    samples.feed(model, 400);
    samples.speed = {25, 1.0 / 120, 0.15};
    samples.feed(model, 1600); // four half-lives
    BOOST_TEST(samples.error_quantile(model, 0.5) <= 0.10);
}

// Guards against a router that starts with the prior although its peers know better, and against a peer that
// replaces what the router has measured itself.
BOOST_AUTO_TEST_CASE(estimate_of_a_peer_is_adopted_until_the_own_one_is_trusted) {
    engine_model model{engine_model_settings{}};
    model.adopt({47, 1.0 / 112, 0.154});
    BOOST_TEST(std::abs(model.speed().ms_per_token - 1.0 / 112) < 1e-9);
    engine_samples samples{{20, 1.0 / 61, 0.3}, random_source{3}};
    samples.feed(model, 200);
    BOOST_REQUIRE(model.is_trusted());
    const double own = model.speed().base_ms;
    model.adopt({500, 1.0, 10.0});
    BOOST_TEST(model.speed().base_ms == own);
}

// Guards against values that no arithmetic can handle: they come from clocks that stood still or jumped.
BOOST_AUTO_TEST_CASE(invalid_samples_are_ignored) {
    engine_model model{engine_model_settings{}};
    model.add_sample({100, 0.01}, 0, start);
    model.add_sample({100, 0.01}, -5, start);
    model.add_sample({100, 0.01}, std::nan(""), start);
    BOOST_TEST(model.samples() == 0.0);
    BOOST_TEST(model.speed().base_ms == engine_model_settings{}.prior.base_ms);
}

//-----------------------------------------------------------------------------
// [SECTION] Slowdown of a target
//-----------------------------------------------------------------------------

// Guards against a slow target that keeps its share of the work: with ten attempts a second its factor must
// be found, and after its recovery forgotten, within 2 s.
BOOST_AUTO_TEST_CASE(slowdown_is_found_and_forgotten_within_two_seconds) {
    target_slowdown slowdown;
    time_point now = start;
    for (int i = 0; i < 20; ++i)
        add_slowdown_sample(slowdown, 300, 100, now += 100ms);
    BOOST_TEST(slowdown_factor(slowdown, now) > 2.4);
    for (int i = 0; i < 20; ++i)
        add_slowdown_sample(slowdown, 100, 100, now += 100ms);
    BOOST_TEST(slowdown_factor(slowdown, now) < 1.25);
}

// Guards against a target that is never tried again because it gets no requests and so no new samples.
BOOST_AUTO_TEST_CASE(slowdown_without_samples_expires) {
    target_slowdown slowdown{4.0, start};
    BOOST_TEST(slowdown_factor(slowdown, start) == 4.0);
    BOOST_TEST(slowdown_factor(slowdown, start + 20s) < 1.1);
}

BOOST_AUTO_TEST_SUITE_END()
