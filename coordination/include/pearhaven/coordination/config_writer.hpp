#ifndef PEARHAVEN_COORDINATION_CONFIG_WRITER_HPP
#define PEARHAVEN_COORDINATION_CONFIG_WRITER_HPP

#include "pearhaven/coordination/actions.hpp"
#include "pearhaven/coordination/config_head.hpp"
#include "pearhaven/coordination/errors.hpp"
#include "pearhaven/decision/time.hpp"

#include <cstddef>
#include <cstdint>
#include <map>
#include <optional>
#include <string>
#include <system_error>
#include <variant>
#include <vector>

namespace pearhaven::coordination {

struct config_writer_settings {
    std::uint64_t seed = 0;              // randomizes the retries of competing writers
    std::size_t head_bytes = 64 << 10;   // size at which old changes are folded into the snapshot
    std::size_t head_changes = 128;      // number of changes at which they are folded
    std::size_t page_bytes = 128 << 10;  // size of a snapshot page, unless one object is larger
    std::size_t value_bytes = 1'000'000; // maximum size of one value in the store
    int attempts = 20;                   // head calls and rounds of page calls, in total
    decision::duration first_retry = std::chrono::milliseconds{20};
    decision::duration longest_retry = std::chrono::seconds{1};
    // The head must be written within this time after its pages, otherwise the pages are written
    // again: unused pages are removed only after a longer time.
    decision::duration page_validity = std::chrono::seconds{20};
};

// A change requested by an operator, applied completely or not at all.
struct config_edit {
    std::string write_id; // globally unique, never reused
    std::string author;
    std::uint64_t unix_ms = 0;
    std::uint64_t seen_revision = 0;    // the configuration that the operator edited
    std::vector<config_object> objects; // an empty body deletes

    friend bool operator==(const config_edit&, const config_edit&) = default;
};

// An object that somebody else changed after the operator read it.
struct config_conflict {
    std::string kind;
    std::string name;
    std::uint64_t revision = 0; // of the conflicting change
    std::string author;
    std::uint64_t unix_ms = 0;

    friend bool operator==(const config_conflict&, const config_conflict&) = default;
};

// The result of a write. Without an error the edit is accepted, as `revision`. With any error but
// `outcome_unknown` it is not accepted and never will be.
struct config_write_done {
    std::error_code error;
    std::uint64_t revision = 0;
    std::vector<config_conflict> conflicts; // with coordination_error::conflict

    friend bool operator==(const config_write_done&, const config_write_done&) = default;
};

// Applies one edit to the stored configuration by compare-and-swap on its head.
//
// An edit succeeds even if the head has advanced, as long as the newer changes touch other objects.
// If its own objects were changed since the operator read them, it is a conflict and changes
// nothing. After a swap whose reply was lost, the writer searches for its write id: if the swap
// took effect, it is the change right after the head that it was based on. The swap is repeated
// only on that same head, where at most one of the two can take effect. Once the head has advanced,
// the lost swap can no longer take effect, and the edit is evaluated again.
//
// When the head has grown too large, its changes are folded into the pages of a new snapshot, each
// named by a hash of its content. Pages are written before the head that references them. An
// existing page is written again, so that its newer revision shows that it is in use.
class config_writer {
public:
    using action = std::variant<store_call, config_write_done, unreadable_value>;

    // The codec must outlive the writer.
    config_writer(config_writer_settings settings, const config_head_codec& codec);

    // Called once.
    void start(config_edit edit, decision::instant now);

    // Must be called about every 10 ms.
    void on_tick(decision::instant now);
    void on_reply(call_tag tag, const kv_reply& reply, decision::instant now);
    [[nodiscard]] std::vector<action> take_actions();
    [[nodiscard]] bool is_done() const { return this->step == phase::done; }

private:
    enum class phase {
        idle,
        waiting,
        reading_head,
        loading_pages,
        writing_pages,
        swapping_head,
        done
    };

    struct page_write {
        std::string key;
        std::string text;
    };

    call_tag submit(kv_request request);
    void read_head();
    void on_head(const kv_reply& reply, decision::instant now);
    void evaluate(decision::instant now);
    [[nodiscard]] std::vector<config_conflict> find_conflicts() const;
    void prepare(decision::instant now);
    [[nodiscard]] bool is_too_long(const config_head& candidate, const std::string& text) const;
    void drop_folded_changes(config_head& candidate);
    void load_pages(decision::instant now);
    void on_page(const std::string& key, const kv_reply& reply, decision::instant now);
    void write_pages(decision::instant now);
    void on_page_written(const page_write& page, const kv_reply& reply, decision::instant now);
    void swap_head(decision::instant now);
    void on_swapped(const kv_reply& reply, decision::instant now);
    void retry_later(decision::instant now);
    void finish(std::error_code error, std::uint64_t revision);

    config_writer_settings settings;
    const config_head_codec& codec;
    config_edit edit;
    phase step = phase::idle;
    int attempts_left;
    decision::duration retry_delay;
    decision::instant retry_at;
    std::uint64_t random;

    config_head head; // as last read
    store_revision head_store_revision = 0;
    config_head next; // the head including this edit, once prepared
    std::string next_text;

    // The revision that a swap with unknown outcome produced if it took effect.
    std::optional<std::uint64_t> unresolved_swap;

    std::optional<snapshot_assembly> assembly;
    std::map<call_tag, std::string> page_reads;
    std::map<call_tag, page_write> page_writes;
    std::optional<decision::instant>
        page_writes_started_at; // when writing the pages of `next` began

    call_tag next_tag = 1;
    std::optional<call_tag> head_call;
    std::vector<action> actions;
};

} // namespace pearhaven::coordination

#endif
