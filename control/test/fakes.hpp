#ifndef PEARHAVEN_CONTROL_TEST_FAKES_HPP
#define PEARHAVEN_CONTROL_TEST_FAKES_HPP

#include "command.hpp"

#include "pearhaven/adapters/stored_values.hpp"

#include <functional>
#include <map>
#include <sstream>
#include <string>
#include <vector>

namespace pearhaven::control::test {

// In-memory key-value service with failure injection.
class fake_store : public coordination::key_value_store {
public:
    void submit(const coordination::kv_request& request, completion done) override
    {
        done(this->down ? coordination::kv_reply{} : this->answer(request));
    }

    // Writes the value unconditionally.
    void put(const std::string& key, const std::string& value)
    {
        this->entries[key] = {key, value, ++this->revision};
    }

    std::map<std::string, coordination::kv_entry> entries;
    coordination::store_revision revision = 0;
    bool down = false;
    int swaps = 0;                       // successful ones
    std::function<void()> before_swap;   // called once, before the next swap is evaluated
    std::function<void()> on_lost_reply; // called once, after the next swap; loses its reply
    std::function<void()> on_watch;
    std::function<void(const std::string& key)> before_get;

private:
    coordination::kv_reply answer(const coordination::kv_request& request);
    coordination::kv_reply answer_read(const std::string& prefix, bool exact_match);
    coordination::kv_reply answer_swap(const coordination::kv_compare_and_swap& swap);
};

// A clock whose sleep() advances the time without waiting and calls a hook of the test.
class fake_clock : public process_clock {
public:
    [[nodiscard]] decision::instant now() const override { return this->time; }
    [[nodiscard]] std::uint64_t unix_ms() const override { return 1'773'338'645'000; }
    void sleep(decision::duration length) override
    {
        this->time += length;
        if (this->on_sleep) {
            this->on_sleep();
        }
    }

    decision::instant time;
    std::function<void()> on_sleep;
};

class fake_routers : public router_inspector {
public:
    std::vector<router_status>
    query_status(const std::vector<coordination::member>& routers) override
    {
        std::vector<router_status> answers;
        for (const auto& router : routers) {
            this->queried.push_back(router.id);
            answers.push_back(this->statuses[router.id]);
        }
        return answers;
    }

    std::map<std::string, router_status> statuses;
    std::vector<std::string> queried;
};

class fake_input : public input_source {
public:
    std::optional<std::string> read(const std::string& file) override
    {
        const auto found = this->files.find(file);
        return found == this->files.end() ? std::nullopt : std::optional(found->second);
    }

    std::map<std::string, std::string> files;
};

// One operator who runs commands. The store is shared by all operators of a test.
class fake_operator {
public:
    fake_operator(fake_store& shared, std::string name);

    // Runs a command: {"apply"}, {"label", "team", "a", "x=y"}.
    exit_code run(const std::vector<std::string>& words);

    // Output of the last command.
    [[nodiscard]] std::string results() const { return this->result_text; }
    [[nodiscard]] std::string diagnostics() const { return this->diagnostic_text; }

    // Runs `apply` with a file of this text.
    exit_code apply(const std::string& yaml);

    control_settings settings;
    fake_clock clock;
    fake_routers routers;
    fake_input input;

private:
    fake_store& store;
    std::string result_text;
    std::string diagnostic_text;
};

void register_router(fake_store& store, const std::string& id);

} // namespace pearhaven::control::test

#endif
