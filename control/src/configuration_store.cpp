#include "configuration_store.hpp"

#include "pearhaven/adapters/platform.hpp"
#include "pearhaven/adapters/stored_values.hpp"

#include <utility>
#include <variant>

namespace pearhaven::control {

namespace {

using coordination::config_write_done;
using coordination::kv_outcome;
using coordination::kv_reply;
using coordination::store_call;

constexpr int read_attempts = 4;
constexpr decision::duration read_retry_delay = std::chrono::milliseconds{250};
constexpr decision::duration write_poll_interval = std::chrono::milliseconds{10};

bool is_answer(const kv_reply& reply)
{
    return reply.outcome == kv_outcome::ok || reply.outcome == kv_outcome::not_found;
}

loaded_configuration failed(control_error error)
{
    return {error, {}, {}, 0};
}

} // namespace

configuration_store::configuration_store(coordination::key_value_store& key_values,
                                         process_clock& time)
    : store(key_values), clock(time), head_codec(adapters::make_config_head_codec()),
      member_codec(adapters::make_member_codec()), bill_codec(adapters::make_bill_page_codec())
{}

kv_reply configuration_store::read(const coordination::kv_request& request)
{
    kv_reply reply;
    for (int attempt = 0; attempt < read_attempts; ++attempt) {
        if (attempt > 0) {
            this->clock.sleep(read_retry_delay);
        }
        reply = adapters::call_and_wait(this->store, request);
        if (is_answer(reply)) {
            break;
        }
    }
    return reply;
}

// A concurrent write may compact the snapshot into new pages between the reads of the head and of a
// page. The old page can then be gone, and the newer head is read to find the new pages.
loaded_configuration configuration_store::load()
{
    for (int attempt = 0; attempt < read_attempts; ++attempt) {
        const kv_reply reply =
            this->read(coordination::kv_get{std::string(coordination::config_head_key)});
        if (!is_answer(reply)) {
            return failed(control_error::store_unavailable);
        }
        if (reply.entries.empty()) {
            return {{}, {}, new coordination::config_state, reply.revision};
        }
        const auto head = this->head_codec->read_head(reply.entries.front().value);
        if (!head) {
            return failed(control_error::store_unreadable);
        }
        auto loaded = this->load_snapshot(*head);
        if (loaded) {
            loaded->head_store_revision = reply.entries.front().revision;
            return *std::move(loaded);
        }
    }
    return failed(control_error::store_unreadable);
}

// Returns nothing when a page no longer exists.
std::optional<loaded_configuration>
configuration_store::load_snapshot(const coordination::config_head& head)
{
    coordination::snapshot_assembly assembly(head);
    for (const auto& key : head.pages) {
        const kv_reply reply = this->read(coordination::kv_get{key});
        if (!is_answer(reply)) {
            return failed(control_error::store_unavailable);
        }
        if (reply.entries.empty()) {
            return std::nullopt;
        }
        auto objects = this->head_codec->read_page(reply.entries.front().value);
        if (!objects) {
            return failed(control_error::store_unreadable);
        }
        assembly.add_page(key, *std::move(objects));
    }
    auto state = assembly.build();
    if (state->revision() != head.revision) {
        return failed(control_error::store_unreadable);
    }
    return loaded_configuration{{}, head, std::move(state), 0};
}

config_write_done configuration_store::write(const coordination::config_edit& edit)
{
    coordination::config_writer writer({}, *this->head_codec);
    config_write_done result;
    writer.start(edit, this->clock.now());
    while (true) {
        const auto actions = writer.take_actions();
        for (const auto& action : actions) {
            if (const auto* call = std::get_if<store_call>(&action)) {
                const kv_reply reply = adapters::call_and_wait(this->store, call->request);
                writer.on_reply(call->tag, reply, this->clock.now());
            } else if (const auto* done = std::get_if<config_write_done>(&action)) {
                result = *done;
                result.error = to_control_error(result.error);
                return result;
            }
        }
        if (actions.empty()) {
            this->clock.sleep(write_poll_interval);
            writer.on_tick(this->clock.now());
        }
    }
}

configuration_store::watch_outcome configuration_store::watch(coordination::store_revision after,
                                                              decision::duration wait)
{
    const kv_reply reply = adapters::call_and_wait(
        this->store,
        coordination::kv_watch{std::string(coordination::config_head_key), after, wait});
    if (reply.outcome != kv_outcome::ok) {
        return watch_outcome::unavailable;
    }
    return reply.entries.empty() ? watch_outcome::unchanged : watch_outcome::changed;
}

loaded_members configuration_store::members()
{
    const kv_reply reply =
        this->read(coordination::kv_range{std::string(coordination::member_prefix)});
    if (!is_answer(reply)) {
        return {control_error::store_unavailable, {}};
    }
    loaded_members loaded;
    for (const auto& entry : reply.entries) {
        auto record = this->member_codec->read_member(entry.value);
        if (!record) {
            return {control_error::store_unreadable, {}};
        }
        loaded.members.push_back(*std::move(record));
    }
    return loaded;
}

loaded_bills configuration_store::bills()
{
    const kv_reply reply =
        this->read(coordination::kv_range{std::string(coordination::bill_page_prefix)});
    if (!is_answer(reply)) {
        return {control_error::store_unavailable, {}, 0};
    }
    loaded_bills loaded;
    for (const auto& entry : reply.entries) {
        const auto page = this->bill_codec->read_bills(entry.value);
        if (!page) {
            ++loaded.unreadable_pages;
            continue;
        }
        loaded.bills.insert(loaded.bills.end(), page->begin(), page->end());
    }
    return loaded;
}

} // namespace pearhaven::control
