// Number of targets to order, against a simulated platform on virtual time.
//
// Index of this file:
// [SECTION] Simulated platform
// [SECTION] Load
// [SECTION] Data centres
// [SECTION] Losses
// [SECTION] Orders
// [SECTION] Work of one router

#include "damaskhill_direct_internal.hpp"
#include "direct_fixture.hpp"

#include <boost/test/unit_test.hpp>
#include <rapidcheck.h>

#include <numeric>

using namespace damaskhill;
using namespace damaskhill::direct;

namespace {

//-----------------------------------------------------------------------------
// [SECTION] Simulated platform
//-----------------------------------------------------------------------------

constexpr duration tick = 500ms; // interval between reports
constexpr double target_ms = 1000;

struct simulated_target {
    time_point serves_at{};
    time_point broken_until{}; // registered, but ejected
    bool registered{true};     // false once lost for good
};

struct simulated_place {
    std::vector<simulated_target> targets;
    double offered_ms_per_s{};
    std::uint64_t total_ms{};   // of its router
    std::uint64_t refused_ms{}; // of its router
    std::uint64_t router{1};    // incarnation
    bool evacuated{};
    bool silent{}; // its router sends no reports
};

struct simulated_fleet {
    target_order_settings settings;
    autoscaling_declaration limits{1, 40, 8s};
    std::map<std::string, simulated_place> places;
    service_plan plan;
    service_demand demand;
    bool rollout_active{};
    bool replaces_lost{};      // the platform starts a target for each one that it lost
    bool answers_orders{true}; // else they are neither carried out nor answered
    std::vector<target_count_order> sent;
    std::vector<target_order_change> changes;
    double overload_s{};   // time in which more was offered than the targets can do
    double least_sum{1e9}; // of the ordered numbers
    double most_sum{};     // of the ordered numbers
    time_point now{1000s};

