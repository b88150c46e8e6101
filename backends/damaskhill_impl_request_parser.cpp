// Index of this file:
// [SECTION] Parser
// [SECTION] Callbacks

#include "damaskhill_impl_request_parser.hpp"

#include <algorithm>
#include <utility>

namespace damaskhill {

namespace {

constexpr std::uint32_t bad_request = 400;
constexpr std::uint32_t body_too_large = 413;
constexpr std::uint32_t head_too_large = 431;
constexpr std::uint32_t not_implemented = 501;
constexpr std::uint32_t version_not_supported = 505;

} // namespace

//-----------------------------------------------------------------------------
// [SECTION] Parser
//-----------------------------------------------------------------------------

request_parser::request_parser(const client_limit_settings& limits) : limits_(limits) {
    http_parser_init(&parser_, HTTP_REQUEST);
    parser_.data = this;
}

std::size_t request_parser::parse(std::string_view bytes) {
    if (state_ == request_state::refused || state_ == request_state::complete) return 0;
    const std::size_t used = http_parser_execute(&parser_, &callbacks, bytes.data(), bytes.size());
    if (state_ == request_state::complete) {
        http_parser_pause(&parser_, 0);
        received_bytes_ = 0;
        return std::min(used, bytes.size());
    }
    received_bytes_ += bytes.size();
    const http_errno error = HTTP_PARSER_ERRNO(&parser_);
    // One byte of a body in a chunk of its own takes six bytes.
    constexpr std::size_t max_bytes_per_body_byte = 16;
    const bool head_exceeds_limit =
        error == HPE_HEADER_OVERFLOW ||
        (error == HPE_OK && state_ != request_state::body && received_bytes_ > limits_.max_header_bytes);
    if (refusal_status_ != 0) {
        refuse(refusal_status_);
    } else if (head_exceeds_limit) {
        refuse(head_too_large);
    } else if (error != HPE_OK) {
        refuse(bad_request);
    } else if (received_bytes_ >
               2 * limits_.max_header_bytes + max_bytes_per_body_byte * request_.body.size()) {
        refuse(body_too_large); // chunk extensions
    }
    return bytes.size();
}

http_request request_parser::take() {
    state_ = request_state::none;
    return std::exchange(request_, {});
}

void request_parser::refuse(std::uint32_t status) {
    refusal_status_ = status;
    state_ = request_state::refused;
    request_ = {};
    head_bytes_ = 0;
}

bool request_parser::awaits_continue() const {
    return state_ == request_state::body && request_.body.empty() && parser_.http_minor > 0 &&
           same_header_name(find_header(request_.headers, "Expect"), "100-continue");
}

std::size_t request_parser::held_bytes() const {
    return head_bytes_ + request_.headers.capacity() * sizeof(http_headers::value_type) +
           request_.body.size();
}

bool is_whole_request(std::string_view bytes, const client_limit_settings& limits) {
    request_parser parser{limits};
    return parser.parse(bytes) == bytes.size() && parser.state() == request_state::complete;
}

//-----------------------------------------------------------------------------
// [SECTION] Callbacks
//-----------------------------------------------------------------------------

const http_parser_settings request_parser::callbacks = make_callbacks();

http_parser_settings request_parser::make_callbacks() {
    http_parser_settings settings;
    http_parser_settings_init(&settings);
    settings.on_message_begin = [](http_parser* parser) {
        from(parser).begin();
        return 0;
    };
    settings.on_url = [](http_parser* parser, const char* at, std::size_t size) {
        from(parser).request_.target.append(at, size);
        return from(parser).on_head_bytes(size);
    };
    settings.on_header_field = [](http_parser* parser, const char* at, std::size_t size) {
        return from(parser).on_header_name({at, size});
    };
    settings.on_header_value = [](http_parser* parser, const char* at, std::size_t size) {
        return from(parser).on_header_value({at, size});
    };
    settings.on_headers_complete = [](http_parser* parser) { return from(parser).on_head_complete(); };
    settings.on_body = [](http_parser* parser, const char* at, std::size_t size) {
        return from(parser).on_body({at, size});
    };
    settings.on_message_complete = [](http_parser* parser) {
        from(parser).state_ = request_state::complete;
        from(parser).keep_alive_ = http_should_keep_alive(parser) != 0;
        from(parser).head_bytes_ = 0;
        // A pipelined request must not be parsed before the current response is complete.
        http_parser_pause(parser, 1);
        return 0;
    };
    return settings;
}

void request_parser::begin() {
    state_ = request_state::head;
    request_ = {};
    head_bytes_ = 0;
    header_value_started_ = true;
}

int request_parser::on_head_bytes(std::size_t bytes) {
    head_bytes_ += bytes;
    if (head_bytes_ <= limits_.max_header_bytes && request_.headers.size() <= limits_.max_headers) return 0;
    refusal_status_ = head_too_large;
    return 1;
}

// Trailers are counted and dropped: a client must not set a header behind the body.
int request_parser::on_header_name(std::string_view name) {
    constexpr std::size_t separators = 4; // the colon, a space and the end of the line
    if (state_ == request_state::body) return on_head_bytes(name.size() + separators);
    if (header_value_started_) {
        request_.headers.emplace_back();
        head_bytes_ += separators;
    }
    header_value_started_ = false;
    request_.headers.back().first.append(name);
    return on_head_bytes(name.size());
}

int request_parser::on_header_value(std::string_view value) {
    if (state_ == request_state::body) return on_head_bytes(value.size());
    if (request_.headers.empty()) return 1;
    header_value_started_ = true;
    request_.headers.back().second.append(value);
    return on_head_bytes(value.size());
}

int request_parser::on_head_complete() {
    state_ = request_state::body;
    request_.method = http_method_str(static_cast<http_method>(parser_.method));
    if (parser_.http_major != 1) {
        refusal_status_ = version_not_supported;
    } else if (parser_.method == HTTP_CONNECT) {
        refusal_status_ = not_implemented; // http_parser takes no body of it, whatever its length
    } else if ((parser_.flags & F_CONTENTLENGTH) != 0 && parser_.content_length > limits_.max_body_bytes) {
        refusal_status_ = body_too_large;
    }
    // Values up to 2 have other meanings here.
    constexpr int failed = 3;
    return refusal_status_ == 0 ? 0 : failed;
}

int request_parser::on_body(std::string_view data) {
    if (request_.body.size() + data.size() > limits_.max_body_bytes) {
        refusal_status_ = body_too_large;
        return 1;
    }
    request_.body.append(data);
    return 0;
}

} // namespace damaskhill
