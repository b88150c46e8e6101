// Suspects: requests that were in flight when a target crashed.

#include "damaskhill_bench_fleet.hpp"

#include <boost/test/unit_test.hpp>

using namespace damaskhill;
using namespace damaskhill::bench;

BOOST_AUTO_TEST_SUITE(suspects)

// Guards against a suspect that waits until its deadline although the target is idle. This happens if it is
// not announced again after the sidecar got an empty pull while other calls ran there.
BOOST_AUTO_TEST_CASE(suspect_runs_once_the_target_is_idle) {
    fleet_settings settings;
    settings.routers = 1;
    settings.pools.push_back({"lm", 1, {}});
    fleet f{settings};
    team_declarations team;
    team.team = "t";
    team.accounts.push_back({"t/a", 1.0, {std::string(64, 'a')}, 256});
    pool_declaration lm;
    lm.name = "lm";
    lm.warm_limit = 16;
    team.pools.push_back(lm);
    f.declare(team);
    f.run_for(3s);
    std::vector<caller_id> callers;
    for (int i = 0; i < 24; ++i) {
        caller_request r;
        r.pool = "lm";
        r.method = "POST";
        r.path = "/v1/completions";
        r.key_hash = std::string(64, 'a');
        r.body = "question " + std::to_string(i) + " tokens=16 ";
        r.max_tokens = 16;
        callers.push_back(f.send_request(0, r));
    }
    f.run_for(50ms);
    f.crash_target(f.sidecars("lm").front());
    f.run_for(10s); // the work takes less than 3 s; the deadline is 30 s
    std::size_t answered = 0;
    for (const caller_id caller : callers)
        answered += f.result(caller).answered ? 1 : 0;
    BOOST_TEST(answered == callers.size());
}

BOOST_AUTO_TEST_SUITE_END()
