// Index of this file:
// [SECTION] Headers
// [SECTION] Heads of responses

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

//-----------------------------------------------------------------------------
// [SECTION] Heads of responses
//-----------------------------------------------------------------------------

namespace {

bool is_digit(char c) { return c >= '0' && c <= '9'; }

bool has_control_byte(std::string_view text) {
    return std::ranges::any_of(text, [](unsigned char c) { return (c < ' ' && c != '\t') || c == 0x7f; });
}

/// Whether the status of a status line has three digits and belongs to one of the five classes.
bool has_status(std::string_view line) {
    if (!line.starts_with("HTTP/") || has_control_byte(line)) return false;
    constexpr std::size_t digits = 3;
    const std::string_view rest = line.substr(line.find(' ') + 1);
    const std::string_view status = rest.substr(0, rest.find(' '));
    return status.size() == digits && std::ranges::all_of(status, is_digit) && status.front() >= '1' &&
           status.front() <= '5';
}

/// Whether a line is a field: a name of the characters that a token may have (RFC 9110), a colon, and a value
/// without control bytes. A line that continues the one before, as older versions of HTTP allowed, is none.
bool is_field(std::string_view line) {
    constexpr std::string_view marks = "!#$%&'*+-.^_`|~";
    const auto is_token = [&](char c) {
        return is_digit(c) || (c >= 'a' && c <= 'z') || (c >= 'A' && c <= 'Z') ||
               marks.find(c) != std::string_view::npos;
    };
    const std::size_t colon = line.find(':');
    if (colon == 0 || colon == std::string_view::npos) return false;
    return std::ranges::all_of(line.substr(0, colon), is_token) && !has_control_byte(line.substr(colon));
}

} // namespace

bool response_head_check::accept(std::string_view line) {
    if (line.ends_with('\n')) line.remove_suffix(1);
    if (line.ends_with('\r')) line.remove_suffix(1);
    complete_ = !status_expected_ && line.empty();
    if (status_expected_) {
        // Empty lines before a response are ignored.
        status_expected_ = line.empty();
        return line.empty() || has_status(line);
    }
    status_expected_ = complete_;
    return complete_ || is_field(line);
}

} // namespace damaskhill
