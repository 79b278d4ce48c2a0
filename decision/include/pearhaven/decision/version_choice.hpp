#ifndef PEARHAVEN_DECISION_VERSION_CHOICE_HPP
#define PEARHAVEN_DECISION_VERSION_CHOICE_HPP

#include "pearhaven/decision/configuration.hpp"
#include "pearhaven/decision/session_token.hpp"

#include <cstdint>
#include <optional>
#include <string>
#include <vector>

namespace pearhaven::decision {

// Why a request got no version.
enum class version_refusal : std::uint8_t {
    none,
    unknown_model,               // nothing has the name that was asked for
    not_allowed,                 // the team's selector matches none of the versions
    withdrawn,                   // what the team may use is withdrawn
    session_version_withdrawn,   // final: the session must be started anew
    session_version_not_allowed, // final: the session must be started anew
    no_version,                  // allowed versions exist, but none takes work at the moment
};

struct version_question {
    const configuration* current = nullptr;
    const team* caller = nullptr;
    std::string asked; // a model, version or cascade
    std::optional<session> bound;
    std::uint64_t session_key = 0; // names a session that carries no token; 0: none
    std::uint64_t random = 0;
    std::vector<std::string> excluded; // versions that take no work at the moment
};

struct version_answer {
    std::string version; // empty with a refusal
    version_refusal refusal = version_refusal::none;

    friend bool operator==(const version_answer&, const version_answer&) = default;
};

// The version that a request runs on. A model gives one of its allowed versions, drawn by their
// `traffic`; the traffic of an excluded version goes to its fallback, where that is allowed. A
// version asked for by name is itself taken or refused. A cascade gives its costly version, else
// its cheap one. A bound session keeps its version or gets a final refusal, never another version;
// on an excluded version it gets `no_version`.
[[nodiscard]] version_answer choose_version(const version_question& question);

} // namespace pearhaven::decision

#endif
