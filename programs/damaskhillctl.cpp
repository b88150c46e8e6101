// Command line tool for operators: works on a checkout of declarations and on one team's subtree of the
// key-value store.
//
// Index of this file:
// [SECTION] Options
// [SECTION] Store
// [SECTION] Checkout commands
// [SECTION] Edit commands
// [SECTION] Check
// [SECTION] Status
// [SECTION] Program

#include "damaskhill_impl_curl.hpp"
#include "damaskhill_impl_operator.hpp"
#include "damaskhill_impl_program.hpp"
#include "damaskhillctl_check.hpp"

#include <algorithm>
#include <charconv>
#include <cstdio>
#include <filesystem>

#include <getopt.h>

using namespace damaskhill;

namespace {

//-----------------------------------------------------------------------------
// [SECTION] Options
//-----------------------------------------------------------------------------

struct options {
    std::string store_url;
    std::string team;
    std::string root{"."};
    bool as_json{};
    check_options check;
    std::vector<std::string> arguments; // after the command
};

int report(const failure& error) {
    std::fprintf(stderr, "damaskhillctl: %s\n", describe(error).c_str());
    switch (error.kind) {
    case failure_kind::stale_revision:
    case failure_kind::store_conflict:
        return static_cast<int>(exit_code::conflict);
    case failure_kind::store_unreachable:
    case failure_kind::store_timeout:
        return static_cast<int>(exit_code::store_unreachable);
    case failure_kind::network:
        return static_cast<int>(exit_code::network);
    case failure_kind::malformed_request:
        return static_cast<int>(exit_code::usage);
    default:
        return static_cast<int>(exit_code::settings);
    }
}

int usage_error(const std::string& what) {
    std::fprintf(stderr, "damaskhillctl: %s; see damaskhillctl --help\n", what.c_str());
    return static_cast<int>(exit_code::usage);
}

bool set_format(std::string_view format, options& o) {
    o.check.as_json = format == "json";
    return format == "json" || format == "text";
}

std::vector<std::string> split_list(std::string_view list) {
    std::vector<std::string> elements;
    while (!list.empty()) {
        const auto comma = std::min(list.find(','), list.size());
        if (comma > 0) elements.emplace_back(list.substr(0, comma));
        list.remove_prefix(std::min(comma + 1, list.size()));
    }
    return elements;
}

std::string new_nonce() { return format_hex128(system_random(), system_random()); }

//-----------------------------------------------------------------------------
// [SECTION] Store
//-----------------------------------------------------------------------------

// Runs one store call and waits for its result.
template <class Start>
store_result call_store(const std::string& url, Start&& start) {
    event_loop loop;
    http_client http{loop};
    store_client store{http, url};
    store_result response;
    start(store, [&](store_result&& result) {
        response = std::move(result);
        loop.stop();
    });
    loop.run();
    return response;
}

operator_store make_store(const options& o) {
    const std::string url = o.store_url;
    operator_store store;
    store.name = url;
    store.read = [url](const std::string& key) {
        return call_store(url, [&](store_client& s, auto done) { s.read(key, done); });
    };
    store.compare_and_swap = [url](const std::string& key, std::uint64_t expected, const std::string& value) {
        return call_store(
            url, [&](store_client& s, auto done) { s.compare_and_swap(key, expected, value, done); });
    };
    store.read_all = [url] {
        return call_store(url, [&](store_client& s, auto done) { s.watch("config/", 0, duration{0}, done); });
    };
    return store;
}

//-----------------------------------------------------------------------------
// [SECTION] Checkout commands
//-----------------------------------------------------------------------------

int print_accepted(const options& o, std::uint64_t revision) {
    std::printf("team %s: revision %llu accepted\n", o.team.c_str(),
                static_cast<unsigned long long>(revision));
    return 0;
}

// Makes the path in an error of a check, which is relative to the team's folder, relative to the working
// directory.
void qualify_path(const checkout& local, failure& error) {
    for (const char* folder : {"accounts/", "pools/", "services/", "moves/", "data_centres/"}) {
        if (error.where.starts_with(folder)) error.where = local.folder + "/" + error.where;
    }
}

// Without --store, checks only the files; with it, also their names against those of other teams.
int validate(const options& o) {
    failure error;
    const auto local = read_checkout(o.root, o.team, error);
    if (!local) return report(error);
    const bool ok = o.store_url.empty() ? parse_declarations(local->record, error).has_value()
                                        : check_record(make_store(o), local->record, error).has_value();
    if (!ok) {
        qualify_path(*local, error);
        return report(error);
    }
    std::printf("team %s: ok\n", o.team.c_str());
    return 0;
}

void print_prefixed(const char* prefix, const json& document) {
    const std::string text = dump_json(document, 2);
    for (std::size_t begin = 0; begin < text.size();) {
        const std::size_t end = std::min(text.find('\n', begin), text.size());
        std::printf("%s%s\n", prefix, text.substr(begin, end - begin).c_str());
        begin = end + 1;
    }
}

void print_difference(const file_difference& d, const checkout& local, const team_record& stored) {
    const char* origin = d.changed_here && d.changed_in_store ? "changed here and in the store"
                         : d.changed_in_store                 ? "changed in the store"
                                                              : "changed here";
    std::printf("%s: %s\n", d.path.c_str(), origin);
    const auto stored_file = stored.files.find(d.path);
    const auto local_file = local.record.files.find(d.path);
    if (stored_file != stored.files.end()) print_prefixed("- ", stored_file->second);
    if (local_file != local.record.files.end()) print_prefixed("+ ", local_file->second);
}

int diff(const options& o) {
    failure error;
    const auto local = read_checkout(o.root, o.team, error);
    if (!local) return report(error);
    const auto stored = read_team_record(make_store(o), o.team, error);
    if (!stored) return report(error);
    std::printf("team %s: checkout of revision %llu, store holds revision %llu\n", o.team.c_str(),
                static_cast<unsigned long long>(local->base.revision),
                static_cast<unsigned long long>(stored->record.revision));
    for (const file_difference& d : compare_files(*local, stored->record)) {
        if (!d.identical) print_difference(d, *local, stored->record);
    }
    return 0;
}

int apply(const options& o) {
    failure error;
    auto local = read_checkout(o.root, o.team, error);
    if (!local) return report(error);
    const auto revision = apply_checkout(make_store(o), *local, new_nonce(), error);
    if (revision) return print_accepted(o, *revision);
    qualify_path(*local, error);
    return report(error);
}

int get(const options& o) {
    failure error;
    const operator_store store = make_store(o);
    if (o.as_json) {
        const auto stored = read_team_record(store, o.team, error);
        if (!stored) return report(error);
        std::printf("%s\n", stored->version == 0 ? "{}" : encode_team_record(stored->record).c_str());
        return 0;
    }
    std::error_code ec;
    std::filesystem::create_directories(std::filesystem::path{o.root} / "teams" / o.team, ec);
    auto local = read_checkout(o.root, o.team, error);
    if (!local) return report(error);
    const auto conflicts = update_checkout(store, *local, error);
    if (!conflicts) return report(error);
    std::printf("team %s: checkout of revision %llu\n", o.team.c_str(),
                static_cast<unsigned long long>(local->base.revision));
    for (const std::string& path : *conflicts) {
        std::fprintf(stderr,
                     "damaskhillctl: %s/%s: changed here and in the store; merge it into the file beside it, "
                     "then remove it\n",
                     local->folder.c_str(), path.c_str());
    }
    return static_cast<int>(conflicts->empty() ? exit_code::ok : exit_code::conflict);
}

//-----------------------------------------------------------------------------
// [SECTION] Edit commands
//-----------------------------------------------------------------------------

int edit_declaration(const options& o, std::string_view folder, const std::string& name, bool may_create,
                     const document_edit& edit) {
    failure error;
    auto local = read_checkout(o.root, o.team, error);
    if (!local) return report(error);
    std::string path = find_declaration_path(local->record, folder, name);
    if (path.empty() && !may_create) {
        error = {failure_kind::not_found, local->folder + "/" + std::string{folder},
                 "no file that declares \"" + name + "\"", "a name that the checkout declares"};
        return report(error);
    }
    if (path.empty()) path = std::string{folder} + name + ".json";
    const auto revision = apply_edit(make_store(o), *local, path, edit, new_nonce(), error);
    if (revision) return print_accepted(o, *revision);
    return report(error);
}

int set_in_service(const options& o, bool in_service) {
    if (o.arguments.size() != 1) return usage_error("exactly one data centre is required");
    return edit_declaration(o, "data_centres/", o.arguments.front(), false,
                            [&](const json& current, failure&) -> std::optional<json> {
                                json document = current;
                                document["in_service"] = in_service;
                                return document;
                            });
}

int take_back(const options& o) {
    if (o.arguments.size() != 1) return usage_error("exactly one move is required");
    return edit_declaration(o, "moves/", o.arguments.front(), false,
                            [](const json& current, failure&) -> std::optional<json> {
                                json document = current;
                                document["take_back"] = true;
                                return document;
                            });
}

// Parses a time in the format of the declarations, or "+30" for 30 minutes from now.
std::optional<json> time_argument(const std::string& text, const char* name, failure& error) {
    if (text.size() > 1 && text.front() == '+') {
        std::int64_t minutes = 0;
        const char* end = text.data() + text.size();
        const auto parsed_number = std::from_chars(text.data() + 1, end, minutes);
        constexpr std::int64_t max_minutes = std::chrono::minutes{std::chrono::hours{24 * 365}}.count();
        if (parsed_number.ec == std::errc{} && parsed_number.ptr == end && minutes >= 0 &&
            minutes <= max_minutes) {
            return (wall_clock() + std::chrono::minutes{minutes}).time_since_epoch().count();
        }
        error = {failure_kind::malformed_request, name, text, "+ and minutes from now, such as +30"};
        return std::nullopt;
    }
    time_point parsed;
    if (!detail::decode_time(json(text), parsed, name, error)) {
        error.kind = failure_kind::malformed_request;
        return std::nullopt;
    }
    return json(text);
}

int move(const options& o) {
    const auto& arguments = o.arguments;
    if (arguments.size() != 5 && arguments.size() != 6)
        return usage_error("move needs NAME POOL FROM TO DEADLINE [START]");
    failure error;
    const auto deadline = time_argument(arguments[4], "DEADLINE", error);
    if (!deadline) return report(error);
    const auto start = time_argument(arguments.size() == 6 ? arguments[5] : "+0", "START", error);
    if (!start) return report(error);
    const json document{{"name", arguments[0]},       {"pool", arguments[1]}, {"from_version", arguments[2]},
                        {"to_version", arguments[3]}, {"start", *start},      {"deadline", *deadline}};
    return edit_declaration(o, "moves/", arguments[0], true,
                            [&](const json& current, failure& edit_error) -> std::optional<json> {
                                if (current.is_null()) return document;
                                edit_error = {failure_kind::out_of_range,
                                              "moves/" + arguments[0] + ".json: $.name", arguments[0],
                                              "the name of a move that is not declared yet"};
                                return std::nullopt;
                            });
}

//-----------------------------------------------------------------------------
// [SECTION] Check
//-----------------------------------------------------------------------------

// Accepts the store's address with or without the scheme that other commands need.
int check(const options& o) {
    check_options checked = o.check;
    checked.as_json = checked.as_json || o.as_json;
    checked.store = o.store_url;
    constexpr std::string_view scheme = "http://";
    if (checked.store.starts_with(scheme)) checked.store.erase(0, scheme.size());
    if (!checked.against.empty() && !checked.store.empty())
        return usage_error("check takes either --against or --store");
    if (checked.settings.empty() != (o.arguments.size() == 1) || o.arguments.size() > 1)
        return usage_error("check needs either one file or --settings");
    if (!o.arguments.empty()) checked.file = o.arguments.front();
    return run_check(checked);
}

//-----------------------------------------------------------------------------
// [SECTION] Status
//-----------------------------------------------------------------------------

constexpr duration process_timeout = 2s;

// Queries all processes in parallel; run() returns when each has answered or timed out.
struct status_query {
    event_loop loop;
    http_client http{loop};
    std::vector<process_status> processes;
    std::size_t pending{};

