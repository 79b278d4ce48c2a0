#ifndef PEARHAVEN_ADAPTERS_SRC_PEER_CODEC_HPP
#define PEARHAVEN_ADAPTERS_SRC_PEER_CODEC_HPP

#include "pearhaven/adapters/peer_link.hpp"

#include <optional>
#include <string>
#include <string_view>

namespace pearhaven::adapters {

// A message with the incarnation of its sender and the address on which the sender can be reached.
struct peer_envelope {
    std::string from;
    peer_address reply_to;
    coordination::peer_message message;

    friend bool operator==(const peer_envelope&, const peer_envelope&) = default;
};

// Encodes the envelope as a FlatBuffer.
std::string encode_envelope(const peer_envelope& envelope);

// Decodes an untrusted payload. Returns nothing unless every part is complete and in its range.
std::optional<peer_envelope> decode_envelope(std::string_view payload);

} // namespace pearhaven::adapters

#endif
