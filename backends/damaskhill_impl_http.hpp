// Types shared by the HTTP servers and clients.
//
// Index of this file:
// [SECTION] Headers
// [SECTION] Requests
// [SECTION] Heads of responses

#pragma once

#include <cstdint>
#include <string>
#include <string_view>
#include <utility>
#include <vector>

namespace damaskhill {

//-----------------------------------------------------------------------------
// [SECTION] Headers
//-----------------------------------------------------------------------------

using http_headers = std::vector<std::pair<std::string, std::string>>;

/// Compares two header names, ignoring case.
[[nodiscard]] bool same_header_name(std::string_view a, std::string_view b);
/// Value of the header with this name, ignoring case; empty if it is missing.
[[nodiscard]] std::string_view find_header(const http_headers& headers, std::string_view name);

//-----------------------------------------------------------------------------
// [SECTION] Requests
//-----------------------------------------------------------------------------

struct http_request {
    std::uint64_t connection{};
    std::string method;
    std::string target; // path and query
    http_headers headers;
    std::string body;
};

//-----------------------------------------------------------------------------
// [SECTION] Heads of responses
//-----------------------------------------------------------------------------

/// Checks the lines of a response's head. The parsers of the HTTP clients accept more than HTTP allows, and
/// each something else.
class response_head_check {
public:
    /// Whether the next line may stand in the head. After the empty line that ends it, the line is the first
    /// one of the next response.
    [[nodiscard]] bool accept(std::string_view line);
    /// Whether the last line ended a head, so that what follows is a body or another head.
    [[nodiscard]] bool is_complete() const { return complete_; }

private:
    bool status_expected_{true};
    bool complete_{};
};

} // namespace damaskhill
