#ifndef PEARHAVEN_CONTROL_CONFIGURATION_STORE_HPP
#define PEARHAVEN_CONTROL_CONFIGURATION_STORE_HPP

#include "errors.hpp"
#include "process_clock.hpp"

#include "pearhaven/coordination/bill_ledger.hpp"
#include "pearhaven/coordination/config_head.hpp"
#include "pearhaven/coordination/config_writer.hpp"
#include "pearhaven/coordination/key_value.hpp"
#include "pearhaven/coordination/registration.hpp"

#include <memory>
#include <optional>
#include <system_error>
#include <vector>

namespace pearhaven::control {

// The configuration as stored. On an error, all other members are empty.
struct loaded_configuration {
    std::error_code error;
    coordination::config_head head;
    coordination::config_state_ptr state;
    coordination::store_revision head_store_revision = 0; // to wait for the next head, see `watch`
};

struct loaded_members {
    std::error_code error;
    std::vector<coordination::member> members;
};

struct loaded_bills {
    std::error_code error;
    std::vector<coordination::bill> bills; // as stored: one request can have several bills
    std::size_t unreadable_pages = 0;
};

// Reads from and writes to the key-value service for the commands. Each call blocks until it has a
// reply or gives up after a bounded number of attempts. All errors are control_error.
class configuration_store {
public:
    // Both must outlive this object.
    configuration_store(coordination::key_value_store& store, process_clock& clock);

    [[nodiscard]] loaded_configuration load();

    // Writes the edit with coordination::config_writer, which resolves writes whose reply was lost.
    [[nodiscard]] coordination::config_write_done write(const coordination::config_edit& edit);

    // Waits until the head is written after the given store revision. Returns `unchanged` when it
    // is not within the wait, and `unavailable` when the store cannot be reached.
    enum class watch_outcome { changed, unchanged, unavailable };
    [[nodiscard]] watch_outcome watch(coordination::store_revision after, decision::duration wait);

    [[nodiscard]] loaded_members members();
    [[nodiscard]] loaded_bills bills();

private:
    [[nodiscard]] coordination::kv_reply read(const coordination::kv_request& request);
    [[nodiscard]] std::optional<loaded_configuration>
    load_snapshot(const coordination::config_head& head);

    coordination::key_value_store& store;
    process_clock& clock;
    std::unique_ptr<coordination::config_head_codec> head_codec;
    std::unique_ptr<coordination::member_codec> member_codec;
    std::unique_ptr<coordination::bill_page_codec> bill_codec;
};

} // namespace pearhaven::control

#endif
