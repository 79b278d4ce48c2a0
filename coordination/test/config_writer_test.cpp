#include "pearhaven/coordination/config_writer.hpp"

#include "property.hpp"
#include "simulation.hpp"

#include <memory>

#include <CppUTest/TestHarness.h>

using namespace pearhaven::coordination;
using namespace pearhaven::coordination::simulation;

namespace {

config_edit edit_of(const std::string& write_id, std::uint64_t seen, const std::string& name)
{
    return {write_id, "author of " + write_id, 7, seen, {{"team", name, "body " + write_id}}};
}

// Operators that write to one store, one edit at a time each.
struct writer_bench : fleet<config_writer> {
    explicit writer_bench(std::uint64_t seed) : fleet(seed, 4), current(4), writes_left(4)
    {
        this->settings.head_changes = 4;
        this->settings.page_bytes = 1; // one page for each object, unless hashes collide
        this->store.on_write = [this](const kv_entry& entry) {
            if (entry.key == config_head_key) {
                this->accept(this->codec.read_head(entry.value).value());
            }
        };
    }

    std::unique_ptr<config_writer> make(std::size_t node) override
    {
        auto writer = std::make_unique<config_writer>(this->settings, this->codec);
        this->edits[this->current[node].write_id] = this->current[node];
        writer->start(this->current[node], this->clock.now());
        return writer;
    }

    void on_action(std::size_t node, const config_writer::action& action) override
    {
        if (const auto* done = std::get_if<config_write_done>(&action)) {
            const bool is_first = this->results.emplace(this->current[node].write_id, *done).second;
            this->faults += is_first ? 0 : 1;
        }
    }

    void on_ticked(std::size_t node) override
    {
        if (this->nodes[node]->is_done()) {
            this->stop(node);
            this->run_operator(node);
        }
    }

    config_write_done write_and_wait(const config_edit& edit)
    {
        this->current[0] = edit;
        this->start(0);
        this->clock.run_for(seconds{60});
        return this->results.at(edit.write_id);
    }

    // One operator: reads, waits, writes, and repeats.
    void run_operator(std::size_t node)
    {
        if (this->writes_left[node]-- <= 0) {
            return;
        }
        const std::string write_id =
            std::to_string(node) + "-" + std::to_string(this->writes_left[node]);
        this->current[node] =
            edit_of(write_id, this->order.size(), std::to_string(this->clock.below(4)));
        this->clock.after(this->clock.delay(milliseconds{100}), [=, this] { this->start(node); });
    }

    // Each head adds one change to the previous one, and its state can be read completely.
    void accept(const config_head& head)
    {
        this->faults += head.revision != this->order.size() + 1 ? 1 : 0;
        this->order.push_back(head.changes.back());
        this->states.push_back(this->states.back()->after({head.changes.back()}));
        snapshot_assembly assembly(head);
        for (const std::string& key : head.pages) {
            const kv_entry* page = this->store.find(key);
            if (page != nullptr) {
                assembly.add_page(key, this->codec.read_page(page->value).value());
            }
        }
        const bool is_readable =
            assembly.is_complete() && assembly.build()->revision() == head.revision;
        this->faults += is_readable ? 0 : 1;
        this->faults += assembly.build()->objects() != this->states.back()->objects() ? 1 : 0;
    }

    // Every accepted edit is in the order once, at its revision and based on the objects that its
    // author read; no rejected edit is in it.
    void check_history()
    {
        for (const auto& result : this->results) {
            const std::string& write_id = result.first;
            const config_write_done& done = result.second;
            const auto occurrences =
                std::count_if(this->order.begin(), this->order.end(),
                              [&](const auto& change) { return change.write_id == write_id; });
            if (!done.error) {
                const bool is_in_order = done.revision - 1 < this->order.size() &&
                                         this->order[done.revision - 1].write_id == write_id;
                this->faults += is_in_order && occurrences == 1 ? 0 : 1;
            } else if (done.error != coordination_error::outcome_unknown) {
                this->faults += static_cast<int>(occurrences);
            }
            this->faults += occurrences > 1 ? 1 : 0;
        }
        for (const config_change& change : this->order) {
            const std::uint64_t seen = this->edits[change.write_id].seen_revision;
            for (std::uint64_t between = seen + 1; between < change.revision; ++between) {
                const bool same =
                    this->order[between - 1].objects[0].name == change.objects[0].name;
                this->faults += same ? 1 : 0;
            }
        }
    }

    table_config_codec codec;
    config_writer_settings settings;
    std::vector<config_edit> current; // of each operator
    std::vector<int> writes_left;
    std::vector<config_change> order;
    std::vector<config_state_ptr> states{config_state_ptr(new config_state)};
    std::map<std::string, config_edit> edits;
    std::map<std::string, config_write_done> results;
    int faults = 0;
};

} // namespace

TEST_GROUP(config_writer_test){};

TEST(config_writer_test, an_edit_succeeds_if_the_head_advanced_only_in_other_objects)
{
    writer_bench bench(1);
    bench.write_and_wait(edit_of("w1", 0, "a"));
    const auto done = bench.write_and_wait(edit_of("w2", 0, "b"));
    CHECK_FALSE(static_cast<bool>(done.error));
    CHECK_EQUAL(2U, done.revision);
}

// Two operators change the same object after both had read the same revision. The second gets a
// conflict that names the first change and its author, and the first change stays.
TEST(config_writer_test, an_edit_of_an_object_changed_meanwhile_is_a_conflict)
{
    writer_bench bench(2);
    bench.write_and_wait(edit_of("w1", 0, "a"));
    const auto done = bench.write_and_wait(edit_of("w2", 0, "a"));
    CHECK_TRUE(done.error == coordination_error::conflict);
    CHECK_TRUE(done.conflicts ==
               std::vector<config_conflict>({{"team", "a", 1, "author of w1", 7}}));
    CHECK_EQUAL(1U, bench.order.size());
}

