// The router daemon: connects the router's reducer to the HTTP server for callers, the links to other
// processes and the platform.
//
// Index of this file:
// [SECTION] Effects
// [SECTION] Program

#include "damaskhill_router.hpp"
#include "damaskhill_impl_curl.hpp"
#include "damaskhill_impl_frontend.hpp"
#include "damaskhill_impl_program.hpp"
#include "damaskhill_impl_recording.hpp"
#include "damaskhill_impl_store.hpp"

#include <cstdio>

using namespace damaskhill;

namespace {

using host = reducer_host<router_state, router_event>;
constexpr duration tick_period = 10ms;

//-----------------------------------------------------------------------------
// [SECTION] Effects
//-----------------------------------------------------------------------------

/// Performs each effect with the component that handles its type; reducer_host performs the common ones.
struct effect_performer {
    event_loop& loop;
    caller_frontend& frontend;
    platform_effects& platform;
    http_server& server;

    void operator()(const exit_process& /*unused*/) const {
        // A connection accepted from here on could be reset when the process exits.
        server.stop_accepting();
        // Leaves time for the last replies to be sent.
        loop.after(200ms, [event_loop_ptr = &loop] { event_loop_ptr->stop(); });
    }
    template <class Effect>
    void operator()(const Effect& item) const {
        if constexpr (requires { frontend.perform(item); }) {
            frontend.perform(item);
        } else if constexpr (requires { platform.perform(item); }) {
            platform.perform(item);
        }
    }
};

/// Answers health, readiness, metrics and revision requests; false: the path is none of these.
bool answer_admin_request(const http_request& request, const http_reply_ptr& reply, const router_state& state,
                          const metrics_registry& metrics) {
    if (request.target == "/healthz") {
        reply->send_response(200, {{"Content-Type", "text/plain"}}, "ok\n");
    } else if (request.target == "/readyz") {
        reply->send_response(state.ready ? 200 : 503, {{"Content-Type", "text/plain"}},
                             state.ready ? "ready\n" : "not ready\n");
    } else if (request.target == "/metrics") {
        reply->send_response(200, {{"Content-Type", "text/plain; version=0.0.4"}}, metrics.text());
    } else if (request.target == "/debug/revisions") {
        reply->send_response(200, {{"Content-Type", "application/json"}},
                             dump_json(encode_json(revisions_of(state.config))));
    } else {
        return false;
    }
    return true;
}

//-----------------------------------------------------------------------------
// [SECTION] Program
//-----------------------------------------------------------------------------

exit_code run(const router_daemon_settings& settings, const std::string& recording_file) {
    event_loop loop;
    metrics_registry metrics;
    span_writer spans{settings.trace_file, "damaskhill_router", settings.name};
    const process_identity identity = make_process_identity();
    router_state state{make_core_settings(settings, identity)};
    host router{state, metrics, spans, recording_file, recording_header(settings, identity)};
    link_transport links{loop, {make_link_keys(settings.link_keys)}, make_link_callbacks(router, metrics)};
    http_client http{loop};
    store_client store{http, settings.store_url};
    const auto submit = [&](router_input&& input) { router.submit(std::move(input)); };
    platform_effects platform{store, submit};
    caller_frontend frontend{submit};
    router.set_transport(&links);
    http_server server{loop, {}};
    router.set_effect_handler([&](effect&& item) {
        std::visit(effect_performer{loop, frontend, platform, server}, item);
    });
    failure error;
    const auto on_request = [&](http_request&& request, http_reply_ptr reply) {
        if (!answer_admin_request(request, reply, state, metrics)) {
            frontend.on_request(std::move(request), std::move(reply));
        }
    };
    const auto on_closed = [&](std::uint64_t connection) {
        loop.post([&frontend, connection] { frontend.on_connection_closed(connection); });
    };
    if (!links.listen(settings.link_address, error) ||
        !server.listen(settings.http_address, on_request, on_closed, error)) {
        std::fprintf(stderr, "damaskhill_router: %s\n", describe(error).c_str());
        return exit_code::network;
    }
    loop.every(tick_period, [&] {
        const link_traffic traffic = links.traffic();
        metrics.set(gauge{"link_bytes", "sent", static_cast<double>(traffic.bytes_sent)});
        metrics.set(gauge{"link_bytes", "received", static_cast<double>(traffic.bytes_received)});
        router.submit(tick{});
    });
    loop.on_terminate([&] { router.submit(stop_requested{}); });
    log_line("listening for HTTP requests on " + settings.http_address + ", for links on " +
             settings.link_address);
    loop.run();
    return exit_code::ok;
}

} // namespace

int main(int argc, char** argv) {
    return daemon_main({argv, static_cast<std::size_t>(argc)}, "damaskhill_router",
                       "Accepts HTTP requests and hands them to sidecars, which pull them.",
                       load_router_settings,
                       [&](const router_daemon_settings& settings, const daemon_options& options) {
                           start_logging(argv[0]);
                           return run(settings, options.recording_file);
                       });
}
