// Index of this file:
// [SECTION] Command

#include "damaskhillctl_check.hpp"

#include "damaskhill_platform_check.hpp"
#include "damaskhill_platform_reader.hpp"

#include <cstdio>

namespace damaskhill {

//-----------------------------------------------------------------------------
// [SECTION] Command
//-----------------------------------------------------------------------------

namespace {

constexpr int exit_clean = 0;
constexpr int exit_findings = 1;
constexpr int exit_unreadable = 2;

int report_unreadable(const failure& error) {
    std::fprintf(stderr, "damaskhillctl: %s\n", describe(error).c_str());
    return exit_unreadable;
}

std::optional<std::vector<platform::finding>> check_file(const check_options& options, failure& error) {
    const auto document = read_file(options.file, error);
    if (!document) return std::nullopt;
    platform::check_input input{*document, {}, {}, options.regions};
    std::optional<std::string> in_force;
    if (!options.against.empty()) {
        in_force = read_file(options.against, error);
        if (!in_force) return std::nullopt;
    }
    if (!options.store.empty()) {
        const platform::reader_settings store{options.store};
        in_force = platform::read_declarations(store, error);
        // A store without declarations, before the first are written, has no version in force.
        if (!in_force && error.kind != failure_kind::not_found) return std::nullopt;
        input.targets = platform::read_targets(store, error);
        if (!input.targets) return std::nullopt;
    }
    if (in_force) input.in_force = *in_force;
    return platform::check_declarations(input, error);
}

} // namespace

int run_check(const check_options& options) {
    failure error;
    const auto findings = options.settings.empty() ? check_file(options, error)
                                                   : platform::check_direct_settings(options.settings, error);
    if (!findings) return report_unreadable(error);
    const std::string text =
        options.as_json ? platform::findings_json(*findings) : platform::findings_text(*findings);
    std::fputs(text.c_str(), stdout);
    return findings->empty() ? exit_clean : exit_findings;
}

} // namespace damaskhill
