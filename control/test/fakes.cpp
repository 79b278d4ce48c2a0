#include "fakes.hpp"

#include <utility>
#include <variant>

namespace pearhaven::control::test {

using coordination::kv_outcome;
using coordination::kv_reply;

kv_reply fake_store::answer(const coordination::kv_request& request)
{
    if (const auto* get = std::get_if<coordination::kv_get>(&request)) {
        if (this->before_get) {
            this->before_get(get->key);
        }
        return this->answer_read(get->key, true);
    }
    if (const auto* range = std::get_if<coordination::kv_range>(&request)) {
        return this->answer_read(range->prefix, false);
    }
    if (const auto* swap = std::get_if<coordination::kv_compare_and_swap>(&request)) {
        return this->answer_swap(*swap);
    }
    if (const auto* watch = std::get_if<coordination::kv_watch>(&request)) {
        if (this->on_watch) {
            this->on_watch();
        }
        kv_reply reply = this->answer_read(watch->prefix, false);
        if (!reply.entries.empty() && reply.entries.front().revision <= watch->after) {
            reply.entries.clear();
        }
        return this->down ? kv_reply{} : reply;
    }
    return {};
}

kv_reply fake_store::answer_read(const std::string& prefix, bool exact_match)
{
    kv_reply reply{kv_outcome::ok, this->revision, 0, {}};
    for (const auto& [key, entry] : this->entries) {
        if (exact_match ? key == prefix : key.rfind(prefix, 0) == 0) {
            reply.entries.push_back(entry);
        }
    }
    if (exact_match && reply.entries.empty()) {
        reply.outcome = kv_outcome::not_found;
    }
    return reply;
}

kv_reply fake_store::answer_swap(const coordination::kv_compare_and_swap& swap)
{
    if (const auto hook = std::exchange(this->before_swap, nullptr)) {
        hook();
    }
    const auto found = this->entries.find(swap.key);
    const auto current = found == this->entries.end() ? 0 : found->second.revision;
    if (current != swap.expected) {
        auto reply = this->answer_read(swap.key, true);
        reply.outcome = kv_outcome::conflict;
        return reply;
    }
    this->put(swap.key, swap.value);
    ++this->swaps;
    if (const auto hook = std::exchange(this->on_lost_reply, nullptr)) {
        hook();
        return {kv_outcome::unknown, 0, 0, {}};
    }
    return {kv_outcome::ok, this->revision, 0, {}};
}

fake_operator::fake_operator(fake_store& shared, std::string name) : store(shared)
{
    this->settings.author = std::move(name);
    this->settings.operator_key = "key";
}

exit_code fake_operator::run(const std::vector<std::string>& words)
{
    this->settings.arguments.assign(words.begin() + 1, words.end());
    std::ostringstream results;
    std::ostringstream diagnostics;
    configuration_store configuration(this->store, this->clock);
    output out(this->settings.format, results, diagnostics);
    command_context context{this->settings, configuration, this->routers,
                            this->input,    this->clock,   out};
    exit_code exit_status = exit_code::usage;
    for (const auto& each : make_commands()) {
        if (each->usage().name == words[0]) {
            exit_status = each->run(context);
        }
    }
    this->result_text = results.str();
    this->diagnostic_text = diagnostics.str();
    return exit_status;
}

exit_code fake_operator::apply(const std::string& yaml)
{
    this->input.files["a.yaml"] = yaml;
    this->settings.files = {"a.yaml"};
    const exit_code exit_status = this->run({"apply"});
    this->settings.files.clear();
    return exit_status;
}

void register_router(fake_store& store, const std::string& id)
{
    const auto key = std::string(coordination::member_prefix) + id;
    store.put(key, adapters::make_member_codec()->write_member(
                       {id, "10.0.0.1", 1, 2, "osu", 1, coordination::member_state::alive, 0}));
}

} // namespace pearhaven::control::test
