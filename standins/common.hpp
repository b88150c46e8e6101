// Shared by the stand-in programs: command-line options, JSON replies and the HTTP server loop.
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

/// Parses long options, each of which takes a value. Prints them and exits for --help; exits with 2 if an
/// option is unknown or lacks its value.
inline std::map<std::string, std::string> parse_options(int argc, char** argv,
                                                        const std::map<std::string, std::string>& defaults) {
    std::vector<option> option_table;
    for (const auto& [name, value] : defaults)
        option_table.push_back({name.c_str(), required_argument, nullptr, 0});
    option_table.push_back({"help", no_argument, nullptr, 'h'});
    option_table.push_back({nullptr, 0, nullptr, 0});
    std::map<std::string, std::string> options = defaults;
    int index = 0;
    for (int option_char = 0;
         (option_char = getopt_long(argc, argv, "h", option_table.data(), &index)) != -1;) {
        if (option_char == 0) {
            options[option_table[static_cast<std::size_t>(index)].name] = optarg;
            continue;
        }
        std::printf("Usage: %s [options]\n", argv[0]);
        for (const auto& [name, value] : defaults)
            std::printf("  --%s VALUE  (default \"%s\")\n", name.c_str(), value.c_str());
        std::exit(option_char == 'h' ? 0 : 2);
    }
    return options;
}

inline std::uint64_t number_option(const std::map<std::string, std::string>& options,
                                   const std::string& name) {
    return std::strtoull(options.at(name).c_str(), nullptr, 10);
}

//-----------------------------------------------------------------------------
// [SECTION] Replies
//-----------------------------------------------------------------------------

inline void reply_json(const http_reply_ptr& reply, std::uint32_t status, const json& document) {
    reply->send_response(status, {{"Content-Type", "application/json"}}, dump_json(document));
}

/// Parses a request body as a JSON object; returns an empty object if it is not one.
inline json parse_body(const http_request& request) {
    failure error;
    auto document = parse_json(request.body, "body", error);
    return document && document->is_object() ? *document : json::object();
}

/// Sets `value` from the member `name` if it is present and of the right type.
template <class T>
void read_member(const json& object, const char* name, T& value) {
    failure error;
    if (object.contains(name)) decode_json(object[name], value, name, unknown_keys::skip, error);
}

//-----------------------------------------------------------------------------
// [SECTION] Main loop
//-----------------------------------------------------------------------------

/// Serves until SIGTERM; returns the exit code of the program.
inline int run_server(event_loop& loop, const std::string& address, http_server::handler on_request,
                      http_server::closed_handler on_closed) {
    http_server server{loop, {}};
    failure error;
    if (!server.listen(address, std::move(on_request), std::move(on_closed), error)) {
        std::fprintf(stderr, "%s\n", describe(error).c_str());
        return 4;
    }
    loop.on_terminate([&] { loop.stop(); });
    loop.run();
    return 0;
}

} // namespace damaskhill::standin
