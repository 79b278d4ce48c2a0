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
    std::uint64_t seed = 0;              // spreads the retries of racing writers
    std::size_t head_bytes = 64 << 10;   // size at which old changes are folded into the snapshot
    std::size_t head_changes = 128;      // and their number
    std::size_t page_bytes = 128 << 10;  // size of a snapshot page, unless one object is larger
    std::size_t value_bytes = 1'000'000; // the most that the store holds in one value
    int attempts = 20;                   // calls of the head and rounds of pages, in all
    decision::duration first_retry = std::chrono::milliseconds{20};
    decision::duration longest_retry = std::chrono::seconds{1};
    // After its pages were written, the head must follow within this time, else they are written
    // again: whoever removes unused pages waits for longer than that.
    decision::duration page_validity = std::chrono::seconds{20};
};

// What an operator wants changed: all of it or nothing.
struct config_edit {
    std::string write_id; // unique; tells this write from all others for ever
    std::string author;
    std::uint64_t unix_ms = 0;
    std::uint64_t seen_revision = 0;    // the configuration that the operator looked at
    std::vector<config_object> objects; // an empty body deletes

    friend bool operator==(const config_edit&, const config_edit&) = default;
};

// An object that somebody changed after the operator had looked.
struct config_conflict {
    std::string kind;
    std::string name;
    std::uint64_t revision = 0; // of the other's change
    std::string author;
    std::uint64_t unix_ms = 0;

    friend bool operator==(const config_conflict&, const config_conflict&) = default;
};

// The end of a write. Without an error the edit is accepted, as `revision`. With any error but
// `outcome_unknown` it is not accepted and never will be.
struct config_write_done {
    std::error_code error;
    std::uint64_t revision = 0;
    std::vector<config_conflict> conflicts; // with coordination_error::conflict

    friend bool operator==(const config_write_done&, const config_write_done&) = default;
};

// Carries one edit into the stored configuration, by compare-and-swap on its head.
//
// Edits that touch other objects go through even when the head has moved on. One whose objects were
// changed since the operator looked is a conflict and changes nothing. A swap whose reply was lost
// is looked up by its write id: had it taken effect, it would be the change right after the head
// that it was made on. It is repeated only on that same head, where at most one of both can take
// effect; once the head has moved past, it can take effect no more, and the edit is judged anew.
//
// When the head has grown too large, its changes are folded into pages of a new snapshot, each
// named by its content. Pages are written before the head that needs them. A page that is there
// already is written again, so that its newer revision shows that it is wanted.
class config_writer {
public:
    using action = std::variant<store_call, config_write_done, unreadable_value>;

    // The codec must outlive the writer.
    config_writer(config_writer_settings settings, const config_head_codec& codec);

    // Called once.
    void start(config_edit edit, decision::instant now);

    // To be called every 10 ms or so.
    void on_tick(decision::instant now);
    void on_reply(call_tag tag, const kv_reply& reply, decision::instant now);
    [[nodiscard]] std::vector<action> take_actions();
    [[nodiscard]] bool is_done() const { return this->step == phase::done; }

private:
    enum class phase { idle, waiting, reading, loading, paging, swapping, done };

    struct page_write {
        std::string key;
        std::string text;
    };

    call_tag submit(kv_request request);
    void read_head();
    void on_head(const kv_reply& reply, decision::instant now);
    void judge(decision::instant now);
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
    store_revision head_at = 0;
    config_head next; // the head with this edit, once prepared
    std::string next_text;

    // The revision that a swap would have given, or has given, while its outcome is open.
    std::optional<std::uint64_t> open_swap;

    std::optional<snapshot_assembly> assembly;
    std::map<call_tag, std::string> page_reads;
    std::map<call_tag, page_write> page_writes;
    std::optional<decision::instant> pages_since; // start of the writing of `next`'s pages

    call_tag next_tag = 1;
    std::optional<call_tag> head_call;
    std::vector<action> actions;
};

} // namespace pearhaven::coordination

#endif
