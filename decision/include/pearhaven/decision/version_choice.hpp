#ifndef PEARHAVEN_DECISION_VERSION_CHOICE_HPP
#define PEARHAVEN_DECISION_VERSION_CHOICE_HPP

#include "pearhaven/decision/configuration.hpp"
#include "pearhaven/decision/session_token.hpp"

#include <cstdint>
#include <optional>
#include <string>
#include <vector>

namespace pearhaven::decision {

// Why no version was chosen for a request.
enum class version_refusal : std::uint8_t {
    none,
    unknown_model,               // no model, version or cascade has the requested name
    not_allowed,                 // the team's selector matches no version
    withdrawn,                   // all versions that the team may use are withdrawn
    session_version_withdrawn,   // final: the caller must start a new session
    session_version_not_allowed, // final: the caller must start a new session
    no_version,                  // allowed versions exist, but none accepts work now
};

struct version_question {
    const configuration* current = nullptr;
    const team* caller = nullptr;
    std::string asked; // a model, version or cascade
    std::optional<session> bound;
    std::uint64_t session_key = 0; // identifies a session without a token; 0: none
    std::uint64_t random = 0;
    std::vector<std::string> excluded; // versions that accept no work now
};

struct version_answer {
    std::string version; // empty if refused
    version_refusal refusal = version_refusal::none;

    friend bool operator==(const version_answer&, const version_answer&) = default;
};

// Chooses the version for a request. For a model, an allowed version is drawn by `traffic`; an
// excluded version's traffic goes to its fallback, if that is allowed. A version requested by name
// is used or refused. For a cascade, the costly version is used if possible, otherwise the cheap
// one. A bound session keeps its version or is finally refused, and never moves to another version;
// if its version is excluded, the result is `no_version`.
[[nodiscard]] version_answer choose_version(const version_question& question);

} // namespace pearhaven::decision

#endif
