// Index of this file:
// [SECTION] Transport

#include "damaskhill_impl_datagram.hpp"

#include <asio.hpp>

#include <unordered_map>

namespace damaskhill {

//-----------------------------------------------------------------------------
// [SECTION] Transport
//-----------------------------------------------------------------------------

namespace {

constexpr std::size_t max_datagram_bytes = 60'000; // UDP over IPv4 carries at most 65,507
// Datagrams have no position in a stream; the reports carry their own sequence.
constexpr frame_context datagram_context{false, 0, "datagram"};

} // namespace

struct datagram_transport::implementation : std::enable_shared_from_this<implementation> {
    implementation(asio::io_context& context, std::vector<link_key> k, report_handler h)
        : socket(context), keys(std::move(k)), on_report(std::move(h)), buffer(max_datagram_bytes, '\0') {}

    void receive();
    void on_datagram(std::string_view bytes);

    asio::ip::udp::socket socket;
    std::vector<link_key> keys;
    report_handler on_report;
    std::string buffer;
    asio::ip::udp::endpoint sender;
    std::unordered_map<std::string, asio::ip::udp::endpoint> endpoints;
    std::uint64_t rejected_datagrams{};
    std::uint64_t send_failures{};
};

void datagram_transport::implementation::receive() {
    socket.async_receive_from(asio::buffer(buffer), sender,
                              [self = shared_from_this()](const asio::error_code& ec, std::size_t size) {
                                  if (ec == asio::error::operation_aborted) return;
                                  if (!ec) self->on_datagram({self->buffer.data(), size});
                                  self->receive();
                              });
}

void datagram_transport::implementation::on_datagram(std::string_view bytes) {
    failure error;
    const auto message = bytes.size() > frame_length_size
                             ? verify_frame(bytes.substr(frame_length_size), keys, datagram_context, error)
                             : std::nullopt;
    auto report = message ? decode_report(*message, error) : std::nullopt;
    if (!report) {
        ++rejected_datagrams;
        return;
    }
    on_report(std::move(*report));
}

datagram_transport::datagram_transport(event_loop& loop, std::vector<link_key> keys, report_handler on_report)
    : impl_(std::make_shared<implementation>(*static_cast<asio::io_context*>(loop.native()), std::move(keys),
                                             std::move(on_report))) {}

datagram_transport::~datagram_transport() {
    asio::error_code ignored;
    impl_->socket.close(ignored);
}

std::optional<bool> datagram_transport::bind(std::string_view address, failure& error) {
    const auto parts = split_address(address, error);
    if (!parts) return std::nullopt;
    asio::error_code ec;
    const asio::ip::udp::endpoint endpoint{asio::ip::make_address(parts->first, ec), parts->second};
    if (!ec) impl_->socket.open(endpoint.protocol(), ec);
    if (!ec) impl_->socket.bind(endpoint, ec);
    if (!ec) impl_->socket.non_blocking(true, ec);
    if (ec) {
        error = {failure_kind::network, std::string{address}, ec.message(), "an unused address of this VM"};
        return std::nullopt;
    }
    impl_->receive();
    return true;
}

void datagram_transport::send(std::span<const std::string> addresses, const router_report& report) {
    const std::string frame = sign_frame(encode_report(report), impl_->keys, datagram_context);
    if (frame.size() > max_datagram_bytes) {
        ++impl_->send_failures;
        return;
    }
    for (const std::string& address : addresses) {
        auto found = impl_->endpoints.find(address);
        if (found == impl_->endpoints.end()) {
            failure error;
            const auto parts = split_address(address, error);
            if (!parts) continue; // a peer announced an invalid address
            const asio::ip::udp::endpoint endpoint{asio::ip::make_address(parts->first), parts->second};
            found = impl_->endpoints.emplace(address, endpoint).first;
        }
        asio::error_code ec;
        impl_->socket.send_to(asio::buffer(frame), found->second, 0, ec);
        if (ec) ++impl_->send_failures;
    }
}

std::uint64_t datagram_transport::send_failures() const { return impl_->send_failures; }
std::uint64_t datagram_transport::rejected_datagrams() const { return impl_->rejected_datagrams; }

} // namespace damaskhill
