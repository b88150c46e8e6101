// Replays the recorded events of a router or sidecar through its reducer and compares the result with
// expected outcomes.

#include "damaskhill_impl_recording.hpp"

#include <cstdio>

#include <getopt.h>

using namespace damaskhill;

namespace {

void print_usage() {
    std::printf("Usage: damaskhill_replay [--outcomes FILE] [--print] RECORDING\n\n"
                "  -o, --outcomes FILE   expected outcomes to compare with\n"
                "  -p, --print           print the outcomes of the replay as JSON\n"
                "  -h, --help            print this text and exit\n"
                "  -V, --version         print the version and exit\n\n"
                "Exit codes: 0 ok, 2 usage, 3 a file cannot be read, 7 an outcome differs.\n");
}

int report(const failure& error) {
    std::fprintf(stderr, "damaskhill_replay: %s\n", describe(error).c_str());
    return static_cast<int>(exit_code::settings);
}

int check_outcomes(const replay_result& result, const std::string& file) {
    failure error;
    const auto expected_text = read_file(file, error);
    const auto expected = expected_text ? parse_json(*expected_text, file, error) : std::nullopt;
    if (!expected) return report(error);
    const auto differences = compare_outcomes(result, *expected);
    for (const auto& difference : differences)
        std::printf("%s: %s\n", file.c_str(), difference.c_str());
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
    for (int option_char = 0; (option_char = getopt_long(argc, argv, "o:phV", table, nullptr)) != -1;) {
        if (option_char == 'o') {
            outcomes = optarg;
        } else if (option_char == 'p') {
            print = true;
        } else if (option_char == 'h') {
            print_usage();
            return 0;
        } else if (option_char == 'V') {
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
    const std::string recording_file = argv[optind];
    std::ifstream recording{recording_file, std::ios::binary};
    failure error;
    if (!recording)
        return report({failure_kind::not_found, recording_file, "no readable file", "a recording"});
    const auto result = replay_recording(recording, recording_file, error);
    if (!result) return report(error);
    if (print) std::printf("%s\n", dump_json(make_outcomes(*result), 2).c_str());
    const int code = outcomes.empty() ? 0 : check_outcomes(*result, outcomes);
    std::printf("%s: %s, %llu events%s: %s\n", recording_file.c_str(), result->program.c_str(),
                static_cast<unsigned long long>(result->events),
                result->truncated_lines > 0 ? ", last line truncated" : "",
                code != 0 ? "outcomes differ" : "ok");
    return code;
}
