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

// The configuration as the store holds it. With an error, the rest is empty.
struct loaded_configuration {
    std::error_code error;
    coordination::config_head head;
    coordination::config_state_ptr state;
    coordination::store_revision head_store_revision = 0; // for `watch`
};

struct loaded_members {
    std::error_code error;
    std::vector<coordination::member> members;
};

struct loaded_bills {
    std::error_code error;
    std::vector<coordination::bill> bills; // as stored: not folded
    std::size_t unreadable_pages = 0;
};

// What commands read from the key-value service and write to it. Every call blocks until it has an
// answer or has given up, after a bounded number of tries. All errors are control_error.
class configuration_store {
public:
    // Both must outlive the object.
    configuration_store(coordination::key_value_store& store, process_clock& clock);

    [[nodiscard]] loaded_configuration load();

    // Carries the edit through coordination's config_writer, which settles lost replies.
    [[nodiscard]] coordination::config_write_done write(const coordination::config_edit& edit);

    // Waits until the head was written after that revision. Nothing when it was not, or when the
    // store could not be asked.
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
