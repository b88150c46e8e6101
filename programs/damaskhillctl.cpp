// The operators' command line: works on a checkout of declarations and on one team's subtree of the store.
//
// Index of this file:
// [SECTION] Checkout
// [SECTION] Store
// [SECTION] Commands
// [SECTION] Program

#include "damaskhill_impl_curl.hpp"
#include "damaskhill_impl_program.hpp"
#include "damaskhill_impl_store.hpp"

#include <cstdio>
#include <filesystem>

#include <getopt.h>

using namespace damaskhill;

namespace {

struct options {
    std::string store_url;
    std::string team;
    std::string root{"."};
};

int report(const failure& why, exit_code code) {
    std::fprintf(stderr, "damaskhillctl: %s\n", describe(why).c_str());
    return static_cast<int>(code);
}

//-----------------------------------------------------------------------------
// [SECTION] Checkout
//-----------------------------------------------------------------------------

// Files of the team below <root>/teams/<team>.
std::optional<team_record> read_checkout(const options& o, failure& why) {
    namespace fs = std::filesystem;
    const fs::path folder = fs::path{o.root} / "teams" / o.team;
    if (!fs::is_directory(folder)) {
        why = {failure_kind::not_found, folder.string(), "no folder",
               "a folder with the team's declarations"};
        return std::nullopt;
    }
    team_record record;
    record.team = o.team;
    for (const auto& item : fs::recursive_directory_iterator{folder}) {
        if (!item.is_regular_file() || item.path().extension() != ".json") continue;
        const auto text = read_file(item.path().string(), why);
        const auto document = text ? parse_json(*text, item.path().string(), why) : std::nullopt;
        if (!document) return std::nullopt;
        record.files.emplace(fs::relative(item.path(), folder).generic_string(), *document);
    }
    if (!declarations_of(record, why)) return std::nullopt;
    return record;
}

//-----------------------------------------------------------------------------
// [SECTION] Store
//-----------------------------------------------------------------------------

// Runs one call of the store to its end.
template <class Start>
store_result call_store(const options& o, Start&& start) {
    event_loop loop;
    http_client http{loop};
    store_client store{http, o.store_url};
    store_result answer;
    start(store, [&](store_result&& result) {
        answer = std::move(result);
        loop.stop();
    });
    loop.run();
    return answer;
}

store_result read_team(const options& o) {
    return call_store(o, [&](store_client& store, auto done) { store.read("config/" + o.team, done); });
}

bool unreachable(const store_result& result) {
    return result.result == failure_kind::store_unreachable || result.result == failure_kind::store_timeout;
}

//-----------------------------------------------------------------------------
// [SECTION] Commands
//-----------------------------------------------------------------------------

int validate(const options& o) {
    failure why;
    if (!read_checkout(o, why)) return report(why, exit_code::settings);
    std::printf("team %s: ok\n", o.team.c_str());
    return 0;
}

int apply(const options& o) {
    failure why;
    auto record = read_checkout(o, why);
    if (!record) return report(why, exit_code::settings);
    record->nonce = format_hex128(system_random(), system_random());
    constexpr int attempts = 5;
    for (int i = 0; i < attempts; ++i) {
        const store_result present = read_team(o);
        if (unreachable(present)) continue;
        std::uint64_t version = 0;
        if (!present.values.empty()) {
            version = present.values.front().version;
            const auto known = decode_team_record(present.values.front().value, why);
            if (known && known->nonce == record->nonce) {
                std::printf("team %s: revision %llu accepted\n", o.team.c_str(),
                            static_cast<unsigned long long>(known->revision));
                return 0; // an earlier write whose reply was lost
            }
            record->revision = known ? known->revision : version;
        }
        ++record->revision;
        const store_result written = call_store(o, [&](store_client& store, auto done) {
            store.swap("config/" + o.team, version, encode_team_record(*record), done);
        });
        if (written.result == failure_kind::none) {
            std::printf("team %s: revision %llu accepted\n", o.team.c_str(),
                        static_cast<unsigned long long>(record->revision));
            return 0;
        }
    }
    return report({failure_kind::store_unreachable, o.store_url, "no answer", {}},
                  exit_code::store_unreachable);
}

int get(const options& o) {
    const store_result present = read_team(o);
    if (unreachable(present)) {
        return report({present.result, o.store_url, "no answer", {}}, exit_code::store_unreachable);
    }
    std::printf("%s\n", present.values.empty() ? "{}" : present.values.front().value.c_str());
    return 0;
}

void print_usage() {
    std::printf(
        "Usage: damaskhillctl [options] COMMAND\n\n"
        "  -s, --store URL   key-value store\n"
        "  -t, --team NAME   team whose subtree is used\n"
        "  -C, --root DIR    checkout of the declarations (default .)\n"
        "  -h, --help        print this text and exit\n"
        "  -V, --version     print the version and exit\n\n"
        "Commands: validate, apply, get\n"
        "Exit codes: 0 ok, 2 usage, 3 declarations, 5 race lost, 6 store unreachable, 7 check failed.\n");
}

} // namespace

//-----------------------------------------------------------------------------
// [SECTION] Program
//-----------------------------------------------------------------------------

int main(int argc, char** argv) {
    static const option long_options[] = {
        {"store", required_argument, nullptr, 's'}, {"team", required_argument, nullptr, 't'},
        {"root", required_argument, nullptr, 'C'},  {"help", no_argument, nullptr, 'h'},
        {"version", no_argument, nullptr, 'V'},     {nullptr, 0, nullptr, 0}};
    options o;
    for (int letter = 0; (letter = getopt_long(argc, argv, "s:t:C:hV", long_options, nullptr)) != -1;) {
        switch (letter) {
        case 's':
            o.store_url = optarg;
            break;
        case 't':
            o.team = optarg;
            break;
        case 'C':
            o.root = optarg;
            break;
        case 'h':
            print_usage();
            return 0;
        case 'V':
            std::printf("damaskhillctl %s\n", DAMASKHILL_VERSION);
            return 0;
        default:
            return static_cast<int>(exit_code::usage);
        }
    }
    const std::string command = optind < argc ? argv[optind] : "";
    if (command == "validate") return validate(o);
    if (command == "apply") return apply(o);
    if (command == "get") return get(o);
    print_usage();
    return static_cast<int>(exit_code::usage);
}