    void finish_request() {
        if (--pending == 0) loop.stop();
    }
    void query_process(std::size_t i) {
        const std::string url = "http://" + processes[i].vm.http;
        pending += 2;
        http.start({"GET", url + "/debug/revisions", {}, {}, process_timeout, 1s},
                   {{}, [this, i](http_result&& response) {
                        failure error;
                        auto revisions = response.transport_ok && response.status == 200
                                             ? parse_json_as<std::vector<team_revision>>(
                                                   response.body, "revisions", unknown_keys::skip, error)
                                             : std::nullopt;
                        processes[i].answered = revisions.has_value();
                        if (revisions) processes[i].revisions = std::move(*revisions);
                        finish_request();
                    }});
        http.start({"GET", url + "/readyz", {}, {}, process_timeout, 1s},
                   {{}, [this, i](http_result&& response) {
                        processes[i].ready = response.transport_ok && response.status == 200;
                        finish_request();
                    }});
    }
    void run() {
        for (std::size_t i = 0; i < processes.size(); ++i) {
            if (!processes[i].vm.http.empty()) query_process(i);
        }
        if (pending > 0) loop.run();
    }
};

std::optional<std::vector<process_status>> list_processes(const options& o, failure& error) {
    event_loop loop;
    http_client http{loop};
    store_client store{http, o.store_url};
    std::optional<vm_list> listed;
    store.list_vms([&](std::optional<vm_list>&& list) {
        listed = std::move(list);
        loop.stop();
    });
    loop.run();
    if (!listed) {
        error = {failure_kind::store_unreachable, o.store_url + "/v1/vms", "no list of VMs",
                 "the platform's list"};
        return std::nullopt;
    }
    std::vector<process_status> processes;
    for (vm_entry& vm : listed->vms)
        processes.push_back({std::move(vm), false, false, {}, {}});
    return processes;
}

std::optional<std::vector<team_revision>> read_stored_revisions(const options& o, failure& error) {
    const store_result all = make_store(o).read_all();
    if (all.result != failure_kind::none) {
        error = {all.result, o.store_url, "no answer", "a key-value store that answers"};
        return std::nullopt;
    }
    std::vector<team_revision> revisions;
    for (const stored_value& value : all.values) {
        failure ignored;
        const auto record = decode_team_record(value.value, ignored);
        if (record && (o.team.empty() || record->team == o.team))
            revisions.push_back({record->team, record->revision});
    }
    std::ranges::sort(revisions, {}, &team_revision::team);
    return revisions;
}

// Returns 7 while a process does not answer or is behind, so that scripts can wait for a change to take
// effect.
int status(const options& o) {
    failure error;
    auto processes = list_processes(o, error);
    const auto stored = processes ? read_stored_revisions(o, error) : std::nullopt;
    if (!stored) return report(error);
    status_query query;
    query.processes = std::move(*processes);
    query.run();
    mark_behind(query.processes, *stored);
    const std::string text = o.as_json ? dump_json(status_json(query.processes, *stored), 2) + "\n"
                                       : status_table(query.processes, *stored);
    std::printf("%s", text.c_str());
    const bool all_current = std::ranges::all_of(query.processes, [](const process_status& p) {
        return p.vm.leaving || (p.answered && p.behind.empty());
    });
    return static_cast<int>(all_current ? exit_code::ok : exit_code::check_failed);
}

void print_usage() {
    std::printf(
        "Usage: damaskhillctl [options] COMMAND [arguments]\n\n"
        "  -s, --store URL   key-value store and list of VMs\n"
        "  -t, --team NAME   team whose subtree of the store is used\n"
        "  -C, --root DIR    checkout of the declarations, contains teams/<team>/ (default .)\n"
        "  -j, --json        status, get: print JSON; get then does not change the checkout\n"
        "  -a, --against FILE  check: the version in force\n"
        "  -f, --format text|json  check: format of the findings (default text)\n"
        "  -r, --regions A,B   check: the regions that exist\n"
        "  -S, --settings FILE  check: check a direct router's settings\n"
        "  -h, --help        print this text and exit\n"
        "  -V, --version     print the version and exit\n\n"
        "Commands:\n"
        "  check FILE        check declarations for direct routers before they are written\n"
        "  validate          check the files; with --store also for name conflicts with other teams\n"
        "  diff              show the differences between the checkout and the store\n"
        "  apply             write the checkout to the store as the team's declarations\n"
        "  get               merge changes in the store into the checkout\n"
        "  status            state of every process and the revision in effect there\n"
        "  leave DC          take a data centre out of service\n"
        "  return DC         put a data centre back into service\n"
        "  move NAME POOL FROM TO DEADLINE [START]\n"
        "                    move a pool to another version; times are 2026-12-04T05:00:00Z or +MINUTES\n"
        "  take-back MOVE    roll a move back\n\n"
        "Exit codes: 0 ok, 2 usage, 3 declarations, 4 network, 5 the store holds a newer revision,\n"
        "6 store unreachable, 7 status: a process does not answer or is behind.\n"
        "Of check: 0 no findings, 1 findings, 2 usage or something cannot be read.\n");
}

} // namespace

