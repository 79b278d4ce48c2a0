#ifndef PEARHAVEN_DECISION_ENDPOINT_FILLING_KINDS_HPP
#define PEARHAVEN_DECISION_ENDPOINT_FILLING_KINDS_HPP

#include <cstdint>
#include <string>
#include <unordered_map>

namespace pearhaven::decision {

// Learns which kinds of requests fill endpoints: those of which at least a quarter of the recent
// requests do. The sessions of such a kind move together while an endpoint is being filled. The
// decision is made by kind because a single session has prompts of both lengths.
class endpoint_filling_kinds {
public:
    // Counts one request. The first one of an unknown kind adds the kind.
    void record(const std::string& kind, bool request_fills);

    // Whether the kind fills endpoints. While too few requests of the kind have been counted, the
    // request decides for itself.
    [[nodiscard]] bool fills(const std::string& kind, bool request_fills) const;

private:
    struct counts {
        std::uint32_t requests = 0;
        std::uint32_t filling = 0;
    };

    std::unordered_map<std::string, counts> kinds;
};

} // namespace pearhaven::decision

#endif
