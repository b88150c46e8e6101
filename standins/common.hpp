// What the stand-ins for the platform share: options, JSON replies and the wiring of their HTTP server.
//
// Index of this file:
// [SECTION] Options
// [SECTION] Replies
// [SECTION] Main loop

#pragma once

#include "damaskhill_impl_json.hpp"
#include "damaskhill_impl_restinio.hpp"

#include <cstdio>
#include <map>
#include <set>

#include <getopt.h>

namespace damaskhill::standin {

//-----------------------------------------------------------------------------
// [SECTION] Options
//-----------------------------------------------------------------------------

/// Parses long options that all take a value; prints them and exits for --help, exits with 2 for a wrong one.
inline std::map<std::string, std::string> parse_options(int argc, char** argv,
                                                        const std::map<std::string, std::string>& defaults) {
    std::vector<option> table;
    for (const auto& [name, value] : defaults)
        table.push_back({name.c_str(), required_argument, nullptr, 0});
    table.push_back({"help", no_argument, nullptr, 'h'});
    table.push_back({nullptr, 0, nullptr, 0});
    std::map<std::string, std::string> options = defaults;
    int index = 0;
    for (int letter = 0; (letter = getopt_long(argc, argv, "h", table.data(), &index)) != -1;) {
        if (letter == 0) {
            options[table[static_cast<std::size_t>(index)].name] = optarg;
            continue;
        }
        std::printf("Usage: %s [options]\n", argv[0]);
        for (const auto& [name, value] : defaults)
            std::printf("  --%s VALUE  (default \"%s\")\n", name.c_str(), value.c_str());
        std::exit(letter == 'h' ? 0 : 2);
    }
    return options;
}

inline std::uint64_t number(const std::map<std::string, std::string>& options, const std::string& name) {
    return std::strtoull(options.at(name).c_str(), nullptr, 10);
}

//-----------------------------------------------------------------------------
// [SECTION] Replies
//-----------------------------------------------------------------------------

inline void reply_json(const http_reply_ptr& reply, std::uint32_t status, const json& document) {
    reply->send_response(status, {{"Content-Type", "application/json"}}, dump_json(document));
}

/// Body of a request as an object; an empty object when it is not one.
inline json body_of(const http_request& request) {
    failure why;
    auto document = parse_json(request.body, "body", why);
    return document && document->is_object() ? *document : json::object();
}

/// Copies the members of a request to a fault setting that are present and of the right type.
template <class T>
void take(const json& from, const char* name, T& value) {
    failure why;
    if (from.contains(name)) decode_json(from[name], value, name, unknown_keys::skip, why);
}

//-----------------------------------------------------------------------------
// [SECTION] Main loop
//-----------------------------------------------------------------------------

/// Serves until SIGTERM; returns the exit code of the program.
inline int serve(event_loop& loop, const std::string& address, http_server::handler on_request,
                 http_server::closed_handler on_closed) {
    http_server server{loop, {}};
    failure why;
    if (!server.listen(address, std::move(on_request), std::move(on_closed), why)) {
        std::fprintf(stderr, "%s\n", describe(why).c_str());
        return 4;
    }
    loop.on_terminate([&] { loop.stop(); });
    loop.run();
    return 0;
}

} // namespace damaskhill::standin
