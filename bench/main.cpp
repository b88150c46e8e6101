// Runs the benchmarks and prints one JSON object per line. Exits with 1 if a result misses its bound or no
// benchmark has the given name.

#include "damaskhill_bench.hpp"
#include "damaskhill_impl_json.hpp"

#include <algorithm>
#include <cstdio>

#include <getopt.h>

namespace damaskhill::bench {

std::vector<registration>& registrations() {
    static std::vector<registration> registry;
    return registry;
}

} // namespace damaskhill::bench

using namespace damaskhill;

namespace {

bool print_row(const bench::row& r, std::uint64_t seed) {
    // `bench` is "name" or "name.measure"; a benchmark may report several measures.
    const auto separator = r.bench.find('.');
    json line{{"bench", r.bench.substr(0, separator)},
              {"value", r.value},
              {"unit", r.unit},
              {"bound", r.bound},
              {"ok", r.ok},
              {"seed", seed}};
    if (separator != std::string::npos) line["measure"] = r.bench.substr(separator + 1);
    if (!r.detail.empty()) line["detail"] = r.detail;
    std::printf("%s\n", dump_json(line).c_str());
    std::fflush(stdout);
    return r.ok;
}

} // namespace

int main(int argc, char** argv) {
    static const option long_options[] = {{"only", required_argument, nullptr, 'o'},
                                          {"seed", required_argument, nullptr, 's'},
                                          {"help", no_argument, nullptr, 'h'},
                                          {nullptr, 0, nullptr, 0}};
    std::string only;
    std::uint64_t seed = 1;
    for (int opt = 0; (opt = getopt_long(argc, argv, "o:s:h", long_options, nullptr)) != -1;) {
        switch (opt) {
        case 'o':
            only = optarg;
            break;
        case 's':
            seed = std::strtoull(optarg, nullptr, 10);
            break;
        default:
            std::printf("Usage: %s [--only NAME] [--seed N]\n", argv[0]);
            return opt == 'h' ? 0 : 2;
        }
    }
    auto benches = bench::registrations();
    std::ranges::sort(benches, {}, &bench::registration::name);
    bool ok = true;
    bool found = false;
    for (const auto& r : benches) {
        if (!only.empty() && r.name != only) continue;
        found = true;
        for (const bench::row& result : r.run(seed))
            ok = print_row(result, seed) && ok;
    }
    if (!found) std::fprintf(stderr, "no such bench: %s\n", only.c_str());
    return found && ok ? 0 : 1;
}
