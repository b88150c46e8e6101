// Index of this file:
// [SECTION] Replies
// [SECTION] Server

#include "damaskhill_impl_restinio.hpp"

#include <restinio/all.hpp>

namespace damaskhill {

namespace {

//-----------------------------------------------------------------------------
// [SECTION] Replies
//-----------------------------------------------------------------------------

restinio::http_status_line_t status_line(std::uint32_t status) {
    return {restinio::http_status_code_t{static_cast<std::uint16_t>(status)},
            status < 400 ? "OK" : "Refused"};
}

class restinio_reply final : public http_reply {
public:
    explicit restinio_reply(restinio::request_handle_t request) : request_(std::move(request)) {}

    void send_response(std::uint32_t status, const http_headers& headers, std::string body) override {
        if (!request_) return;
        auto response = request_->create_response(status_line(status));
        for (const auto& [name, value] : headers)
            response.append_header(name, value);
        response.set_body(std::move(body));
        response.done();
        request_.reset();
    }

    void begin_response(std::uint32_t status, const http_headers& headers) override {
        if (!request_) return;
        stream_ = std::make_unique<stream>(
            request_->create_response<restinio::chunked_output_t>(status_line(status)));
        for (const auto& [name, value] : headers)
            stream_->append_header(name, value);
        stream_->flush();
        request_.reset();
    }

    void send_chunk(std::string data) override {
        // An empty chunk would end the body.
        if (!stream_ || data.empty()) return;
        stream_->append_chunk(std::move(data));
        stream_->flush();
    }

    void end_response() override {
        if (!stream_) return;
        stream_->done();
        stream_.reset();
    }

    void abort() override {
        // RESTinio cannot close a connection directly. A stream is ended as HTTP requires, but without the
        // [DONE] event that marks its content as complete. A response that has not begun announces more bytes
        // than it sends before the connection is closed.
        if (stream_) {
            stream_->connection_close();
            end_response();
        }
        if (!request_) return;
        constexpr std::size_t announced_bytes = 64;
        auto response = request_->create_response<restinio::user_controlled_output_t>(status_line(200));
        response.set_content_length(announced_bytes);
        response.connection_close();
        response.flush();
        response.done();
        request_.reset();
    }

private:
    using stream = restinio::response_builder_t<restinio::chunked_output_t>;
    restinio::request_handle_t request_;
    std::unique_ptr<stream> stream_;
};

//-----------------------------------------------------------------------------
// [SECTION] Server
//-----------------------------------------------------------------------------

class close_listener {
public:
    explicit close_listener(http_server::closed_handler on_closed) : on_closed_(std::move(on_closed)) {}
    void state_changed(const restinio::connection_state::notice_t& notice) noexcept {
        if (std::holds_alternative<restinio::connection_state::closed_t>(notice.cause()) && on_closed_) {
            on_closed_(notice.connection_id());
        }
    }

private:
    http_server::closed_handler on_closed_;
};

struct server_traits : restinio::traits_t<restinio::asio_timer_manager_t, restinio::null_logger_t> {
    using connection_state_listener_t = close_listener;
};
using server = restinio::http_server_t<server_traits>;

http_request to_request(const restinio::request_handle_t& from) {
    http_request request;
    request.connection = from->connection_id();
    request.method = from->header().method().c_str();
    request.target = from->header().request_target();
    from->header().for_each_field(
        [&](const auto& field) { request.headers.emplace_back(field.name(), field.value()); });
    request.body = from->body();
    return request;
}

} // namespace

struct http_server::implementation {
    implementation(event_loop& l, http_server_settings s) : loop(l), settings(s) {}
    event_loop& loop;
    http_server_settings settings;
    std::unique_ptr<server> server_instance;
};

http_server::http_server(event_loop& loop, http_server_settings settings)
    : impl_(std::make_unique<implementation>(loop, settings)) {}

http_server::~http_server() { stop_accepting(); }

void http_server::stop_accepting() {
    if (impl_->server_instance) impl_->server_instance->close_async([] {}, [](const std::exception_ptr&) {});
}

std::optional<bool> http_server::listen(std::string_view address, handler on_request,
                                        closed_handler on_closed, failure& error) {
    const auto parts = split_address(address, error);
    if (!parts) return std::nullopt;
    auto& context = *static_cast<asio::io_context*>(impl_->loop.native());
    const auto limit = std::chrono::duration_cast<std::chrono::seconds>(impl_->settings.response_timeout);
    restinio::incoming_http_msg_limits_t limits;
    limits.max_body_size(impl_->settings.max_body_bytes)
        .max_field_value_size(impl_->settings.max_header_bytes);
    bool open_failed = false;
    std::string reason;
    impl_->server_instance =
        std::make_unique<server>(restinio::external_io_context(context), [&](auto& settings) {
            settings.address(parts->first)
                .port(parts->second)
                .incoming_http_msg_limits(limits)
                .handle_request_timeout(limit)
                .write_http_response_timelimit(limit)
                .read_next_http_message_timelimit(std::chrono::seconds{120})
                .max_pipelined_requests(1)
                .connection_state_listener(std::make_shared<close_listener>(std::move(on_closed)))
                .request_handler([on_request = std::move(on_request)](restinio::request_handle_t request) {
                    http_request converted = to_request(request);
                    on_request(std::move(converted), std::make_shared<restinio_reply>(std::move(request)));
                    return restinio::request_accepted();
                });
        });
    impl_->server_instance->open_async([] {},
                                       [&](const std::exception_ptr& exception) {
                                           open_failed = true;
                                           try {
                                               std::rethrow_exception(exception);
                                           } catch (const std::exception& e) {
                                               reason = e.what();
                                           }
                                       });
    // open_async() runs on the loop, which is polled here so that this call can report an address in use.
    for (int i = 0; i < 8; ++i)
        context.poll();
    context.restart();
    if (open_failed) {
        error = {failure_kind::network, std::string{address}, reason, "an unused address of this VM"};
        return std::nullopt;
    }
    return true;
}

} // namespace damaskhill