    explicit simulated_fleet(std::initializer_list<std::uint32_t> counts) {
        std::uint64_t number = 0;
        for (const std::uint32_t count : counts) {
            simulated_place& place = places["dc-" + std::to_string(++number)];
            place.router = number;
            place.targets.resize(count);
        }
    }
    simulated_place& at(const std::string& name) { return places.at(name); }
    void offer(double total_ms_per_s) {
        for (auto& [name, place] : places)
            place.offered_ms_per_s = total_ms_per_s / static_cast<double>(places.size());
    }
    [[nodiscard]] double offered() const {
        return std::accumulate(places.begin(), places.end(), 0.0, [](double sum, const auto& entry) {
            return sum + entry.second.offered_ms_per_s;
        });
    }
    [[nodiscard]] std::uint32_t registered(const simulated_place& place) const {
        return static_cast<std::uint32_t>(std::ranges::count_if(
            place.targets, [&](const auto& target) { return target.registered && target.serves_at <= now; }));
    }
    [[nodiscard]] std::uint32_t working(const simulated_place& place) const {
        if (place.evacuated) return 0;
        return static_cast<std::uint32_t>(std::ranges::count_if(place.targets, [&](const auto& target) {
            return target.registered && target.serves_at <= now && target.broken_until <= now;
        }));
    }
    [[nodiscard]] double capacity() const {
        double sum = 0;
        for (const auto& [name, place] : places)
            sum += working(place) * target_ms;
        return sum;
    }
    /// Number that is wanted, or present if none was ordered.
    [[nodiscard]] std::uint32_t wanted(const std::string& name) const {
        const auto found = plan.data_centres.find(name);
        const bool is_ordered = found != plan.data_centres.end() && found->second.ordered;
        return is_ordered ? *found->second.ordered : registered(places.at(name));
    }
    [[nodiscard]] std::uint32_t wanted_sum() const {
        std::uint32_t sum = 0;
        for (const auto& [name, place] : places)
            sum += wanted(name);
        return sum;
    }
    /// Carries an order out as the platform does.
    void execute(const target_count_order& order) {
        simulated_place& place = at(order.data_centre);
        const std::uint32_t desired = std::clamp(order.desired, limits.min_targets, limits.max_targets);
        if (replaces_lost)
            std::erase_if(place.targets, [](const auto& target) { return !target.registered; });
        while (place.targets.size() > desired)
            place.targets.pop_back();
        while (place.targets.size() < desired)
            place.targets.push_back({now + limits.boot_time, {}, true});
    }
    void report(simulated_place& place, const std::string& name) {
        const double refused = std::max(0.0, 1 - capacity() / std::max(1.0, offered()));
        const auto work = static_cast<std::uint64_t>(place.offered_ms_per_s * to_seconds(tick));
        place.total_ms += work;
        place.refused_ms += static_cast<std::uint64_t>(static_cast<double>(work) * refused);
        if (!place.silent)
            note_demand(demand, {7, place.total_ms, place.refused_ms}, place.router, name, now);
    }
    void decide() {
        service_observation seen;
        seen.service = "lm";
        seen.limits = limits;
        seen.target_ms_per_s = target_ms;
        seen.rollout_active = rollout_active;
        for (const auto& [name, place] : places)
            seen.data_centres.push_back(
                {name, registered(place), static_cast<double>(working(place)), place.evacuated});
        for (const target_order_change& change : update_plan(plan, demand, seen, settings, now))
            changes.push_back(change);
        for (const target_count_order& order : take_due_orders(plan, seen, settings, now)) {
            sent.push_back(order);
            if (!answers_orders) continue;
            execute(order);
            acknowledge_order(plan, order);
        }
    }
    /// `each` may change the load before each step.
    template <class F>
    void run(duration time, F&& each) {
        for (const time_point end = now + time; now < end;) {
            each();
            now += tick;
            if (offered() > capacity()) overload_s += to_seconds(tick);
            for (auto& [name, place] : places)
                report(place, name);
            if (now.time_since_epoch() % settings.period == 0s) decide();
            least_sum = std::min<double>(least_sum, wanted_sum());
            most_sum = std::max<double>(most_sum, wanted_sum());
        }
    }
    void run(duration time) {
        run(time, [] {});
    }
    void forget_results() {
        sent.clear();
        changes.clear();
        overload_s = 0;
        least_sum = 1e9;
        most_sum = 0;
    }
    /// Another router takes over the duty; it knows only what it sees from now on.
    void change_holder() {
        plan = {};
        demand = {};
    }
};

} // namespace

BOOST_AUTO_TEST_SUITE(target_orders)

//-----------------------------------------------------------------------------
// [SECTION] Load
//-----------------------------------------------------------------------------

