#ifndef PEARHAVEN_ADAPTERS_SRC_PEER_CODEC_HPP
#define PEARHAVEN_ADAPTERS_SRC_PEER_CODEC_HPP

#include "pearhaven/adapters/peer_link.hpp"

#include <optional>
#include <string>
#include <string_view>

namespace pearhaven::adapters {

// One message with who sent it and where that sender can be reached.
struct peer_envelope {
    std::string from;
    peer_address reply_to;
    coordination::peer_message message;

    friend bool operator==(const peer_envelope&, const peer_envelope&) = default;
};

// The envelope as a FlatBuffer.
std::string encode_envelope(const peer_envelope& envelope);

// Nothing unless every part of the payload is whole and in its range: the payload may hold any
// bytes.
std::optional<peer_envelope> decode_envelope(std::string_view payload);

} // namespace pearhaven::adapters

#endif
