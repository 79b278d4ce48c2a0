#ifndef PEARHAVEN_ADAPTERS_PROGRESS_CODEC_HPP
#define PEARHAVEN_ADAPTERS_PROGRESS_CODEC_HPP

#include "pearhaven/coordination/rollout_progress.hpp"

#include <optional>
#include <string>
#include <string_view>

namespace pearhaven::adapters {

// The stored forms of a roll-out's record and evidence: JSON. Reading gives nothing for a text of
// another form.
[[nodiscard]] std::string write_progress_record(const coordination::progress_record& record);
[[nodiscard]] std::optional<coordination::progress_record>
read_progress_record(std::string_view text);
[[nodiscard]] std::string write_router_evidence(const coordination::router_evidence& evidence);
[[nodiscard]] std::optional<coordination::router_evidence>
read_router_evidence(std::string_view text);

} // namespace pearhaven::adapters

#endif
