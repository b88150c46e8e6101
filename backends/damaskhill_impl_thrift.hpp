// Thrift compact codec of peer messages, and the authenticated frames that carry them.
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

/// Bytes of a message in the Thrift compact protocol.
[[nodiscard]] std::string encode_message(const peer_message& message);
/// Decodes a message; unknown fields are skipped. Writes malformed_frame.
[[nodiscard]] std::optional<peer_message> decode_message(std::string_view bytes, failure& why);

/// The same for the reports of direct routers, which travel as datagrams.
[[nodiscard]] std::string encode_report(const router_report& report);
[[nodiscard]] std::optional<router_report> decode_report(std::string_view bytes, failure& why);

//-----------------------------------------------------------------------------
// [SECTION] Frames
//-----------------------------------------------------------------------------

// Frame: length of the rest (4 bytes, big-endian), key number (1), MAC (16), message. The MAC is HMAC-SHA256,
// cut to 128 bits, over session, direction, position in the stream and message, so that a frame can be
// neither moved nor sent again on another connection. The session is the two random salts that open a
// connection.
inline constexpr std::size_t max_frame_bytes = 16U << 20U; // bytes of one frame
inline constexpr std::size_t frame_length_size = 4;
inline constexpr std::size_t frame_mac_size = 16;
inline constexpr std::size_t session_salt_size = 16;
inline constexpr std::size_t frame_head_size = 1 + frame_mac_size;

/// A shared key of the links; during a rotation several are accepted and the first one signs.
struct link_key {
    std::uint8_t number{};
    std::string secret;
};

/// What the MAC of a frame covers beside its message.
struct frame_context {
    bool from_dialer{};
    std::uint64_t sequence{};
    std::string_view session; // salt of the dialler, then salt of the other side
};

[[nodiscard]] std::string sign_frame(std::string_view message, std::span<const link_key> keys,
                                     frame_context position);
/// Checks a frame without its length and returns its message. Writes malformed_frame or
/// unauthenticated_frame.
[[nodiscard]] std::optional<std::string_view>
verify_frame(std::string_view frame, std::span<const link_key> keys, frame_context position, failure& why);

} // namespace damaskhill