// Guards against a number of targets that the load does not fit, whatever the load and the limits are.
BOOST_AUTO_TEST_CASE(wanted_targets_can_do_the_offered_work) {
    const bool ok = rc::check("offered work fits unless a limit binds", [] {
        const auto places = *rc::gen::inRange(1, 5);
        simulated_fleet fleet{};
        fleet.limits.min_targets = *rc::gen::inRange(0U, 5U);
        fleet.limits.max_targets = fleet.limits.min_targets + *rc::gen::inRange(1U, 30U);
        fleet.limits.boot_time = std::chrono::seconds{*rc::gen::inRange(0, 40)};
        for (int i = 0; i < places; ++i) {
            simulated_place& place = fleet.places["dc-" + std::to_string(i)];
            place.router = static_cast<std::uint64_t>(i) + 1;
            place.targets.resize(*rc::gen::inRange(1U, 12U));
        }
        const auto phases = *rc::gen::inRange(1, 5);
        for (int phase = 0; phase < phases; ++phase) {
            for (auto& [name, place] : fleet.places)
                place.offered_ms_per_s = *rc::gen::inRange(0, 15'000);
            fleet.run(std::chrono::seconds{*rc::gen::inRange(9, 60)});
            const double limit = fleet.limits.max_targets * static_cast<double>(places);
            const double needed = std::min(limit, fleet.offered() / target_ms);
            RC_ASSERT(fleet.wanted_sum() >= needed);
            for (const target_count_order& order : fleet.sent) {
                RC_ASSERT(order.desired >= fleet.limits.min_targets);
                RC_ASSERT(order.desired <= fleet.limits.max_targets);
            }
        }
    });
    BOOST_TEST(ok);
}

// Guards against a surge, as of one hot account, that is answered late, by too little, or by far too much.
BOOST_AUTO_TEST_CASE(a_surge_raises_the_number_at_once) {
    simulated_fleet fleet{4, 4, 4};
    fleet.offer(7'000);
    fleet.run(60s);
    fleet.forget_results();
    fleet.offer(21'000);
    fleet.run(6s);
    BOOST_TEST(fleet.wanted_sum() * target_ms * max_utilisation(fleet.settings) >= 20'000);
    fleet.run(44s);
    BOOST_TEST(fleet.overload_s <= 6 + to_seconds(fleet.limits.boot_time));
    BOOST_TEST(fleet.most_sum <= 1.2 * 21 / max_utilisation(fleet.settings));
}

// Guards against a decision that leaves refused work out: the served work alone would fit.
BOOST_AUTO_TEST_CASE(refused_work_counts) {
    simulated_fleet fleet{2};
    fleet.offer(9'000);
    fleet.run(10s);
    BOOST_TEST(fleet.wanted("dc-1") >= 12U);
}

// Guards against orders that come only when the load that grows has arrived.
BOOST_AUTO_TEST_CASE(growth_is_expected_over_the_boot_time) {
    const auto overload_with = [](double max_growth) {
        simulated_fleet fleet{6, 6};
        fleet.settings.max_growth = max_growth;
        fleet.offer(6'000);
        fleet.run(40s);
        double load = 6'000;
        const auto grow = [&] { fleet.offer(load += 150); };
        // Until the growth has lasted for its window and the first targets that it asked for have booted.
        fleet.run(17s, grow);
        fleet.forget_results();
        fleet.run(43s, grow);
        return fleet.overload_s;
    };
    BOOST_TEST(overload_with(target_order_settings{}.max_growth) == 0);
    BOOST_TEST(overload_with(0) > 0);
}

// Guards against a number that follows a load which swings by a third every 11 s.
BOOST_AUTO_TEST_CASE(a_swinging_load_does_not_swing_the_number) {
    simulated_fleet fleet{6, 6, 6};
    const auto swing = [&] {
        const bool high = (fleet.now.time_since_epoch() / 11s) % 2 == 0;
        fleet.offer(high ? 12'000 : 8'000);
    };
    fleet.run(60s, swing);
    fleet.forget_results();
    fleet.run(300s, swing);
    BOOST_TEST(fleet.changes.empty());
    BOOST_TEST(fleet.overload_s == 0);
    BOOST_TEST(fleet.most_sum <= 1.25 * 12 / max_utilisation(fleet.settings));
}

// Guards against a lower load that leaves targets idle for good, and against one big step down.
BOOST_AUTO_TEST_CASE(a_lower_load_lowers_the_number_in_steps_after_the_hold_time) {
    simulated_fleet fleet{10, 10, 10};
    fleet.offer(20'000);
    fleet.run(60s);
    fleet.forget_results();
    fleet.offer(5'000);
    fleet.run(hold_time(fleet.settings, fleet.limits.boot_time) - 2s);
    BOOST_TEST(fleet.changes.empty());
    std::uint32_t before = fleet.wanted_sum();
    for (int i = 0; i < 120; ++i) {
        fleet.run(1s);
        BOOST_TEST(fleet.wanted_sum() + std::ceil(fleet.settings.step_share * before) >= before);
        before = fleet.wanted_sum();
    }
    BOOST_TEST(before >= 7U);
    BOOST_TEST(before <= 8U);
    BOOST_TEST(fleet.overload_s == 0);
}

// Guards against a fleet that shrinks before any load has come, and against a late rise when it comes.
BOOST_AUTO_TEST_CASE(a_fleet_without_load_yet_keeps_what_it_has) {
    simulated_fleet fleet{6, 6};
    fleet.run(100s);
    BOOST_TEST(fleet.sent.empty());
    fleet.offer(14'000);
    fleet.run(20s);
    BOOST_TEST(fleet.wanted_sum() >= 19U);
}

//-----------------------------------------------------------------------------
// [SECTION] Data centres
//-----------------------------------------------------------------------------

// Guards against numbers that follow a load which wanders over the data centres, and against the sum of their
// peaks.
BOOST_AUTO_TEST_CASE(waves_over_data_centres_move_few_targets) {
    simulated_fleet fleet{8, 8, 8};
    const auto wave = [&] {
        int number = 0;
        for (auto& [name, place] : fleet.places) {
            const double phase = to_seconds(fleet.now.time_since_epoch()) / 40 + number++ / 3.0;
            place.offered_ms_per_s = 4'000 + 3'000 * std::sin(2 * 3.14159265 * phase);
        }
    };
    fleet.run(120s, wave);
    fleet.forget_results();
    fleet.run(400s, wave);
    BOOST_TEST(fleet.overload_s == 0);
    BOOST_TEST(fleet.most_sum <= 1.3 * 12 / max_utilisation(fleet.settings));
    BOOST_TEST(fleet.changes.size() <= 12U);
}

// Guards against data centres whose numbers do not follow a load that has moved for good.
BOOST_AUTO_TEST_CASE(a_load_that_has_moved_moves_the_targets) {
    simulated_fleet fleet{8, 8};
    fleet.offer(12'000);
    fleet.run(60s);
    fleet.at("dc-1").offered_ms_per_s = 2'000;
    fleet.at("dc-2").offered_ms_per_s = 10'000;
    fleet.forget_results();
    fleet.run(400s);
    BOOST_TEST(fleet.wanted("dc-2") > 2 * fleet.wanted("dc-1"));
    BOOST_TEST(fleet.overload_s == 0);
}

// Guards against the loss of an evacuated data centre's part, and against a return without targets.
BOOST_AUTO_TEST_CASE(an_evacuated_data_centres_part_goes_to_the_others_and_back) {
    simulated_fleet fleet{6, 6, 6};
    fleet.offer(12'000);
    fleet.run(60s);
    fleet.at("dc-1").evacuated = true;
    fleet.at("dc-1").offered_ms_per_s = 0;
    fleet.at("dc-2").offered_ms_per_s = 6'000;
    fleet.at("dc-3").offered_ms_per_s = 6'000;
    fleet.run(3s);
    BOOST_TEST(fleet.wanted("dc-2") + fleet.wanted("dc-3") >= 16U);
    fleet.run(200s);
    BOOST_TEST(fleet.wanted("dc-1") <= 2U);
    fleet.at("dc-1").evacuated = false;
    fleet.offer(12'000);
    fleet.forget_results();
    fleet.run(3s);
    BOOST_TEST(fleet.wanted("dc-2") + fleet.wanted("dc-3") >= 16U);
    fleet.run(200s);
    BOOST_TEST(fleet.wanted("dc-1") >= 4U);
    BOOST_TEST(fleet.overload_s == 0);
}

// Guards against fewer targets in a data centre whose routers are silent: nothing is known of its load.
BOOST_AUTO_TEST_CASE(a_data_centre_without_reports_keeps_what_it_has) {
    simulated_fleet fleet{8, 8};
    fleet.offer(12'000);
    fleet.run(60s);
    const std::uint32_t before = fleet.wanted("dc-1");
    fleet.at("dc-1").silent = true;
    fleet.run(200s);
    BOOST_TEST(fleet.wanted("dc-1") >= before);
}

//-----------------------------------------------------------------------------
// [SECTION] Losses
//-----------------------------------------------------------------------------

// Guards against orders for targets that are back before ordered ones could serve.
BOOST_AUTO_TEST_CASE(short_crashes_order_nothing) {
    simulated_fleet fleet{8, 8};
    fleet.offer(11'000);
    fleet.run(60s);
    fleet.forget_results();
    for (auto& [name, place] : fleet.places) {
        for (std::size_t i = 0; i < place.targets.size() / 4; ++i)
            place.targets[i].broken_until = fleet.now + 3s;
    }
    fleet.run(100s);
    BOOST_TEST(fleet.changes.empty());
}

// Guards against targets that stay lost, on a platform that does not replace them and on one that does.
BOOST_AUTO_TEST_CASE(targets_that_are_lost_for_good_are_made_up_for) {
    for (const bool replaces : {false, true}) {
        simulated_fleet fleet{8, 8};
        fleet.replaces_lost = replaces;
        fleet.offer(11'500);
        fleet.run(60s);
        fleet.forget_results();
        for (auto& [name, place] : fleet.places) {
            place.targets[0].registered = false;
            place.targets[1].registered = false;
        }
        fleet.run(120s);
        BOOST_TEST(fleet.capacity() * max_utilisation(fleet.settings) >= 11'000);
        BOOST_TEST(fleet.most_sum <= 20);
        fleet.run(300s);
        BOOST_TEST(fleet.capacity() * max_utilisation(fleet.settings) >= 11'000);
        BOOST_TEST(fleet.capacity() <= 17 * target_ms);
    }
}

// Guards against the loss of a data centre whose part nobody takes over.
BOOST_AUTO_TEST_CASE(a_lost_data_centres_part_goes_to_the_others) {
    simulated_fleet fleet{6, 6, 6};
    fleet.offer(12'000);
    fleet.run(60s);
    fleet.at("dc-1").targets.clear();
    fleet.answers_orders = true;
    fleet.at("dc-1").silent = true;
    fleet.at("dc-2").offered_ms_per_s = 6'000;
    fleet.at("dc-3").offered_ms_per_s = 6'000;
    fleet.at("dc-1").offered_ms_per_s = 0;
    fleet.run(12s);
    BOOST_TEST(fleet.wanted("dc-2") + fleet.wanted("dc-3") >= 16U);
}

//-----------------------------------------------------------------------------
// [SECTION] Orders
//-----------------------------------------------------------------------------

// Guards against a new holder that undoes its predecessor's orders before it knows the load.
BOOST_AUTO_TEST_CASE(a_new_holder_orders_no_fewer_at_first) {
    simulated_fleet fleet{4, 4, 4};
    fleet.offer(7'000);
    fleet.run(60s);
    fleet.offer(21'000);
    fleet.run(5s); // orders are under way
    const std::uint32_t before = fleet.wanted_sum();
    fleet.change_holder();
    fleet.forget_results();
    fleet.run(hold_time(fleet.settings, fleet.limits.boot_time) - 2s);
    std::size_t present = 0;
    for (const auto& [name, place] : fleet.places)
        present += place.targets.size();
    BOOST_TEST(present >= before);
    for (const target_order_change& change : fleet.changes)
        BOOST_TEST(change.order.desired > change.before);
    BOOST_TEST(fleet.overload_s <= to_seconds(fleet.limits.boot_time));
}

// Guards against holders that change often and each begin with orders of their own.
BOOST_AUTO_TEST_CASE(frequent_holder_changes_keep_the_number) {
    simulated_fleet fleet{6, 6, 6};
    fleet.offer(12'000);
    fleet.run(60s);
    fleet.forget_results();
    for (int i = 0; i < 20; ++i) {
        fleet.change_holder();
        fleet.run(std::chrono::seconds{7 + i});
    }
    BOOST_TEST(fleet.changes.empty());
    BOOST_TEST(fleet.overload_s == 0);
}

// Guards against an older order that the platform carries out after a newer one, which then would stay.
BOOST_AUTO_TEST_CASE(an_order_that_is_executed_late_is_corrected) {
    for (const std::uint32_t late : {2U, 12U}) {
        simulated_fleet fleet{6};
        fleet.offer(6'000);
        fleet.run(80s);
        const std::uint32_t wanted = fleet.wanted("dc-1");
        fleet.execute({"lm", "dc-1", late});
        fleet.run(2 * (fleet.limits.boot_time + fleet.settings.settling_time) + 5s);
        BOOST_TEST(fleet.wanted("dc-1") == wanted);
        BOOST_TEST(fleet.at("dc-1").targets.size() == wanted);
    }
}

// Guards against an order that is lost, and against one call after another while the platform is down.
BOOST_AUTO_TEST_CASE(an_order_without_a_response_is_repeated) {
    simulated_fleet fleet{4};
    fleet.offer(3'000);
    fleet.run(40s);
    fleet.forget_results();
    fleet.answers_orders = false;
    fleet.offer(9'000);
    fleet.run(30s);
    BOOST_TEST(fleet.sent.size() >= 10U);
    BOOST_TEST(fleet.sent.size() <= 30U);
    fleet.answers_orders = true;
    fleet.run(5s);
    BOOST_TEST(fleet.at("dc-1").targets.size() == fleet.wanted("dc-1"));
    fleet.forget_results();
    fleet.run(20s);
    BOOST_TEST(fleet.sent.empty());
}

// Guards against fewer targets during a rollout, whose versions share the load.
BOOST_AUTO_TEST_CASE(a_rollout_lowers_nothing) {
    simulated_fleet fleet{10, 10};
    fleet.offer(14'000);
    fleet.run(60s);
    fleet.forget_results();
    fleet.rollout_active = true;
    fleet.offer(3'000);
    fleet.run(200s);
    BOOST_TEST(fleet.changes.empty());
    fleet.rollout_active = false;
    fleet.run(200s);
    BOOST_TEST(fleet.wanted_sum() <= 5U);
}

// Guards against declared limits that the orders exceed after they have changed.
BOOST_AUTO_TEST_CASE(changed_limits_hold_at_once) {
    simulated_fleet fleet{10, 10};
    fleet.offer(14'000);
    fleet.run(60s);
    fleet.limits = {2, 5, 8s};
    fleet.run(2s);
    BOOST_TEST(fleet.wanted("dc-1") == 5U);
    fleet.limits = {7, 20, 8s};
    fleet.run(2s);
    BOOST_TEST(fleet.wanted("dc-1") >= 7U);
}

// Guards against a restarted router whose counts begin anew, and against reports that overtake each other.
BOOST_AUTO_TEST_CASE(work_is_counted_once_whatever_the_reports_do) {
    service_demand demand;
    const auto total = [&](time_point now) {
        return work_between(demand.data_centres["dc-1"].history, now - 10s, now + 10s).offered_ms;
    };
    const time_point start{1000s};
    note_demand(demand, {7, 50'000, 0}, 1, "dc-1", start); // what came before is unknown
    note_demand(demand, {7, 51'000, 0}, 1, "dc-1", start + 1s);
    note_demand(demand, {7, 50'500, 0}, 1, "dc-1", start + 2s);
    note_demand(demand, {7, 51'000, 0}, 1, "dc-1", start + 3s);
    BOOST_TEST(total(start + 3s) == 1'000, boost::test_tools::tolerance(1e-9));
    note_demand(demand, {7, 100, 0}, 2, "dc-1", start + 4s);
    note_demand(demand, {7, 400, 0}, 2, "dc-1", start + 5s);
    BOOST_TEST(total(start + 5s) == 1'300, boost::test_tools::tolerance(1e-9));
}

//-----------------------------------------------------------------------------
// [SECTION] Work of one router
//-----------------------------------------------------------------------------

namespace {

catalog scaled_catalog() {
    catalog contents = make_catalog();
    contents.services["lm"].autoscaling = autoscaling_declaration{1, 20, 5s};
    contents.services["app"].autoscaling = autoscaling_declaration{1, 20, 5s};
    return contents;
}

service_demand_row demand_of(const test_router& router, std::string_view service) {
    const auto rows = own_demand(router.state);
    const auto row = std::ranges::find(rows, stable_hash(service), &service_demand_row::service);
    return row == rows.end() ? service_demand_row{} : *row;
}

} // namespace

// Guards against state that grows, and orders, where no service declares autoscaling.
BOOST_AUTO_TEST_CASE(without_autoscaling_nothing_is_counted) {
    test_router router;
    for (int i = 0; i < 50; ++i)
        router.submit_request("order");
    BOOST_TEST(own_demand(router.state).empty());
    BOOST_TEST(router.state.demand.empty());
    direct::effects out;
    BOOST_TEST(due_target_orders(router.state, out).empty());
    BOOST_TEST(router.state.target_orders.plans.empty());
    BOOST_TEST(out.empty());
}

// Guards against refused work that is not counted, and against repeats that are counted again.
BOOST_AUTO_TEST_CASE(repeats_after_a_refusal_are_not_counted_again) {
    test_router router;
    router.publish(scaled_catalog());
    router.confirm_now();
    for (int i = 0; i < 200; ++i)
        router.submit_request("order");
    const service_demand_row first = demand_of(router, "app");
    BOOST_TEST(first.offered_ms > 0U);
    BOOST_TEST(first.refused_ms > first.offered_ms / 2);
    for (int i = 0; i < 150; ++i) {
        request_arrived request;
        request.caller = router.next_caller++;
        request.attempt = "repeat-" + std::to_string(i);
        request.method = "POST";
        request.host = "h.example";
        request.path = "/order/x";
        request.api_key = "key-1";
        request.remaining = 8s - 90ms;
        router.process(request);
    }
    BOOST_TEST(demand_of(router, "app").offered_ms == first.offered_ms);
    router.submit_request("chat");
    BOOST_TEST(demand_of(router, "lm").offered_ms > 0U);
}

// Guards against callers with a shorter time limit that count as repeats although nothing was refused.
BOOST_AUTO_TEST_CASE(callers_with_other_time_limits_are_counted) {
    test_router router;
    router.publish(scaled_catalog());
    router.confirm_now();
    const std::uint64_t before = demand_of(router, "app").offered_ms;
    for (int i = 0; i < 400; ++i) {
        router.confirm_now();
        const caller_id caller = router.submit_request("order");
        router.process(caller_closed{caller});
        request_arrived request;
        request.caller = router.next_caller++;
        request.attempt = "short-" + std::to_string(i);
        request.method = "POST";
        request.host = "h.example";
        request.path = "/order/x";
        request.api_key = "key-1";
        request.remaining = 2s;
        router.process(request);
        router.process(caller_closed{request.caller});
    }
    const double work = router.state.speeds.at("app").model.speed().base_ms;
    BOOST_TEST(static_cast<double>(demand_of(router, "app").offered_ms - before) >= 800 * work - 2'500);
}

// Guards against a decision without an order, log line or counter, and against orders of a router that has
// just taken over the duty.
BOOST_AUTO_TEST_CASE(the_holder_orders_what_the_reports_ask_for) {
    test_router router;
    router.publish(scaled_catalog());
    std::vector<target_count_order> orders;
    std::uint64_t total = 1'000;
    for (int i = 0; i < 200; ++i) {
        router.confirm_now();
        router.advance_time(100ms);
        total += 400; // 4 s of the targets' time a second
        const service_demand_row row{stable_hash("lm"), total, 0};
        note_peer_demand(router.state, 77, {&row, 1}, "dc-a");
        for (const target_count_order& order : due_target_orders(router.state, router.out)) {
            orders.push_back(order);
            note_order_accepted(router.state, order);
        }
    }
    BOOST_REQUIRE(!orders.empty());
    BOOST_TEST(orders.front().service == "lm");
    BOOST_TEST(orders.front().data_centre == "dc-a");
    BOOST_TEST(orders.front().desired >= 4U);
    bool is_counted = false;
    bool is_logged = false;
    for (const direct::effect& item : router.out) {
        const auto* counted = std::get_if<count>(&item);
        const auto* line = std::get_if<log_event>(&item);
        is_counted = is_counted || (counted != nullptr && counted->name == "target_orders_raised_total");
        is_logged = is_logged || (line != nullptr && line->name == "target_order");
    }
    BOOST_TEST(is_counted);
    BOOST_TEST(is_logged);
    // Silence of the process: another router may have had the duty.
    router.advance_time(10s);
    BOOST_TEST(due_target_orders(router.state, router.out).empty());
}

BOOST_AUTO_TEST_SUITE_END()