TEST(config_writer_test, old_changes_are_folded_into_pages_that_later_folds_reuse)
{
    writer_bench bench(3);
    for (std::uint64_t write = 0; write < 12; ++write) {
        bench.write_and_wait(edit_of(std::to_string(write), write, std::to_string(write % 6)));
    }
    CHECK_EQUAL(12U, bench.order.size());
    CHECK_EQUAL(0, bench.faults);
    const auto head = bench.codec.read_head(bench.store.find("config/head")->value);
    CHECK_COMPARE(head->changes.size(), <=, 4U);
    CHECK_COMPARE(head->snapshot_revision, >, 0U);
}

// A page with the needed content is left over from an earlier snapshot. A cleanup that found it
// unused may be about to delete it; its newer revision shows that it is in use again.
TEST(config_writer_test, an_existing_page_is_written_again)
{
    writer_bench bench(7);
    for (std::uint64_t write = 0; write < 5; ++write) {
        bench.write_and_wait(edit_of(std::to_string(write), write, "a"));
    }
    const std::string page = bench.store.range("config/page/").at(0).key;
    const store_revision first = bench.store.find(page)->revision;
    bench.store.apply(kv_delete{"config/head", bench.store.find("config/head")->revision});
    bench.order.clear();
    bench.states.resize(1);
    for (std::uint64_t write = 0; write < 5; ++write) {
        bench.write_and_wait(edit_of(std::to_string(write), write, "a"));
    }
    CHECK_COMPARE(bench.store.find(page)->revision, >, first);
}

TEST(config_writer_test, a_head_is_not_written_after_its_pages_validity_expired)
{
    writer_bench bench(8);
    bench.settings.page_validity = seconds{-1};
    for (std::uint64_t write = 0; write < 5; ++write) {
        bench.write_and_wait(edit_of(std::to_string(write), write, "a"));
    }
    CHECK_EQUAL(4U, bench.order.size());
    CHECK_TRUE(bench.results["4"].error == coordination_error::store_unavailable);
}

TEST(config_writer_test, a_view_older_than_the_kept_changes_is_rejected_as_stale)
{
    writer_bench bench(4);
    for (std::uint64_t write = 0; write < 8; ++write) {
        bench.write_and_wait(edit_of(std::to_string(write), write, "a"));
    }
    CHECK_TRUE(bench.write_and_wait(edit_of("old", 1, "b")).error ==
               coordination_error::stale_view);
}

TEST(config_writer_test, an_edit_exceeding_the_maximum_value_size_is_rejected)
{
    writer_bench bench(5);
    bench.settings.value_bytes = 0;
    CHECK_TRUE(bench.write_and_wait(edit_of("w", 0, "a")).error == coordination_error::too_large);
    CHECK_EQUAL(0U, bench.order.size());
}

TEST(config_writer_test, a_write_without_the_store_ends_as_not_applied)
{
    writer_bench bench(6);
    bench.store.down = true;
    CHECK_TRUE(bench.write_and_wait(edit_of("w", 0, "a")).error ==
               coordination_error::store_unavailable);
}

// The swap took effect, its reply was lost, and another operator changed the same object before the
// writer read the head again. Repeating the swap on the new head would undo the other change;
// evaluating the edit again would report a conflict with itself.
TEST(config_writer_test, a_lost_reply_is_resolved_by_the_write_id_despite_later_changes)
{
    table_config_codec codec;
    config_writer writer({}, codec);
    const instant now{seconds{1}};
    writer.start(edit_of("w1", 0, "a"), now);
    const auto read = std::get<store_call>(writer.take_actions().at(0));
    writer.on_reply(read.tag, {kv_outcome::not_found, 0, 0, {}}, now);
    const auto swap = std::get<store_call>(writer.take_actions().at(0));
    writer.on_reply(swap.tag, {kv_outcome::unknown, 0, 0, {}}, now);
    writer.on_tick(now + seconds{1});
    const auto again = std::get<store_call>(writer.take_actions().at(0));
    CHECK_TRUE(std::holds_alternative<kv_get>(again.request));
    const config_change first{1, "w1", "ama", 7, {{"team", "a", "1"}}};
    const config_change second{2, "w2", "kofi", 8, {{"team", "a", "2"}}};
    const config_head head{2, "w2", {first, second}, {}, 0};
    writer.on_reply(again.tag, {kv_outcome::ok, 9, 0, {{"config/head", codec.write_head(head), 9}}},
                    now);
    CHECK_TRUE(std::get<config_write_done>(writer.take_actions().at(0)) ==
               (config_write_done{{}, 1, {}}));
}

// Three operators compete with lost and late replies and a store that fails now and then.
TEST(config_writer_test, every_reported_outcome_agrees_with_the_order_of_changes)
{
    const bool held = holds_for_seeds("writers", [](std::uint64_t seed) {
        writer_bench bench(seed);
        bench.store.lost_percent = 25;
        bench.store.longest_delay = milliseconds{60};
        for (const std::size_t node : {1U, 2U, 3U}) {
            bench.writes_left[node] = 8;
            bench.run_operator(node);
        }
        for (int step = 0; step < 20; ++step) {
            bench.store.down = bench.clock.chance(20);
            bench.clock.run_for(milliseconds{300});
        }
        bench.store.down = false;
        bench.clock.run_for(seconds{600});
        bench.check_history();
        RC_ASSERT(bench.results.size() == 24U);
        RC_ASSERT(bench.faults == 0);
        RC_ASSERT(!bench.order.empty());
    });
    CHECK_TRUE(held);
}
