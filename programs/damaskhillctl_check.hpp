// Command "check" of damaskhillctl: checks declarations or settings before they are sent.
//
// Index of this file:
// [SECTION] Command

#pragma once

#include <string>
#include <vector>

namespace damaskhill {

//-----------------------------------------------------------------------------
// [SECTION] Command
//-----------------------------------------------------------------------------

struct check_options {
    std::string file;     // declarations
    std::string against;  // file with the version in force; empty: none
    std::string store;    // "IP:port" of the store with the version in force and the targets; empty: none
    std::string settings; // settings file of a direct router, checked instead of declarations
    std::vector<std::string> regions; // that exist; empty: not known
    bool as_json{};
};

/// Prints the findings. Returns 0 if there are none, 1 if there are some, and 2 if something cannot be read.
int run_check(const check_options& options);

} // namespace damaskhill
