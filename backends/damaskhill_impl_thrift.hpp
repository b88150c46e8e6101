// Thrift compact codec for peer messages, and the authenticated frames that carry them.
//
// Index of this file:
// [SECTION] Messages
// [SECTION] Frames

#pragma once

#include "damaskhill_direct_messages.hpp"
#include "damaskhill_messages.hpp"

namespace damaskhill {

//-----------------------------------------------------------------------------
// [SECTION] Messages
//-----------------------------------------------------------------------------

/// Encodes a message in the Thrift compact protocol.
[[nodiscard]] std::string encode_message(const peer_message& message);
/// Decodes a message, skipping unknown fields. Sets `error` to malformed_frame, or to unsupported_protocol
/// for an unknown message type.
[[nodiscard]] std::optional<peer_message> decode_message(std::string_view bytes, failure& error);

/// The same for reports of direct routers, which are sent as datagrams.
[[nodiscard]] std::string encode_report(const router_report& report);
[[nodiscard]] std::optional<router_report> decode_report(std::string_view bytes, failure& error);

//-----------------------------------------------------------------------------
// [SECTION] Frames
//-----------------------------------------------------------------------------

// Frame layout: length of the rest (4 bytes, big-endian), key number (1), MAC (16), message. The MAC is
// HMAC-SHA256, truncated to 128 bits, of session, direction, sequence number and message, so a frame can be
// neither reordered nor replayed on the same or another connection. The session consists of the two random
// salts exchanged when a connection is opened.
inline constexpr std::size_t max_frame_bytes = 16U << 20U;
inline constexpr std::size_t frame_length_size = 4;
inline constexpr std::size_t frame_mac_size = 16;
inline constexpr std::size_t session_salt_size = 16;
inline constexpr std::size_t frame_head_size = 1 + frame_mac_size;

/// Shared key of the links. During a rotation several keys are accepted, and the first signs.
struct link_key {
    std::uint8_t number{};
    std::string secret;
};

/// Data covered by the MAC of a frame in addition to its message.
struct frame_context {
    bool from_dialer{};
    std::uint64_t sequence{};
    std::string_view session; // the dialer's salt followed by the acceptor's salt
};

[[nodiscard]] std::string sign_frame(std::string_view message, std::span<const link_key> keys,
                                     frame_context position);
/// Verifies a frame without its length field and returns its message. Sets `error` to malformed_frame or
/// unauthenticated_frame.
[[nodiscard]] std::optional<std::string_view>
verify_frame(std::string_view frame, std::span<const link_key> keys, frame_context position, failure& error);

} // namespace damaskhill
