// Runs a recording of a router or sidecar through the same reducer and checks it against stated outcomes.

#include "damaskhill_impl_recording.hpp"

#include <cstdio>

#include <getopt.h>

using namespace damaskhill;

namespace {

void print_usage() {
    std::printf("Usage: damaskhill_replay [--outcomes FILE] [--print] RECORDING\n\n"
                "  -o, --outcomes FILE   stated outcomes to check\n"
                "  -p, --print           print the outcomes of the replay\n"
                "  -h, --help            print this text and exit\n"
                "  -V, --version         print the version and exit\n\n"
                "Exit codes: 0 ok, 2 usage, 3 a file cannot be read, 7 an outcome differs.\n");
}

int report(const failure& why) {
    std::fprintf(stderr, "damaskhill_replay: %s\n", describe(why).c_str());
    return static_cast<int>(exit_code::settings);
}

int check(const replay_result& result, const std::string& file) {
    failure why;
    const auto text = read_file(file, why);
    const auto stated = text ? parse_json(*text, file, why) : std::nullopt;
    if (!stated) return report(why);
    const auto differences = compare_outcomes(result, *stated);
    for (const auto& line : differences)
        std::printf("%s: %s\n", file.c_str(), line.c_str());
    return differences.empty() ? 0 : static_cast<int>(exit_code::check_failed);
}

} // namespace

int main(int argc, char** argv) {
    static const option table[] = {{"outcomes", required_argument, nullptr, 'o'},
                                   {"print", no_argument, nullptr, 'p'},
                                   {"help", no_argument, nullptr, 'h'},
                                   {"version", no_argument, nullptr, 'V'},
                                   {nullptr, 0, nullptr, 0}};
    std::string outcomes;
    bool print = false;
    for (int letter = 0; (letter = getopt_long(argc, argv, "o:phV", table, nullptr)) != -1;) {
        if (letter == 'o') {
            outcomes = optarg;
        } else if (letter == 'p') {
            print = true;
        } else if (letter == 'h') {
            print_usage();
            return 0;
        } else if (letter == 'V') {
            std::printf("damaskhill_replay %s\n", DAMASKHILL_VERSION);
            return 0;
        } else {
            return static_cast<int>(exit_code::usage);
        }
    }
    if (optind + 1 != argc) {
        print_usage();
        return static_cast<int>(exit_code::usage);
    }
    const std::string name = argv[optind];
    std::ifstream in{name, std::ios::binary};
    failure why;
    if (!in) return report({failure_kind::not_found, name, "no readable file", "a recording"});
    const auto result = replay_recording(in, name, why);
    if (!result) return report(why);
    if (print) std::printf("%s\n", dump_json(outcomes_of(*result), 2).c_str());
    const int code = outcomes.empty() ? 0 : check(*result, outcomes);
    std::printf("%s: %s, %llu events%s: %s\n", name.c_str(), result->program.c_str(),
                static_cast<unsigned long long>(result->events), result->damaged > 0 ? ", last line cut" : "",
                code != 0 ? "outcomes differ" : "ok");
    return code;
}
