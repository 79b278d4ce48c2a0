#ifndef PEARHAVEN_ADAPTERS_PROGRESS_CODEC_HPP
#define PEARHAVEN_ADAPTERS_PROGRESS_CODEC_HPP

#include "pearhaven/coordination/rollout_progress.hpp"

#include <optional>
#include <string>
#include <string_view>

namespace pearhaven::adapters {

// JSON encoding of a rollout's progress record and of the evidence that routers report for it. The
// read functions return nothing for text that is not a valid encoding.
[[nodiscard]] std::string write_progress_record(const coordination::progress_record& record);
[[nodiscard]] std::optional<coordination::progress_record>
read_progress_record(std::string_view text);
[[nodiscard]] std::string write_router_evidence(const coordination::router_evidence& evidence);
[[nodiscard]] std::optional<coordination::router_evidence>
read_router_evidence(std::string_view text);

} // namespace pearhaven::adapters

#endif
