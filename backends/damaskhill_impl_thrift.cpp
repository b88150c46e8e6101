// Index of this file:
// [SECTION] Writing
// [SECTION] Reading
// [SECTION] Messages
// [SECTION] Frames

#include "damaskhill_impl_thrift.hpp"

#include <array>
#include <cstring>
#include <memory>

#include <openssl/crypto.h>
#include <openssl/hmac.h>
#include <thrift/protocol/TCompactProtocol.h>
#include <thrift/transport/TBufferTransports.h>

namespace damaskhill {

namespace {

using apache::thrift::protocol::TCompactProtocolT;
using apache::thrift::protocol::TType;
using apache::thrift::transport::TMemoryBuffer;
using protocol = TCompactProtocolT<TMemoryBuffer>;
namespace tp = apache::thrift::protocol;

//-----------------------------------------------------------------------------
// [SECTION] Writing
//-----------------------------------------------------------------------------

template <class T>
constexpr TType thrift_type_of() {
    if constexpr (std::is_same_v<T, bool>) {
        return tp::T_BOOL;
    } else if constexpr (std::is_integral_v<T> || std::is_enum_v<T> || std::is_same_v<T, time_point>) {
        return tp::T_I64;
    } else if constexpr (std::is_floating_point_v<T>) {
        return tp::T_DOUBLE;
    } else if constexpr (std::is_same_v<T, std::string> || is_id<T> || std::is_same_v<T, account_id>) {
        return tp::T_STRING;
    } else if constexpr (is_vector<T>) {
        return tp::T_LIST;
    } else if constexpr (is_optional<T>) {
        return thrift_type_of<typename T::value_type>();
    } else {
        return tp::T_STRUCT;
    }
}

// Random 64-bit values are encoded as fixed-size binary, because a varint would be longer.
void append_u64(std::string& bytes, std::uint64_t value) {
    for (int shift = 56; shift >= 0; shift -= 8)
        bytes.push_back(static_cast<char>(value >> static_cast<unsigned>(shift)));
}

std::uint64_t read_u64(std::string_view bytes) {
    std::uint64_t value = 0;
    for (const char c : bytes.substr(0, 8))
        value = (value << 8U) | static_cast<std::uint8_t>(c);
    return value;
}

template <class T>
void write_value(protocol& out, const T& value) {
    if constexpr (std::is_same_v<T, bool>) {
        out.writeBool(value);
    } else if constexpr (std::is_integral_v<T> || std::is_enum_v<T>) {
        out.writeI64(static_cast<std::int64_t>(value));
    } else if constexpr (std::is_same_v<T, time_point>) {
        out.writeI64(value.time_since_epoch().count());
    } else if constexpr (std::is_floating_point_v<T>) {
        out.writeDouble(value);
    } else if constexpr (std::is_same_v<T, std::string>) {
        out.writeBinary(value);
    } else if constexpr (is_id<T>) {
        std::string bytes;
        append_u64(bytes, value.high);
        append_u64(bytes, value.low);
        out.writeBinary(bytes);
    } else if constexpr (std::is_same_v<T, account_id>) {
        std::string bytes;
        append_u64(bytes, value.value);
        out.writeBinary(bytes);
    } else if constexpr (is_vector<T>) {
        out.writeListBegin(thrift_type_of<typename T::value_type>(),
                           static_cast<std::uint32_t>(value.size()));
        for (const auto& item : value)
            write_value(out, item);
        out.writeListEnd();
    } else if constexpr (is_optional<T>) {
        write_value(out, *value);
    } else {
        static const T defaults{};
        out.writeStructBegin("");
        std::apply(
            [&](const auto&... item) {
                const auto write_field = [&](const auto& f) {
                    const auto& member = value.*(f.member);
                    using member_type = std::remove_cvref_t<decltype(member)>;
                    // A field with its default value is omitted; the decoder fills it in.
                    if constexpr (is_vector<member_type>) {
                        if (member.empty()) return;
                    } else if constexpr (is_optional<member_type>) {
                        if (!member) return;
                    } else if constexpr (std::equality_comparable<member_type>) {
                        if (member == defaults.*(f.member)) return;
                    }
                    out.writeFieldBegin("", thrift_type_of<member_type>(), f.number);
                    write_value(out, member);
                    out.writeFieldEnd();
                };
                (write_field(item), ...);
            },
            T::fields());
        out.writeFieldStop();
        out.writeStructEnd();
    }
}

//-----------------------------------------------------------------------------
// [SECTION] Reading
//-----------------------------------------------------------------------------

[[noreturn]] void throw_invalid_data(const char* reason) {
    throw tp::TProtocolException(tp::TProtocolException::INVALID_DATA, reason);
}

template <class T>
void read_value(protocol& in, T& value) {
    if constexpr (std::is_same_v<T, bool>) {
        in.readBool(value);
    } else if constexpr (std::is_enum_v<T>) {
        std::int64_t number = 0;
        in.readI64(number);
        if (number < 0 || number > 255) throw_invalid_data("enumerator out of range");
        value = static_cast<T>(number);
    } else if constexpr (std::is_integral_v<T>) {
        std::int64_t number = 0;
        in.readI64(number);
        if constexpr (sizeof(T) < sizeof(std::int64_t)) {
            if (number < 0 || static_cast<std::uint64_t>(number) > std::numeric_limits<T>::max()) {
                throw_invalid_data("integer out of range");
            }
        }
        value = static_cast<T>(number);
    } else if constexpr (std::is_same_v<T, time_point>) {
        std::int64_t number = 0;
        in.readI64(number);
        value = time_point{duration{number}};
    } else if constexpr (std::is_floating_point_v<T>) {
        double number = 0;
        in.readDouble(number);
        // Infinities and NaN would break comparisons in the core.
        if (!(number >= -1e300 && number <= 1e300)) throw_invalid_data("number out of range");
        value = number;
    } else if constexpr (std::is_same_v<T, std::string>) {
        in.readBinary(value);
    } else if constexpr (is_id<T>) {
        std::string bytes;
        in.readBinary(bytes);
        if (bytes.size() != 16) throw_invalid_data("identifier has the wrong size");
        value = {read_u64(bytes), read_u64(std::string_view{bytes}.substr(8))};
    } else if constexpr (std::is_same_v<T, account_id>) {
        std::string bytes;
        in.readBinary(bytes);
        if (bytes.size() != 8) throw_invalid_data("identifier has the wrong size");
        value.value = read_u64(bytes);
    } else if constexpr (is_vector<T>) {
        TType type{};
        std::uint32_t size = 0;
        in.readListBegin(type, size);
        if (size > 0 && type != thrift_type_of<typename T::value_type>())
            throw_invalid_data("list has the wrong element type");
        value.clear();
        for (std::uint32_t i = 0; i < size; ++i)
            read_value(in, value.emplace_back());
        in.readListEnd();
    } else if constexpr (is_optional<T>) {
        read_value(in, value.emplace());
    } else {
        std::string name;
        in.readStructBegin(name);
        while (true) {
            TType type{};
            std::int16_t number = 0;
            in.readFieldBegin(name, type, number);
            if (type == tp::T_STOP) break;
            bool known = false;
            for_each_field(value, [&](std::int16_t field_number, const char*, auto& member) {
                if (known || field_number != number) return;
                known = true;
                if (type != thrift_type_of<std::remove_cvref_t<decltype(member)>>())
                    throw_invalid_data("field has the wrong type");
                read_value(in, member);
            });
            if (!known) in.skip(type);
            in.readFieldEnd();
        }
        in.readStructEnd();
    }
}

} // namespace

//-----------------------------------------------------------------------------
// [SECTION] Messages
//-----------------------------------------------------------------------------

std::string encode_message(const peer_message& message) {
    auto buffer = std::make_shared<TMemoryBuffer>();
    protocol out{buffer};
    // Encoded as a union: one field whose number is the 1-based index of the alternative.
    out.writeStructBegin("");
    out.writeFieldBegin("", tp::T_STRUCT, static_cast<std::int16_t>(message.index() + 1));
    std::visit([&](const auto& value) { write_value(out, value); }, message);
    out.writeFieldEnd();
    out.writeFieldStop();
    out.writeStructEnd();
    return buffer->getBufferAsString();
}

namespace {

protocol make_reader(std::string_view bytes) {
    // The buffer only reads the bytes, but Thrift's interface is not const-correct.
    auto buffer =
        std::make_shared<TMemoryBuffer>(reinterpret_cast<std::uint8_t*>(const_cast<char*>(bytes.data())),
                                        static_cast<std::uint32_t>(bytes.size()), TMemoryBuffer::OBSERVE);
    const auto limit = static_cast<std::int32_t>(bytes.size());
    return protocol{buffer, limit, limit};
}

} // namespace

std::string encode_report(const router_report& report) {
    auto buffer = std::make_shared<TMemoryBuffer>();
    protocol out{buffer};
    write_value(out, report);
    return buffer->getBufferAsString();
}

std::optional<router_report> decode_report(std::string_view bytes, failure& error) {
    try {
        router_report report;
        protocol in = make_reader(bytes);
        read_value(in, report);
        return report;
    } catch (const std::exception& exception) {
        error = {failure_kind::malformed_frame, "report", exception.what(), "a report"};
        return std::nullopt;
    }
}

std::optional<peer_message> decode_message(std::string_view bytes, failure& error) {
    std::optional<peer_message> message;
    try {
        protocol in = make_reader(bytes);
        std::string name;
        TType type{};
        std::int16_t number = 0;
        in.readStructBegin(name);
        in.readFieldBegin(name, type, number);
        if (type != tp::T_STRUCT || number < 1) throw_invalid_data("no message");
        visit_alternative<peer_message>(static_cast<std::size_t>(number - 1), [&](auto value) {
            read_value(in, value);
            message = std::move(value);
        });
    } catch (const std::exception& exception) {
        error = {failure_kind::malformed_frame, "frame", exception.what(), "a message"};
        return std::nullopt;
    }
    // A newer release may send unknown message types: they are dropped, and the link stays open.
    if (!message)
        error = {failure_kind::unsupported_protocol, "frame", "an unknown message", "a known message"};
    return message;
}

//-----------------------------------------------------------------------------
// [SECTION] Frames
//-----------------------------------------------------------------------------

namespace {

std::array<char, frame_mac_size> compute_mac(std::string_view message, std::string_view secret,
                                             frame_context position) {
    std::string authenticated_data;
    authenticated_data.reserve(position.session.size() + message.size() + 9);
    authenticated_data += position.session;
    authenticated_data.push_back(position.from_dialer ? 'D' : 'A');
    append_u64(authenticated_data, position.sequence);
    authenticated_data += message;
    std::array<unsigned char, EVP_MAX_MD_SIZE> digest{};
    unsigned int size = 0;
    HMAC(EVP_sha256(), secret.data(), static_cast<int>(secret.size()),
         reinterpret_cast<const unsigned char*>(authenticated_data.data()), authenticated_data.size(),
         digest.data(), &size);
    std::array<char, frame_mac_size> mac{};
    std::memcpy(mac.data(), digest.data(), mac.size());
    return mac;
}

} // namespace

std::string sign_frame(std::string_view message, std::span<const link_key> keys, frame_context position) {
    const link_key empty_key{};
    const link_key& key = keys.empty() ? empty_key : keys.front();
    const auto length = static_cast<std::uint32_t>(frame_head_size + message.size());
    std::string frame;
    frame.reserve(frame_length_size + length);
    for (int shift = 24; shift >= 0; shift -= 8)
        frame.push_back(static_cast<char>(length >> static_cast<unsigned>(shift)));
    frame.push_back(static_cast<char>(key.number));
    const auto mac = compute_mac(message, key.secret, position);
    frame.append(mac.data(), mac.size());
    frame += message;
    return frame;
}

std::optional<std::string_view> verify_frame(std::string_view frame, std::span<const link_key> keys,
                                             frame_context position, failure& error) {
    if (frame.size() < frame_head_size) {
        error = {failure_kind::malformed_frame, "frame", std::to_string(frame.size()) + " bytes",
                 "a complete frame header"};
        return std::nullopt;
    }
    const std::string_view message = frame.substr(frame_head_size);
    const auto number = static_cast<std::uint8_t>(frame[0]);
    for (const link_key& key : keys) {
        if (key.number != number) continue;
        const auto mac = compute_mac(message, key.secret, position);
        if (CRYPTO_memcmp(mac.data(), frame.data() + 1, mac.size()) == 0) return message;
    }
    error = {failure_kind::unauthenticated_frame, "frame", "key number " + std::to_string(number),
             "a frame signed with a known key"};
    return std::nullopt;
}

} // namespace damaskhill