//-----------------------------------------------------------------------------
// [SECTION] Program
//-----------------------------------------------------------------------------

namespace {

struct command {
    const char* name;
    bool needs_store;
    bool needs_team;
    std::function<int(const options&)> run;
};

const std::vector<command>& commands() {
    static const std::vector<command> all{
        {"check", false, false, check},
        {"validate", false, true, validate},
        {"diff", true, true, diff},
        {"apply", true, true, apply},
        {"get", true, true, get},
        {"status", true, false, status},
        {"leave", true, true, [](const options& o) { return set_in_service(o, false); }},
        {"return", true, true, [](const options& o) { return set_in_service(o, true); }},
        {"move", true, true, move},
        {"take-back", true, true, take_back}};
    return all;
}

// A team's name becomes a directory and a key of the store; it must not escape from either.
bool is_team_name(const std::string& name) {
    return !name.empty() && name.front() != '.' && name.find('/') == std::string::npos;
}

int run_command(const std::string& name, const options& o) {
    const auto found = std::ranges::find_if(commands(), [&](const command& c) { return name == c.name; });
    if (found == commands().end())
        return usage_error(name.empty() ? "no command" : "unknown command " + name);
    if (found->needs_store && o.store_url.empty()) return usage_error(name + " needs --store");
    if (found->needs_team && !is_team_name(o.team))
        return usage_error(name + " needs --team with a name without \"/\" and without a leading \".\"");
    return found->run(o);
}

} // namespace

