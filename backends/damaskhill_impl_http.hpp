// Types shared by the HTTP servers and clients.
//
// Index of this file:
// [SECTION] Headers
// [SECTION] Requests

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

} // namespace damaskhill
