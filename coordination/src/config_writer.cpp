#include "pearhaven/coordination/config_writer.hpp"

#include "config_pages.hpp"
#include "kv_answers.hpp"
#include "mix.hpp"

#include <algorithm>
#include <utility>

namespace pearhaven::coordination {

using decision::duration;
using decision::instant;

namespace {

bool touches(const config_change& change, const config_object& object)
{
    return std::any_of(change.objects.begin(), change.objects.end(), [&](const auto& touched) {
        return touched.kind == object.kind && touched.name == object.name;
    });
}

} // namespace

config_writer::config_writer(config_writer_settings chosen, const config_head_codec& head_codec)
    : settings(chosen), codec(head_codec), attempts_left(chosen.attempts),
      retry_delay(chosen.first_retry), random(chosen.seed)
{}

void config_writer::start(config_edit wanted, instant now)
{
    this->edit = std::move(wanted);
    this->random += mix(0, this->edit.write_id);
    this->retry_at = now;
    this->read_head();
}

void config_writer::on_tick(instant now)
{
    if (this->step == phase::waiting && this->retry_at <= now) {
        this->read_head();
    }
}

void config_writer::on_reply(call_tag tag, const kv_reply& reply, instant now)
{
    if (this->head_call == tag) {
        this->head_call.reset();
        this->step == phase::reading_head ? this->on_head(reply, now)
                                          : this->on_swapped(reply, now);
        return;
    }
    if (const auto read = this->page_reads.extract(tag)) {
        this->on_page(read.mapped(), reply, now);
    } else if (const auto written = this->page_writes.extract(tag)) {
        this->on_page_written(written.mapped(), reply, now);
    }
}

std::vector<config_writer::action> config_writer::take_actions()
{
    return std::exchange(this->actions, {});
}

call_tag config_writer::submit(kv_request request)
{
    const call_tag tag = this->next_tag++;
    this->actions.emplace_back(store_call{tag, std::move(request)});
    return tag;
}

// Reading the current head.

void config_writer::read_head()
{
    this->step = phase::reading_head;
    this->head_call = this->submit(kv_get{std::string(config_head_key)});
}

void config_writer::on_head(const kv_reply& reply, instant now)
{
    if (has_no_answer(reply)) {
        this->retry_later(now);
        return;
    }
    this->head = {};
    this->head_store_revision = 0;
    if (reply.outcome == kv_outcome::ok && !reply.entries.empty()) {
        const kv_entry& entry = reply.entries.front();
        const auto read = this->codec.read_head(entry.value);
        if (!read) {
            this->actions.emplace_back(unreadable_value{entry.key});
            this->finish(coordination_error::unreadable, 0);
            return;
        }
        this->head = *read;
        this->head_store_revision = entry.revision;
    }
    this->evaluate(now);
}

void config_writer::evaluate(instant now)
{
    const auto& changes = this->head.changes;
    const auto own = std::find_if(changes.begin(), changes.end(), [this](const auto& change) {
        return change.write_id == this->edit.write_id;
    });
    if (own != changes.end()) {
        this->finish({}, own->revision);
        return;
    }
    if (this->unresolved_swap && *this->unresolved_swap <= this->head.revision) {
        const bool covers_swap =
            !changes.empty() && changes.front().revision <= *this->unresolved_swap;
        if (!covers_swap) {
            this->finish(coordination_error::outcome_unknown, 0);
            return;
        }
        this->unresolved_swap.reset();
    }
    const std::uint64_t oldest =
        changes.empty() ? this->head.revision + 1 : changes.front().revision;
    if (this->edit.seen_revision + 1 < oldest || this->edit.seen_revision > this->head.revision) {
        this->finish(coordination_error::stale_view, this->head.revision);
        return;
    }
    std::vector<config_conflict> conflicts = this->find_conflicts();
    if (!conflicts.empty()) {
        this->step = phase::done;
        this->actions.emplace_back(config_write_done{coordination_error::conflict,
                                                     this->head.revision, std::move(conflicts)});
        return;
    }
    this->prepare(now);
}

std::vector<config_conflict> config_writer::find_conflicts() const
{
    std::vector<config_conflict> conflicts;
    for (const config_object& object : this->edit.objects) {
        for (const config_change& change : this->head.changes) {
            if (change.revision > this->edit.seen_revision && touches(change, object)) {
                conflicts.push_back(
                    {object.kind, object.name, change.revision, change.author, change.unix_ms});
            }
        }
    }
    return conflicts;
}

// Preparing the next head.

void config_writer::prepare(instant now)
{
    this->next = this->head;
    this->next.revision = this->head.revision + 1;
    this->next.write_id = this->edit.write_id;
    this->next.changes.push_back({this->next.revision, this->edit.write_id, this->edit.author,
                                  this->edit.unix_ms, this->edit.objects});
    this->page_writes_started_at.reset();
    this->drop_folded_changes(this->next);
    if (this->is_too_long(this->next, this->next_text)) {
        this->load_pages(now);
        return;
    }
    this->swap_head(now);
}

bool config_writer::is_too_long(const config_head& candidate, const std::string& text) const
{
    return candidate.changes.size() > this->settings.head_changes ||
           text.size() > this->settings.head_bytes;
}

// Changes contained in the snapshot are kept only for replicas that are slightly behind.
void config_writer::drop_folded_changes(config_head& candidate)
{
    this->next_text = this->codec.write_head(candidate);
    while (candidate.changes.size() > 1 && this->is_too_long(candidate, this->next_text) &&
           candidate.changes.front().revision <= candidate.snapshot_revision) {
        candidate.changes.erase(candidate.changes.begin());
        this->next_text = this->codec.write_head(candidate);
    }
}

// Folding.

void config_writer::load_pages(instant now)
{
    this->step = phase::loading_pages;
    this->assembly.emplace(this->head);
    for (const std::string& key : this->head.pages) {
        this->page_reads[this->submit(kv_get{key})] = key;
    }
    if (this->assembly->is_complete()) {
        this->write_pages(now);
    }
}

void config_writer::on_page(const std::string& key, const kv_reply& reply, instant now)
{
    if (this->step != phase::loading_pages) {
        return;
    }
    if (reply.outcome != kv_outcome::ok || reply.entries.empty()) {
        this->retry_later(now); // the store failed, or another writer's fold replaced the page
        return;
    }
    auto objects = this->codec.read_page(reply.entries.front().value);
    if (!objects) {
        this->actions.emplace_back(unreadable_value{key});
        this->finish(coordination_error::unreadable, 0);
        return;
    }
    this->assembly->add_page(key, std::move(*objects));
    if (this->assembly->is_complete()) {
        this->write_pages(now);
    }
}

void config_writer::write_pages(instant now)
{
    this->step = phase::writing_pages;
    this->page_writes_started_at = now;
    this->next.snapshot_revision = this->head.revision;
    this->next.pages.clear();
    const config_state_ptr state = this->assembly->build();
    if (state->revision() != this->head.revision) { // the head's changes have a gap
        this->actions.emplace_back(unreadable_value{std::string(config_head_key)});
        this->finish(coordination_error::unreadable, 0);
        return;
    }
    for (config_page& page : paginate(state->objects(), this->codec, this->settings.page_bytes)) {
        this->next.pages.push_back(page.key);
        const bool is_in_use = std::find(this->head.pages.begin(), this->head.pages.end(),
                                         page.key) != this->head.pages.end();
        if (is_in_use) {
            continue;
        }
        kv_compare_and_swap creation{page.key, page.text, 0, 0};
        this->page_writes[this->submit(std::move(creation))] = {page.key, std::move(page.text)};
    }
    this->drop_folded_changes(this->next);
    if (this->page_writes.empty()) {
        this->swap_head(now);
    }
}

void config_writer::on_page_written(const page_write& page, const kv_reply& reply, instant now)
{
    if (this->step != phase::writing_pages) {
        return;
    }
    if (reply.outcome == kv_outcome::conflict) {
        const store_revision current = reply.entries.empty() ? 0 : reply.entries.front().revision;
        this->page_writes[this->submit(kv_compare_and_swap{page.key, page.text, current, 0})] =
            page;
        return;
    }
    if (reply.outcome != kv_outcome::ok) {
        this->retry_later(now);
        return;
    }
    if (this->page_writes.empty()) {
        this->swap_head(now);
    }
}

// The swap.

void config_writer::swap_head(instant now)
{
    if (this->next_text.size() > this->settings.value_bytes) {
        this->finish(coordination_error::too_large, 0);
        return;
    }
    if (this->page_writes_started_at &&
        now - *this->page_writes_started_at > this->settings.page_validity) {
        this->retry_later(now);
        return;
    }
    this->step = phase::swapping_head;
    this->head_call = this->submit(kv_compare_and_swap{
        std::string(config_head_key), this->next_text, this->head_store_revision, 0});
}

void config_writer::on_swapped(const kv_reply& reply, instant now)
{
    if (reply.outcome == kv_outcome::ok) {
        this->finish({}, this->next.revision);
        return;
    }
    if (reply.outcome == kv_outcome::unknown) {
        this->unresolved_swap = this->next.revision;
    }
    this->retry_later(now);
}

void config_writer::retry_later(instant now)
{
    this->page_reads.clear();
    this->page_writes.clear();
    if (--this->attempts_left <= 0) {
        this->finish(this->unresolved_swap ? coordination_error::outcome_unknown
                                           : coordination_error::store_unavailable,
                     0);
        return;
    }
    this->step = phase::waiting;
    const auto spread =
        next_random(this->random) % static_cast<std::uint64_t>(this->retry_delay.count());
    this->retry_at = now + this->retry_delay / 2 + duration(spread / 2);
    this->retry_delay = std::min(2 * this->retry_delay, this->settings.longest_retry);
}

void config_writer::finish(std::error_code error, std::uint64_t revision)
{
    this->step = phase::done;
    this->actions.emplace_back(config_write_done{error, revision, {}});
}

} // namespace pearhaven::coordination
