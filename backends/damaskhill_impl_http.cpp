// Index of this file:
// [SECTION] Headers

#include "damaskhill_impl_http.hpp"

#include <algorithm>
#include <cctype>

namespace damaskhill {

//-----------------------------------------------------------------------------
// [SECTION] Headers
//-----------------------------------------------------------------------------

bool same_header_name(std::string_view a, std::string_view b) {
    return std::ranges::equal(
        a, b, [](unsigned char x, unsigned char y) { return std::tolower(x) == std::tolower(y); });
}

std::string_view find_header(const http_headers& headers, std::string_view name) {
    const auto found = std::ranges::find_if(
        headers, [&](const auto& header) { return same_header_name(header.first, name); });
    return found == headers.end() ? std::string_view{} : std::string_view{found->second};
}

} // namespace damaskhill
