// Event loop: properties that the programs rely on and Asio does not guarantee.

#include "damaskhill_impl_asio.hpp"

#include <boost/test/unit_test.hpp>

#include <csignal>

using namespace damaskhill;

BOOST_AUTO_TEST_SUITE(event_loop_backend)

// Guards against a second run() that returns immediately, before the results its caller waits for have
// arrived.
BOOST_AUTO_TEST_CASE(loop_can_run_again_after_stop) {
    event_loop loop;
    int runs = 0;
    for (int i = 0; i < 2; ++i) {
        loop.post([&] {
            ++runs;
            loop.stop();
        });
        loop.run();
    }
    BOOST_TEST(runs == 2);
}

// Guards against a process being terminated by SIGPIPE when it writes to a connection that its peer has
// closed.
BOOST_AUTO_TEST_CASE(sigpipe_is_ignored) {
    std::signal(SIGPIPE, SIG_DFL);
    const event_loop loop;
    BOOST_TEST((std::signal(SIGPIPE, SIG_DFL) == SIG_IGN));
    std::signal(SIGPIPE, SIG_IGN);
}

BOOST_AUTO_TEST_SUITE_END()