int main(int argc, char** argv) {
    static const option long_options[] = {{"store", required_argument, nullptr, 's'},
                                          {"team", required_argument, nullptr, 't'},
                                          {"root", required_argument, nullptr, 'C'},
                                          {"json", no_argument, nullptr, 'j'},
                                          {"against", required_argument, nullptr, 'a'},
                                          {"format", required_argument, nullptr, 'f'},
                                          {"regions", required_argument, nullptr, 'r'},
                                          {"settings", required_argument, nullptr, 'S'},
                                          {"help", no_argument, nullptr, 'h'},
                                          {"version", no_argument, nullptr, 'V'},
                                          {nullptr, 0, nullptr, 0}};
    options o;
    for (int option_char = 0;
         (option_char = getopt_long(argc, argv, "s:t:C:ja:f:r:S:hV", long_options, nullptr)) != -1;) {
        switch (option_char) {
        case 's':
            o.store_url = optarg;
            break;
        case 't':
            o.team = optarg;
            break;
        case 'C':
            o.root = optarg;
            break;
        case 'j':
            o.as_json = true;
            break;
        case 'a':
            o.check.against = optarg;
            break;
        case 'f':
            if (!set_format(optarg, o)) return usage_error("the format is text or json");
            break;
        case 'r':
            o.check.regions = split_list(optarg);
            break;
        case 'S':
            o.check.settings = optarg;
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
    const std::string name = optind < argc ? argv[optind] : "";
    for (int i = optind + 1; i < argc; ++i)
        o.arguments.emplace_back(argv[i]);
    return run_command(name, o);
}
