// Property P4: data centres and VMs that are out of service get no new work.

#include "damaskhill_bench_fleet.hpp"

#include <boost/test/unit_test.hpp>
#include <rapidcheck.h>

using namespace damaskhill;
using namespace damaskhill::bench;

BOOST_AUTO_TEST_SUITE(data_centres)

namespace {

struct data_centre_fleet {
    explicit data_centre_fleet(std::uint64_t seed) : f{settings(seed)} {
        team.team = "t";
        team.accounts.push_back({"t/a", 1.0, {std::string(64, 'a')}, 256});
        pool_declaration lm;
        lm.name = "lm";
        lm.warm_limit = 16;
        team.pools.push_back(lm);
        f.declare(team);
        f.run_for(3s);
        f.observer = [this](std::size_t node, const effects& out) {
            for (const effect& item : out) {
                if (std::holds_alternative<start_call>(item))
                    last_start[f.nodes()[node].data_centre] = f.now();
            }
        };
        ask();
    }
    static fleet_settings settings(std::uint64_t seed) {
        fleet_settings s;
        s.seed = seed;
        s.pools.push_back({"lm", 6, {}});
        return s;
    }
    void ask() {
        caller_request r;
        r.pool = "lm";
        r.method = "POST";
        r.path = "/v1/completions";
        r.key_hash = std::string(64, 'a');
        r.body = "q tokens=20 ";
        r.max_tokens = 20;
        f.send_request(f.random().next() % f.router_count(), r);
        f.schedule(f.now() + 5ms, [this] { ask(); });
    }
    void set_in_service(const std::string& name, bool in_service) {
        std::erase_if(team.data_centres, [&](const auto& d) { return d.name == name; });
        team.data_centres.push_back({name, in_service});
        f.declare(team);
    }

    fleet f;
    team_declarations team;
    std::map<std::string, time_point> last_start;
};

} // namespace

// Guards against new work in a data centre that is out of service, under random restarts, link cuts and store
// outages that start with the change.
BOOST_AUTO_TEST_CASE(data_centre_out_of_service_gets_no_work_under_faults) {
    BOOST_TEST(rc::check("P4", [] {
        const auto seed = *rc::gen::inRange<std::uint64_t>(1, 100000);
        data_centre_fleet c{seed};
        c.f.run_for(2s);
        c.set_in_service("dc-b", false);
        const time_point changed = c.f.now();
        c.f.run_for(100ms);
        random_source& random = c.f.random();
        for (int i = 0; i < 4; ++i) {
            const std::size_t a = random.next() % c.f.nodes().size();
            const std::size_t b = random.next() % c.f.nodes().size();
            switch (random.next() % 4) {
            case 0:
                c.f.restart(a, false);
                break;
            case 1:
                if (a != b) c.f.block_traffic(a, b);
                break;
            case 2:
                c.f.store().faults.down = true;
                break;
            default:
                c.f.store().blocked_routers.insert(c.f.nodes()[a].name);
                break;
            }
            c.f.run_for(duration{static_cast<std::int64_t>(random.next() % 1'000'000)});
        }
        c.f.run_for(6s);
        RC_ASSERT(c.last_start["dc-b"] <= changed + 4s);
        RC_ASSERT(c.last_start["dc-a"] > changed + 4s || c.last_start["dc-c"] > changed + 4s);
    }));
}

// Guards against a property that cannot fail: processes that lose the declaration keep sending work to the
// data centre.
BOOST_AUTO_TEST_CASE(lost_declaration_violates_the_property) {
    data_centre_fleet c{3};
    c.set_in_service("dc-b", false);
    const time_point changed = c.f.now();
    for (int i = 0; i < 800; ++i) {
        for (node& n : c.f.nodes())
            (n.router ? n.router->config : n.sidecar->config).data_centres.clear();
        c.f.run_for(10ms);
    }
    BOOST_TEST((c.last_start["dc-b"] > changed + 4s));
}

// Guards against a data centre, cut off from the others and from the store, that accepts new work for more
// than 4 s although it may have been taken out of service, and against one that does not recover after the
// cut heals.
BOOST_AUTO_TEST_CASE(isolated_data_centre_stops_and_recovers) {
    data_centre_fleet c{4};
    c.f.run_for(2s);
    c.f.partition_data_centre("dc-b");
    const time_point cut = c.f.now();
    c.f.run_for(8s);
    BOOST_TEST((c.last_start["dc-b"] <= cut + 4s));
    c.f.reconnect_data_centre("dc-b");
    c.f.run_for(12s);
    BOOST_TEST((c.last_start["dc-b"] > cut + 12s));
}

// Guards against a store outage that stops the fleet because no process can confirm the configuration.
BOOST_AUTO_TEST_CASE(store_outage_does_not_stop_the_fleet) {
    data_centre_fleet c{5};
    c.f.run_for(2s);
    c.f.store().faults.down = true;
    c.f.run_for(15s);
    for (const char* name : {"dc-a", "dc-b", "dc-c"})
        BOOST_TEST((c.last_start[name] > c.f.now() - 1s));
}

// Guards against new work for a VM that is marked as leaving in the list of VMs.
BOOST_AUTO_TEST_CASE(leaving_vm_gets_no_work) {
    data_centre_fleet c{6};
    const std::size_t leaving = c.f.sidecars("lm").front();
    time_point last{};
    c.f.observer = [&](std::size_t node, const effects& out) {
        for (const effect& item : out) {
            if (node == leaving && std::holds_alternative<start_call>(item)) last = c.f.now();
        }
    };
    c.f.run_for(2s);
    BOOST_TEST((last > c.f.now() - 1s));
    for (vm_entry& vm : c.f.store().vms)
        vm.leaving = vm.name == c.f.nodes()[leaving].name;
    const time_point marked = c.f.now();
    c.f.run_for(8s);
    BOOST_TEST((last <= marked + 4s));
}

BOOST_AUTO_TEST_SUITE_END()
