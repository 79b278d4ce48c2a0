#include "pearhaven/router/event_relay.hpp"

#include "loop_script.hpp"
#include "pearhaven/adapters/log.hpp"

#include <algorithm>
#include <functional>
#include <memory>
#include <set>
#include <string>
#include <vector>

#include <CppUTest/TestHarness.h>

using namespace pearhaven;
using namespace pearhaven::router;
using decision::work_kind;
using std::chrono::milliseconds;
using std::chrono::seconds;
using tests::loop_script;
using tests::script_listener;
using tests::script_socket;

namespace {

// The first log line allocates the log writer, which is never freed. Creating it here keeps it out
// of the tests' leak checks.
const bool log_is_created = [] {
    adapters::log_change("event_relay_tests", {});
    return true;
}();

// A minimal dialect. Its functions are called right before the relay sends something, so that
// `hook` runs right before the send that follows `hook_point`.
class hooked_dialect final : public caller_dialect {
public:
    std::variant<routed_request, local_answer>
    read(const adapters::inbound_exchange& caller,
         const decision::configuration* /*current*/) const override
    {
        this->on_call("read");
        if (caller.head().target == "/nowhere") {
            return local_answer{404, {}, "nowhere"};
        }
        auto made = this->prototype;
        made.work.team = "deposits";
        made.work.asked = "model";
        made.work.idempotent = decision::may_run_again(made.kind);
        made.work.streamed = decision::is_streamed(made.kind);
        made.work.work = {decision::work_class::lookup, 100.0};
        made.work.deadline = caller.arrived() + this->time_limit;
        made.work.max_attempts = 2;
        made.work.sizes = static_cast<std::uint32_t>(made.models.size());
        made.work.on_loss = decision::continuation::another_run;
        made.work.objective = this->objective;
        return made;
    }

    bool is_forwarded(const adapters::inbound_exchange& caller) const override
    {
        return adapters::find_field(caller.head().fields, "Forwarded") != nullptr;
    }

    std::string name_of(const adapters::inbound_exchange& /*caller*/) const override { return "n"; }

    adapters::outbound_request write(const adapters::inbound_exchange& caller,
                                     const routed_request& /*request*/,
                                     const attempt_terms& terms) const override
    {
        this->on_call(terms.last_event > 0 ? "write again" : "write");
        adapters::outbound_request sent;
        sent.target = caller.head().target;
        sent.fields = {{"Host", "h"}, {"After", std::to_string(terms.last_event)}};
        return sent;
    }

    answer_facts judge(const routed_request& /*request*/,
                       const adapters::http_response_head& head) const override
    {
        this->on_call("judge");
        answer_facts facts;
        facts.meaning = adapters::find_field(head.fields, "Foreign") ? answer_meaning::unproven
                        : head.status == 200                         ? answer_meaning::success
                        : head.status == 503                         ? answer_meaning::refused
                                             : answer_meaning::endpoint_error;
        facts.confidence = adapters::find_field(head.fields, "Poor") != nullptr ? 0.0 : 100.0;
        facts.notice.emplace();
        if (const auto* limit = adapters::find_field(head.fields, "Limit")) {
            facts.notice->request_limit = std::stod(*limit);
        }
        facts.notice->leaving = adapters::find_field(head.fields, "Leaving") != nullptr;
        if (adapters::find_field(head.fields, "Rest") != nullptr) {
            facts.notice->rest = seconds(30);
        }
        return facts;
    }

    answer_facts judge_forwarded(const routed_request& request,
                                 const adapters::http_response_head& head) const override
    {
        auto facts = this->judge(request, head);
        if (const auto* revision = adapters::find_field(head.fields, "Revision")) {
            facts.configuration = std::stoull(*revision);
        }
        return facts;
    }

    adapters::http_fields
    forwarded_fields(const routed_request& /*request*/,
                     const adapters::http_response_head& /*head*/) const override
    {
        this->on_call("pass on");
        return {};
    }

    local_answer refuse(const routed_request& /*request*/,
                        const decision::failure& why) const override
    {
        this->on_call("refuse");
        const bool has_not_run = why.run == decision::run_state::not_run;
        return {503, {}, has_not_run ? "refused, not run" : "refused, may have run"};
    }

    routed_request prototype;
    decision::duration time_limit = seconds(30);
    decision::duration objective{};
    std::string hook_point; // the function in which `hook` is called
    std::function<void()> hook;
    mutable int hook_calls = 0;

private:
    void on_call(const std::string& where) const
    {
        if (this->hook && where == this->hook_point) {
            ++this->hook_calls;
            this->hook();
        }
    }
};

class recording_reports final : public run_report_listener {
public:
    void on_lost_run(const decision::lost_run& run) override { this->lost.push_back(run); }
    void on_finished_run(std::uint64_t fingerprint) override
    {
        this->finished.push_back(fingerprint);
    }

    void on_lost_prompt(const decision::lost_prompt& prompt) override
    {
        this->lost_prompts.push_back(prompt);
    }
    void on_answered_prompt(const decision::answered_prompt& prompt) override
    {
        this->answered_prompts.push_back(prompt);
    }

    std::vector<decision::lost_run> lost;
    std::vector<decision::lost_prompt> lost_prompts;
    std::vector<decision::answered_prompt> answered_prompts;
    std::vector<std::uint64_t> finished;
};

// A configuration in which only `team` may send requests.
decision::configuration_ptr make_configuration(const std::string& team = "deposits",
                                               std::uint64_t revision = 1)
{
    decision::team deposits;
    deposits.name = team;
    deposits.versions = decision::selector();
    deposits.max_in_flight = 1000;
    decision::version served;
    served.name = "model@v1";
    served.model = "model";
    served.tags = {{"version", "model@v1"}};
    decision::pool engines;
    engines.name = "engines";
    engines.versions = decision::selector().require("version", {"model@v1"});
    engines.hosts = decision::selector().require("served", {"model@v1"});
    engines.slots_per_host = 64;
    return decision::configuration_builder()
        .revision(revision)
        .add(deposits)
        .add(served)
        .add(engines)
        .build();
}

std::string request(const std::string& target = "/a")
{
    return "GET " + target + " HTTP/1.1\r\nHost: h\r\n\r\n";
}

std::string complete_answer(const std::string& body, const std::string& field = "")
{
    return "HTTP/1.1 200 OK\r\n" + field + "Content-Length: " + std::to_string(body.size()) +
           "\r\n\r\n" + body;
}

const std::string stream_head = "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n";
const std::string refusal = "HTTP/1.1 503 No\r\nContent-Length: 0\r\n\r\n";

std::string event(int id, const std::string& text = "word")
{
    return adapters::write_chunk("id: " + std::to_string(id) + "\ndata: " + text + "\n\n");
}

// More than the socket buffers of two connections hold.
std::string long_stream()
{
    constexpr int events = 400;
    std::string stream = stream_head;
    for (int id = 1; id <= events; ++id) {
        stream += event(id, std::string(std::size_t{64} << 10U, 'x'));
    }
    return stream;
}

constexpr std::size_t more_than_a_long_stream = 64U << 20U;

// Bytes that one event adds at most to what is held for a caller.
constexpr std::size_t largest_read = 128U << 10U;

// More than the socket buffers of a connection hold.
constexpr std::size_t most_endless_bytes = std::size_t{32} << 20U;
const std::string endless_piece(std::size_t{16} << 10U, 'x');

std::string stream_end()
{
    return std::string(adapters::last_chunk);
}

} // namespace

// A caller, a relay and two endpoints on one event loop. Each test makes the caller or an endpoint
// disconnect at one step of a request, so that the relay is the first to encounter it. In every
// case nothing of the request remains, its run ends, and the next caller is served.
TEST_GROUP(event_relay)
{
    adapters::event_loop loop;
    adapters::metrics counts;
    hooked_dialect dialect;
    event_relay_settings settings;
    std::unique_ptr<decision::dispatcher> dispatcher;
    std::unique_ptr<adapters::http_outbound> client;
    std::unique_ptr<event_relay> relay;
    std::unique_ptr<adapters::http_inbound> callers;
    std::vector<std::unique_ptr<script_listener>> endpoints;
    std::unique_ptr<script_socket> caller;
    std::unique_ptr<script_socket> next_caller;
    std::unique_ptr<loop_script> script;

    void setup() override
    {
        CHECK_TRUE(log_is_created);
        this->client = adapters::make_http_outbound(this->loop, {});
        this->script = std::make_unique<loop_script>(this->loop);
        this->endpoints.push_back(std::make_unique<script_listener>());
        this->endpoints.push_back(std::make_unique<script_listener>());
        this->make_dispatcher();
        this->dialect.prototype.kind = work_kind::resumable_stream;
    }

    void make_dispatcher(bool sheds_load = false, std::uint32_t max_refusals = 1)
    {
        decision::dispatcher_settings chosen;
        chosen.endpoints.zone = "osu";
        chosen.max_refusals = max_refusals;
        chosen.config_expiry_grace = std::chrono::hours(1);
        chosen.sheds_load = sheds_load;
        this->dispatcher = std::make_unique<decision::dispatcher>(chosen);
        const auto now = this->loop.now();
        this->dispatcher->on_configuration(make_configuration(), now);
        this->dispatcher->on_hosts(this->hosts(), now);
        this->dispatcher->on_config_confirmed(decision::instant::max(), now);
    }

    // A request whose small model's answer is poor, so that the times of both models are known.
    void run_both_models()
    {
        const auto now = this->loop.now();
        decision::arrival first;
        first.ticket = 1;
        first.team = "deposits";
        first.asked = "model";
        first.deadline = now + seconds(30);
        first.max_attempts = 2;
        first.sizes = 2;
        this->dispatcher->on_arrival(first, now);
        CHECK_FALSE(this->dispatcher->accepts_answer(1, 1, 0.0, now));
        CHECK_TRUE(this->dispatcher->accepts_answer(1, 2, 0.0, now));
        this->dispatcher->on_caller_gone(1, now);
        CHECK_FALSE(this->dispatcher->take_actions().empty());
    }

    void limit_held_answers(std::size_t bytes)
    {
        adapters::http_outbound_settings bounded;
        bounded.max_held_bytes = bytes;
        this->client = adapters::make_http_outbound(this->loop, bounded);
    }

    // Creates the relay with the settings that the test has chosen.
    void open()
    {
        this->relay = std::make_unique<event_relay>(this->loop, *this->client, *this->dispatcher,
                                                    this->dialect, this->counts, this->settings);
        this->callers = adapters::make_http_inbound(this->loop, "127.0.0.1", 0, 16, *this->relay);
        this->caller = script_socket::connect(this->callers->port());
    }

    void teardown() override
    {
        this->script.reset();
        this->dialect.hook = nullptr;
        this->callers.reset();
        this->relay.reset();
        this->client.reset();
        this->endpoints.clear();
        this->caller.reset();
        this->next_caller.reset();
        this->dispatcher.reset();
    }

    std::vector<decision::endpoint_host> hosts() const
    {
        std::vector<decision::endpoint_host> made;
        for (const auto& one : this->endpoints) {
            const auto address = "127.0.0.1:" + std::to_string(one->port());
            made.push_back({address, address, "osu", 0, false, {{"served", "model@v1"}}});
        }
        return made;
    }

    // The connection that brought the request number `index` to either endpoint; null if there is
    // none yet.
    script_socket* run_at(std::size_t index)
    {
        for (const auto& one : this->endpoints) {
            for (const auto& connection : one->connections()) {
                auto* candidate = connection.get();
                const bool known =
                    std::find(this->runs.begin(), this->runs.end(), candidate) != this->runs.end();
                if (!known && connection->has("\r\n\r\n")) {
                    this->runs.push_back(candidate);
                }
            }
        }
        return index < this->runs.size() ? this->runs[index] : nullptr;
    }

    std::function<bool()> has_run(std::size_t index)
    {
        return [this, index] { return this->run_at(index) != nullptr; };
    }

    // Sets how many bytes the server of callers holds for those that do not take them.
    void set_room(std::size_t bytes)
    {
        adapters::inbound_limits limits;
        limits.unsent_bytes = bytes;
        this->callers->set_limits(limits);
    }

    // Whether the first run's bytes are no longer being sent.
    std::function<bool()> is_blocked()
    {
        return [this, last = std::size_t{0}, checks = 0]() mutable {
            const auto left = this->run_at(0)->flush();
            checks = left == last ? checks + 1 : 0;
            last = left;
            return checks > 20;
        };
    }

    // Each endpoint that is asked sends a foreign page; the caller is told that the request may
    // have run.
    void run_foreign_answer(work_kind kind, const std::string& status)
    {
        this->dialect.prototype.kind = kind;
        this->begin().when(
            [this, status] {
                for (std::size_t index = 0; this->run_at(index) != nullptr; ++index) {
                    if (this->answered.insert(index).second) {
                        this->run_at(index)->send("HTTP/1.1 " + status +
                                                  " X\r\nForeign: 1\r\n"
                                                  "Content-Length: 7\r\n\r\nforeign");
                    }
                }
                return this->caller->has("refused, may have run");
            },
            [this] { this->disconnect_caller(); });
        this->finish(false);
        CHECK_FALSE(this->caller->has("foreign"));
    }

    std::function<bool()> caller_has(const std::string& part)
    {
        return [this, part] { return this->caller->has(part); };
    }

    // The operator removes the team of all callers, or restores it.
    void remove_team()
    {
        this->dispatcher->on_configuration(make_configuration("another"), this->loop.now());
        this->relay->run_actions();
    }
    void restore_team()
    {
        this->dispatcher->on_configuration(make_configuration(), this->loop.now());
        this->relay->run_actions();
    }

    // Disconnects the caller after it got its answer, and restores the team for the next caller.
    void disconnect_caller()
    {
        this->caller->close();
        this->restore_team();
    }

    // Resets the caller's connection right before the send that follows `place`.
    void reset_at(const std::string& place)
    {
        this->dialect.hook_point = place;
        this->dialect.hook = [this] { this->caller->reset(); };
    }

    // The caller sends its request. The server holds at most `room` bytes, or its usual number.
    loop_script& begin(std::size_t room = adapters::inbound_limits().unsent_bytes)
    {
        this->open();
        this->set_room(room);
        this->caller->send(request());
        return *this->script;
    }

    // Sends a part of an answer that never ends, until the relay closes the connection. It is
    // bounded, so that a relay that keeps all of it does not exhaust the test's memory.
    void send_more(const std::string& piece)
    {
        if (this->endless_bytes < most_endless_bytes && this->run_at(0)->flush() == 0) {
            this->run_at(0)->send(piece);
            this->endless_bytes += piece.size();
        }
    }

    // The first endpoint's answer never ends. The other one's must reach the caller, and the first
    // run must end.
    void run_endless_answer(const std::string& first, const std::string& piece)
    {
        this->begin()
            .when(this->has_run(0), [this, first] { this->run_at(0)->send(first); })
            .when(
                [this, piece] {
                    this->send_more(piece);
                    return this->run_at(1) != nullptr;
                },
                [this] { this->run_at(1)->send(complete_answer("whole")); })
            .when(this->caller_has("whole"), [this] { this->caller->close(); })
            .until([this] { return this->run_at(0)->is_ended(); });
        this->finish(false);
        CHECK_TRUE(this->endless_bytes < most_endless_bytes);
    }

    // Runs the script, then a request of another caller, which must be served.
    void finish(bool run_ends = true)
    {
        auto& steps = *this->script;
        steps.until([this] { return this->relay->in_flight() == 0; }).until([this] {
            return this->callers->counts().open == 0;
        });
        if (run_ends) {
            steps.until(
                [this] { return this->run_at(0) == nullptr || this->runs.back()->is_ended(); });
        }
        steps
            .when([] { return true; },
                  [this] {
                      this->dialect.hook = nullptr;
                      this->dialect.prototype = {};
                      this->dialect.prototype.kind = work_kind::idempotent;
                      this->next_caller = script_socket::connect(this->callers->port());
                      this->next_caller->send(request("/next"));
                  })
            .when([this] { return this->next_caller_run() != nullptr; },
                  [this] { this->next_caller_run()->send(complete_answer("served")); })
            .until([this] { return this->next_caller->has("served"); });
        CHECK_TRUE(steps.run());
        CHECK_EQUAL(0, this->relay->in_flight());
        CHECK_EQUAL(0, this->dispatcher->in_flight());
    }

    // Another router, at the first endpoint's port, runs the caller's request by a newer
    // configuration, since this one can connect to no endpoint. Then the next caller sends.
    loop_script& run_by_a_newer_configuration()
    {
        this->make_dispatcher(false, 3);
        const std::string unreachable = "127.0.0.1:1";
        this->dispatcher->on_hosts(
            {{unreachable, unreachable, "osu", 0, false, {{"served", "model@v1"}}}},
            this->loop.now());
        this->dispatcher->set_peer("edge-2",
                                   "127.0.0.1:" + std::to_string(this->endpoints[0]->port()));
        this->dialect.prototype.kind = work_kind::idempotent;
        return this->begin()
            .when(this->has_run(0),
                  [this] { this->run_at(0)->send(complete_answer("first", "Revision: 2\r\n")); })
            .when(this->caller_has("first"), [this] {
                this->caller->close();
                this->next_caller = script_socket::connect(this->callers->port());
                this->next_caller->send(request("/next"));
            });
    }

    // How often requests with this start were sent to either endpoint.
    std::size_t sends_of(const std::string& start)
    {
        std::size_t count = 0;
        for (const auto& one : this->endpoints) {
            for (const auto& connection : one->connections()) {
                const auto& bytes = connection->received();
                for (auto at = bytes.find(start); at != std::string::npos;
                     at = bytes.find(start, at + 1)) {
                    ++count;
                }
            }
        }
        return count;
    }

    // The address of the endpoint that got the run.
    std::string address_of_run(std::size_t index)
    {
        const auto* run = this->run_at(index);
        for (const auto& one : this->endpoints) {
            for (const auto& connection : one->connections()) {
                if (connection.get() == run) {
                    return "127.0.0.1:" + std::to_string(one->port());
                }
            }
        }
        return "";
    }

    // Whether a new request may be sent to the endpoint now, if no other is left.
    bool accepts_requests(const std::string& address)
    {
        decision::placement wanted;
        wanted.version_or_service = "model@v1";
        for (const auto& host : this->hosts()) {
            if (host.address != address) {
                wanted.avoid.push_back(host.address);
            }
        }
        return this->dispatcher->endpoints().choose(wanted, this->loop.now(), 1).has_value();
    }

    // The connection that brought the next caller's request.
    script_socket* next_caller_run()
    {
        for (const auto& one : this->endpoints) {
            for (auto& connection : one->connections()) {
                if (connection->has("GET /next ")) {
                    return connection.get();
                }
            }
        }
        return nullptr;
    }

    std::vector<script_socket*> runs;
    std::set<std::size_t> answered; // indexes of runs
    std::size_t endless_bytes = 0;
};

// The end of a stop refuses waiting requests, and the refusal is the first send after the caller
// has reset its connection. This once crashed two routers with all their streams.
TEST(event_relay, caller_reset_before_the_refusal_at_the_end_of_a_stop)
{
    this->begin().when(this->has_run(0), [this] {
        this->caller->reset();
        this->dispatcher->end_stop(this->loop.now());
        this->relay->run_actions();
    });
    this->finish();
}

TEST(event_relay, caller_reset_before_its_stream_is_cut_off_at_the_end_of_a_stop)
{
    this->begin()
        .when(this->has_run(0), [this] { this->run_at(0)->send(stream_head + event(1)); })
        .when(this->caller_has("id: 1"), [this] {
            this->caller->reset();
            this->dispatcher->end_stop(this->loop.now());
            this->relay->run_actions();
        });
    this->finish();
}

TEST(event_relay, caller_reset_before_a_local_answer)
{
    this->reset_at("read");
    this->open();
    this->caller->send(request("/nowhere"));
    this->finish();
}

TEST(event_relay, caller_reset_while_the_request_is_sent_ends_the_run)
{
    this->reset_at("write");
    this->begin();
    this->script->until([this] { return this->dialect.hook_calls > 0; });
    this->finish();
}

TEST(event_relay, caller_reset_before_the_answer_head_ends_the_run)
{
    this->begin().when(this->has_run(0), [this] { this->caller->reset(); });
    this->finish();
}

TEST(event_relay, caller_reset_before_a_plain_answer)
{
    this->dialect.prototype.kind = work_kind::idempotent;
    this->reset_at("pass on");
    this->begin().when(this->has_run(0),
                       [this] { this->run_at(0)->send(complete_answer("answer")); });
    this->finish(false);
}

TEST(event_relay, caller_reset_before_a_stream_head_with_events)
{
    this->reset_at("pass on");
    this->begin().when(this->has_run(0), [this] {
        this->run_at(0)->send(stream_head + event(1) + event(2) + event(3));
    });
    this->finish();
}

TEST(event_relay, caller_reset_before_a_complete_stream)
{
    this->reset_at("pass on");
    this->begin().when(this->has_run(0), [this] {
        this->run_at(0)->send(stream_head + event(1) + event(2) + stream_end());
    });
    this->finish(false);
}

// The endpoint's bytes arrive before the caller's reset, so the relay encounters the reset in a
// send.
TEST(event_relay, caller_reset_between_pieces)
{
    this->begin()
        .when(this->has_run(0), [this] { this->run_at(0)->send(stream_head + event(1)); })
        .when(this->caller_has("id: 1"), [this] {
            this->run_at(0)->send(event(2) + event(3));
            this->caller->reset();
        });
    this->finish();
}

TEST(event_relay, caller_reset_before_the_end_of_a_stream)
{
    this->begin()
        .when(this->has_run(0), [this] { this->run_at(0)->send(stream_head + event(1)); })
        .when(this->caller_has("id: 1"), [this] {
            this->run_at(0)->send(stream_end());
            this->caller->reset();
        });
    this->finish(false);
}

// An event out of sequence fails the run in the same piece that encounters the reset: the run is
// cancelled from within the call that delivers its bytes.
TEST(event_relay, caller_reset_before_a_gap_in_the_stream)
{
    this->begin()
        .when(this->has_run(0), [this] { this->run_at(0)->send(stream_head + event(1)); })
        .when(this->caller_has("id: 1"), [this] {
            this->run_at(0)->send(event(2) + event(9));
            this->caller->reset();
        });
    this->finish();
}

// The first endpoint's connection is reset after an event. The caller disconnects while another
// endpoint is asked to resume the stream.
TEST(event_relay, caller_reset_while_the_stream_is_resumed_ends_the_new_run)
{
    this->reset_at("write again");
    this->begin()
        .when(this->has_run(0), [this] { this->run_at(0)->send(stream_head + event(1)); })
        .when(this->caller_has("id: 1"), [this] { this->run_at(0)->reset(); })
        .until([this] { return this->dialect.hook_calls > 0; });
    this->finish(false);
}

TEST(event_relay, caller_reset_before_pieces_of_the_resumed_stream)
{
    this->begin()
        .when(this->has_run(0), [this] { this->run_at(0)->send(stream_head + event(1)); })
        .when(this->caller_has("id: 1"), [this] { this->run_at(0)->reset(); })
        .when(this->has_run(1), [this] {
            this->run_at(1)->send(stream_head + event(1) + event(2) + event(3));
            this->caller->reset();
        });
    this->finish();
}

TEST(event_relay, a_broken_stream_is_resumed_at_another_endpoint)
{
    this->begin()
        .when(this->has_run(0), [this] { this->run_at(0)->send(stream_head + event(1)); })
        .when(this->caller_has("id: 1"), [this] { this->run_at(0)->reset(); })
        .when(this->has_run(1),
              [this] { this->run_at(1)->send(stream_head + event(1) + event(2) + stream_end()); })
        .when(this->caller_has("id: 2"), [this] { this->caller->close(); });
    this->finish(false);
}

TEST(event_relay, caller_reset_before_the_refusal_after_all_endpoints_refused)
{
    this->dialect.prototype.kind = work_kind::idempotent;
    this->reset_at("refuse");
    this->begin()
        .when(this->has_run(0), [this] { this->run_at(0)->send(refusal); })
        .when([this] { return this->has_run(1)() || this->dialect.hook_calls > 0; },
              [this] {
                  if (this->run_at(1) != nullptr) {
                      this->run_at(1)->send(refusal);
                  }
              });
    this->finish(false);
}

TEST(event_relay, caller_reset_before_an_endpoints_error_answer)
{
    this->dialect.prototype.kind = work_kind::at_most_once;
    this->reset_at("pass on");
    this->begin().when(this->has_run(0), [this] {
        this->run_at(0)->send("HTTP/1.1 500 X\r\nContent-Length: 3\r\n\r\nbad");
    });
    this->finish(false);
}

// The small model has low confidence in its answer, and the caller disconnects while the large
// model is asked. The first run is dropped from within the call that delivers its head.
TEST(event_relay, caller_reset_while_a_larger_model_is_asked_ends_the_new_run)
{
    this->dialect.prototype.kind = work_kind::idempotent;
    this->dialect.prototype.models = {"small", "large"};
    this->begin()
        .when(this->has_run(0),
              [this] {
                  this->reset_at("write");
                  this->run_at(0)->send(complete_answer("doubted", "Poor: yes\r\n"));
              })
        .until([this] { return this->dialect.hook_calls > 0; });
    this->finish(false);
}

// A plain answer that is too long to buffer breaks off, and its caller has disconnected.
TEST(event_relay, caller_reset_before_a_long_plain_answer_breaks_off)
{
    this->settings.max_buffered = 4;
    this->dialect.prototype.kind = work_kind::idempotent;
    this->reset_at("pass on");
    this->begin().when(this->has_run(0), [this] {
        this->run_at(0)->send("HTTP/1.1 200 OK\r\nContent-Length: 100\r\n\r\na long beginning");
        this->run_at(0)->close();
    });
    this->finish(false);
}

// The endpoint times out. The caller disconnects while another endpoint is asked.
TEST(event_relay, caller_reset_after_an_endpoint_timeout_ends_the_next_run)
{
    this->settings.min_answer_timeout = milliseconds(5);
    this->settings.liveness_window = milliseconds(0);
    this->dialect.objective = milliseconds(10);
    this->dialect.prototype.kind = work_kind::idempotent;
    this->begin().when(this->has_run(0), [this] { this->reset_at("write"); }).until([this] {
        return this->dialect.hook_calls > 0;
    });
    this->finish(false);
}

TEST(event_relay, caller_reset_before_the_refusal_at_the_deadline)
{
    this->dialect.time_limit = milliseconds(30);
    this->reset_at("refuse");
    this->begin().until(this->has_run(0)).until([this] {
        this->relay->tick();
        return this->dialect.hook_calls > 0;
    });
    this->finish(false);
}

TEST(event_relay, caller_reset_ends_both_pipelined_requests)
{
    this->dialect.prototype.kind = work_kind::idempotent;
    this->reset_at("pass on");
    this->open();
    this->caller->send(request() + request("/b"));
    this->script->when(this->has_run(0),
                       [this] { this->run_at(0)->send(complete_answer("answer")); });
    this->finish(false);
}

// The router itself refuses the second request, at the moment when the first one ends and makes
// room for it.
TEST(event_relay, pipelined_requests_are_answered_in_order)
{
    this->dialect.prototype.kind = work_kind::idempotent;
    this->open();
    this->caller->send(request() + request("/nowhere"));
    this->script
        ->when(this->has_run(0), [this] { this->run_at(0)->send(complete_answer("answer")); })
        .when(this->caller_has("nowhere"), [this] {
            CHECK_TRUE(this->caller->received().find("answer") <
                       this->caller->received().find("nowhere"));
            this->caller->reset();
        });
    this->finish(false);
}

// An endpoint sends an event without an end, which the router once kept buffering without limit.
// Beyond the limit the run is given up as broken, and another endpoint resumes the stream.
TEST(event_relay, an_event_without_an_end_does_not_exhaust_memory)
{
    this->settings.max_event_size = 1000;
    this->begin()
        .when(this->has_run(0),
              [this] {
                  this->run_at(0)->send(stream_head + event(1) +
                                        adapters::write_chunk("data: " + std::string(2000, 'x')));
              })
        .when(this->has_run(1),
              [this] { this->run_at(1)->send(stream_head + event(2) + stream_end()); })
        .until(this->caller_has(stream_end()));
    CHECK_TRUE(this->script->run());
    CHECK_FALSE(this->caller->has("xxx"));
}

// Guards against events that are each within their bound and together exceed the memory.
TEST(event_relay, an_event_beyond_the_memory_for_answers_is_given_up)
{
    this->limit_held_answers(4000);
    this->begin()
        .when(this->has_run(0),
              [this] {
                  this->run_at(0)->send(stream_head + event(1) +
                                        adapters::write_chunk("data: " + std::string(5000, 'x')));
              })
        .when(this->has_run(1),
              [this] { this->run_at(1)->send(stream_head + event(2) + stream_end()); })
        .until(this->caller_has(stream_end()));
    CHECK_TRUE(this->script->run());
    CHECK_FALSE(this->caller->has("xxx"));
}

// Guards against a whole answer that is given up for the memory, although it could be passed on.
TEST(event_relay, an_answer_beyond_the_memory_for_answers_is_passed_on_before_it_is_whole)
{
    this->dialect.prototype.kind = work_kind::at_most_once;
    this->limit_held_answers(4000);
    this->begin()
        .when(this->has_run(0),
              [this] {
                  this->run_at(0)->send("HTTP/1.1 200 OK\r\nContent-Length: 5001\r\n\r\n" +
                                        std::string(5000, 'x'));
              })
        .when(this->caller_has("xxx"), [this] { this->run_at(0)->send("y"); })
        .when(this->caller_has(stream_end()), [this] { this->caller->close(); });
    this->finish(false);
    CHECK_TRUE(this->caller->has("y"));
}

// Guards against failures of endpoints that are kept for all callers at once.
TEST(event_relay, a_failure_beyond_the_memory_for_answers_is_not_kept)
{
    this->dialect.prototype.kind = work_kind::idempotent;
    this->limit_held_answers(4000);
    const auto fail = [this](std::size_t index) {
        this->run_at(index)->send("HTTP/1.1 500 X\r\nContent-Length: 3000\r\n\r\n" +
                                  std::string(3000, 'x'));
    };
    this->begin()
        .when(this->has_run(0), [fail] { fail(0); })
        .when(this->has_run(1), [fail] { fail(1); })
        .when(this->caller_has("refused, may have run"), [this] { this->caller->close(); });
    this->finish(false);
    CHECK_FALSE(this->caller->has("xxx"));
}

// Guards against an answer of a failure whose body never ends, which was buffered without limit.
TEST(event_relay, a_failed_answer_without_an_end_does_not_exhaust_memory)
{
    this->dialect.prototype.kind = work_kind::idempotent;
    this->run_endless_answer("HTTP/1.1 500 X\r\n\r\n", endless_piece);
}

// Guards against the same where a request that must not run twice waits for its deadline.
TEST(event_relay, a_failed_answer_without_an_end_is_told_to_the_caller)
{
    this->dialect.prototype.kind = work_kind::at_most_once;
    this->begin()
        .when(this->has_run(0), [this] { this->run_at(0)->send("HTTP/1.1 500 X\r\n\r\n"); })
        .when(
            [this] {
                this->send_more(endless_piece);
                return this->caller->has("refused, may have run");
            },
            [this] { this->caller->close(); });
    this->finish();
}

// Guards against a refusal that counts only when its body ends, which it never does.
TEST(event_relay, a_refusal_without_an_end_counts_at_once)
{
    this->dialect.prototype.kind = work_kind::at_most_once;
    this->begin()
        .when(this->has_run(0), [this] { this->run_at(0)->send("HTTP/1.1 503 No\r\n\r\n"); })
        .when(
            [this] {
                this->send_more(endless_piece);
                return this->caller->has("refused, not run");
            },
            [this] { this->caller->close(); });
    this->finish();
}

// Guards against a refusal that is forgotten because its connection breaks in its body: the request
// has not run, and is told as one that may have.
TEST(event_relay, a_refusal_whose_body_breaks_off_is_a_refusal)
{
    this->dialect.prototype.kind = work_kind::at_most_once;
    this->begin()
        .when(this->has_run(0),
              [this] { this->run_at(0)->send("HTTP/1.1 503 No\r\nContent-Length: 9\r\n\r\nx"); })
        .when([this] { return this->relay->in_flight() == 1; },
              [this] { this->run_at(0)->close(); })
        .when(this->caller_has("refused, not run"), [this] { this->caller->close(); });
    this->finish();
}

// Guards against a head that never ends.
TEST(event_relay, a_head_without_an_end_is_a_failure)
{
    this->dialect.prototype.kind = work_kind::idempotent;
    this->run_endless_answer("HTTP/1.1 200 OK\r\nField: ", endless_piece);
}

// Guards against interim answers that go on and never lead to an answer.
TEST(event_relay, interim_answers_without_an_end_are_a_failure)
{
    this->dialect.prototype.kind = work_kind::idempotent;
    std::string interim;
    while (interim.size() < endless_piece.size()) {
        interim += "HTTP/1.1 100 Continue\r\n\r\n";
    }
    this->run_endless_answer(interim, interim);
}

// Guards against bytes within a body that belong to none of its pieces.
TEST(event_relay, a_chunk_extension_without_an_end_is_a_failure)
{
    this->dialect.prototype.kind = work_kind::idempotent;
    this->run_endless_answer("HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n1;",
                             endless_piece);
}

// The caller reads nothing until the relay stops reading from the endpoint. Then it reads
// everything.
TEST(event_relay, a_slow_caller_gets_the_complete_stream)
{
    this->settings.max_unsent = 1;
    this->begin()
        .when(this->has_run(0), [this] { this->run_at(0)->send(long_stream() + stream_end()); })
        .until(this->is_blocked())
        .when(
            [this] {
                this->run_at(0)->flush();
                return this->caller->ends_with(stream_end());
            },
            [this] { this->caller->close(); });
    this->finish(false);
}

// Guards against an endpoint that cuts off an answer which the router does not read because its
// caller is slow.
TEST(event_relay, the_endpoint_of_a_slow_caller_is_read_while_there_is_room)
{
    this->settings.max_unsent_with_room = more_than_a_long_stream;
    this->begin(more_than_a_long_stream)
        .when(this->has_run(0), [this] { this->run_at(0)->send(long_stream() + stream_end()); })
        .when([this] { return this->run_at(0)->flush() == 0; },
              [this] { CHECK_TRUE(this->callers->counts().unsent_bytes > 0); })
        .when([this] { return this->caller->ends_with(stream_end()); },
              [this] {
                  CHECK_EQUAL(0U, this->callers->counts().unsent_bytes);
                  this->caller->close();
              });
    this->finish(false);
}

// Guards against holding more for slow callers than the host's memory allows, and against an
// endpoint that is not read any more although others have made room.
TEST(event_relay, the_endpoint_of_a_slow_caller_is_not_read_without_room)
{
    constexpr std::size_t room = 4U << 20U;
    this->settings.max_unsent_with_room = more_than_a_long_stream;
    this->begin(room)
        .when(this->has_run(0), [this] { this->run_at(0)->send(long_stream() + stream_end()); })
        .when(this->is_blocked(),
              [this] {
                  CHECK_TRUE(this->callers->counts().unsent_bytes < room + largest_read);
                  this->set_room(more_than_a_long_stream);
                  this->relay->tick();
              })
        .when([this] { return this->run_at(0)->flush() == 0; }, [this] { this->caller->reset(); });
    this->finish(false);
}

TEST(event_relay, caller_reset_while_the_endpoint_is_paused_ends_the_run)
{
    this->settings.max_unsent = 1;
    this->begin()
        .when(this->has_run(0), [this] { this->run_at(0)->send(long_stream()); })
        .when(this->is_blocked(), [this] { this->caller->reset(); });
    this->finish();
}

// The endpoint fails with the caller's request after the caller's team was removed. The caller is
// told once that the request may have run; the same router serves the next caller.
TEST(event_relay, a_request_lost_after_its_team_was_removed_is_refused)
{
    this->dialect.prototype.kind = work_kind::idempotent;
    this->begin()
        .when(this->has_run(0),
              [this] {
                  this->remove_team();
                  this->run_at(0)->reset();
              })
        .when(this->caller_has("refused, may have run"), [this] { this->disconnect_caller(); });
    this->finish(false);
    CHECK_EQUAL(1U, this->sends_of("GET /a "));
}

// Guards against a request that is run by an older configuration than an earlier one, because this
// router is behind the one that ran the earlier one.
TEST(event_relay, a_request_waits_for_the_configuration_that_another_router_has_used)
{
    this->run_by_a_newer_configuration()
        .when([this] { return this->relay->in_flight() == 1; },
              [this] {
                  CHECK_EQUAL(0, this->dispatcher->in_flight());
                  this->dispatcher->on_configuration(make_configuration("deposits", 2),
                                                     this->loop.now());
                  this->relay->run_actions();
              })
        .when([this] { return this->next_caller_run() != nullptr; },
              [this] { this->next_caller_run()->send(complete_answer("second")); })
        .until([this] { return this->next_caller->has("second"); });
    CHECK_TRUE(this->script->run());
    CHECK_EQUAL(0, this->relay->in_flight());
}

// Guards against a caller that waits until its deadline for such a configuration.
TEST(event_relay, a_request_that_waited_too_long_for_a_configuration_is_refused)
{
    this->settings.max_configuration_wait = milliseconds(20);
    this->run_by_a_newer_configuration().until([this] {
        this->relay->tick();
        return this->next_caller->has("refused, not run");
    });
    CHECK_TRUE(this->script->run());
    CHECK_EQUAL(0, this->relay->in_flight());
    CHECK_EQUAL(0U, this->sends_of("GET /next "));
}

// Guards against a router that serves nobody because another one claims a configuration that does
// not exist.
TEST(event_relay, a_router_goes_on_without_a_configuration_that_does_not_come)
{
    this->settings.max_time_behind = milliseconds(20);
    this->run_by_a_newer_configuration()
        .when(
            [this] {
                this->relay->tick();
                return this->next_caller_run() != nullptr;
            },
            [this] { this->next_caller_run()->send(complete_answer("second")); })
        .until([this] { return this->next_caller->has("second"); });
    CHECK_TRUE(this->script->run());
}

// Guards against a caller with little time that is refused only after its deadline.
TEST(event_relay, a_request_waits_for_a_configuration_until_its_deadline_at_most)
{
    this->dialect.time_limit = milliseconds(300);
    this->settings.max_configuration_wait = seconds(20);
    this->run_by_a_newer_configuration().until([this] {
        this->relay->tick();
        return this->next_caller->has("refused, not run");
    });
    CHECK_TRUE(this->script->run());
}

// Guards against other routers that wait for one that is behind, and callers without an answer when
// it stops.
TEST(event_relay, a_router_that_is_behind_refuses_other_routers_and_in_a_stop_everybody)
{
    this->run_by_a_newer_configuration()
        .when([this] { return this->relay->in_flight() == 1; },
              [this] {
                  this->next_caller->close();
                  this->next_caller = script_socket::connect(this->callers->port());
                  this->next_caller->send("GET /next HTTP/1.1\r\nHost: h\r\nForwarded: 1\r\n\r\n");
              })
        .when([this] { return this->next_caller->has("refused, not run"); },
              [this] {
                  const auto now = this->loop.now();
                  this->dispatcher->begin_stop({now + seconds(3), now + seconds(8)});
                  this->next_caller = script_socket::connect(this->callers->port());
                  this->next_caller->send(request("/next"));
              })
        .until([this] { return this->next_caller->has("refused, not run"); });
    CHECK_TRUE(this->script->run());
    CHECK_EQUAL(0U, this->sends_of("GET /next "));
}

TEST(event_relay, a_caller_that_leaves_while_it_waits_for_a_configuration_is_forgotten)
{
    this->run_by_a_newer_configuration()
        .when([this] { return this->relay->in_flight() == 1; },
              [this] { this->next_caller->close(); })
        .until([this] { return this->relay->in_flight() == 0; });
    CHECK_TRUE(this->script->run());
    CHECK_EQUAL(0U, this->sends_of("GET /next "));
}

// The endpoint answers with an error after the team was removed. The caller gets the endpoint's
// answer.
TEST(event_relay, an_endpoints_error_answer_is_forwarded_after_the_team_was_removed)
{
    this->dialect.prototype.kind = work_kind::idempotent;
    this->begin()
        .when(this->has_run(0),
              [this] {
                  this->remove_team();
                  this->run_at(0)->send("HTTP/1.1 500 X\r\nContent-Length: 3\r\n\r\nbad");
              })
        .when(this->caller_has(" 500 "), [this] { this->disconnect_caller(); });
    this->finish(false);
}

// Guards against passing on bytes that are not an endpoint's answer, with a status that says that
// the request succeeded.
TEST(event_relay, a_foreign_success_is_not_forwarded)
{
    this->run_foreign_answer(work_kind::at_most_once, "200");
    CHECK_EQUAL(1U, this->sends_of("GET /a "));
}

// Guards against passing on a foreign status that says that a request has not run, so that its
// caller sends it again.
TEST(event_relay, a_foreign_refusal_is_not_forwarded)
{
    this->run_foreign_answer(work_kind::at_most_once, "503");
    CHECK_EQUAL(1U, this->sends_of("GET /a "));
}

TEST(event_relay, a_foreign_success_of_the_last_attempt_is_not_forwarded)
{
    this->run_foreign_answer(work_kind::idempotent, "200");
}

// The small model has low confidence in its answer, and the team was removed, so no larger model
// may be asked. The caller gets the small model's answer.
TEST(event_relay, a_low_confidence_answer_is_forwarded_after_the_team_was_removed)
{
    this->dialect.prototype.kind = work_kind::idempotent;
    this->dialect.prototype.models = {"small", "large"};
    this->begin()
        .when(this->has_run(0),
              [this] {
                  this->remove_team();
                  this->run_at(0)->send(complete_answer("doubted", "Poor: yes\r\n"));
              })
        .when(this->caller_has("doubted"), [this] { this->disconnect_caller(); });
    this->finish(false);
}

// The endpoints have 20 s of work, so a larger model's answer would be late. Guards against answers
// of low confidence that are delivered without a trace.
TEST(event_relay, a_low_confidence_answer_delivered_because_of_the_load_is_counted)
{
    this->make_dispatcher(true);
    this->run_both_models();
    this->dialect.prototype.kind = work_kind::idempotent;
    this->dialect.prototype.models = {"small", "large"};
    this->dialect.prototype.route = "chat";
    this->dialect.objective = seconds(10);
    this->begin()
        .when(this->has_run(0),
              [this] {
                  std::vector<decision::endpoint_load> loads;
                  for (const auto& host : this->hosts()) {
                      loads.push_back({host.address, 1, 20'000.0});
                  }
                  this->dispatcher->on_peer_loads("peer", loads, this->loop.now());
                  this->run_at(0)->send(complete_answer("doubted", "Poor: yes\r\n"));
              })
        .when(this->caller_has("doubted"), [this] { this->caller->close(); });
    this->finish(false);
    const auto published = this->counts.exposition();
    STRCMP_CONTAINS("pearhaven_cheaper_answers{route=\"chat\"} 1", published.c_str());
    STRCMP_CONTAINS("pearhaven_forecast_error_seconds{size=\"0\"}", published.c_str());
}

// The team is removed in the middle of a stream. The request was sent before, so the caller gets
// the complete stream.
TEST(event_relay, a_stream_completes_after_its_team_was_removed)
{
    this->begin()
        .when(this->has_run(0), [this] { this->run_at(0)->send(stream_head + event(1)); })
        .when(this->caller_has("id: 1"),
              [this] {
                  this->remove_team();
                  this->run_at(0)->send(event(2) + stream_end());
              })
        .when(this->caller_has(stream_end()), [this] { this->disconnect_caller(); });
    this->finish(false);
    CHECK_TRUE(this->caller->has("id: 2"));
}

// As above, but the endpoint is lost and no other one may resume the stream. The caller's
// connection ends without the end of the stream, so that the caller notices that it is incomplete.
TEST(event_relay, a_stream_that_breaks_after_its_team_was_removed_is_cut_off)
{
    this->begin()
        .when(this->has_run(0), [this] { this->run_at(0)->send(stream_head + event(1)); })
        .when(this->caller_has("id: 1"),
              [this] {
                  this->remove_team();
                  this->run_at(0)->reset();
              })
        .when([this] { return this->caller->is_ended(); }, [this] { this->disconnect_caller(); });
    this->finish(false);
    CHECK_FALSE(this->caller->has(stream_end()));
    CHECK_EQUAL(1U, this->sends_of("GET /a "));
}

// The request waits because the router cannot confirm its configuration. The configuration that is
// then confirmed does not allow the caller: the request is refused and never sent.
TEST(event_relay, a_waiting_request_is_refused_as_not_run_after_its_team_was_removed)
{
    this->dispatcher->on_config_confirmed(this->loop.now(), this->loop.now());
    this->begin()
        .when([this] { return this->dispatcher->queued() == 1; },
              [this] {
                  this->remove_team();
                  this->dispatcher->on_config_confirmed(decision::instant::max(), this->loop.now());
                  this->relay->run_actions();
              })
        .when(this->caller_has("refused, not run"), [this] { this->disconnect_caller(); });
    this->finish(false);
    CHECK_EQUAL(0U, this->sends_of("GET /a "));
}

// The team is removed and the request limits are lowered when half of the request has arrived. The
// router still reads it completely and applies the configuration in force at its end: the caller
// gets a refusal instead of a closed connection.
TEST(event_relay, a_request_being_read_during_a_configuration_change_is_answered)
{
    this->open();
    this->caller->send("POST /a HTTP/1.1\r\nHost: h\r\nContent-Length: 8\r\n\r\nhalf");
    this->script
        ->when([checks = 0]() mutable { return ++checks > 20; },
               [this] {
                   adapters::inbound_limits lower;
                   lower.body_bytes = 4;
                   lower.head_time = milliseconds(1);
                   lower.idle_time = milliseconds(1);
                   this->callers->set_limits(lower);
                   this->remove_team();
                   this->caller->send("half");
               })
        .when(this->caller_has("refused, not run"), [this] {
            this->callers->set_limits({});
            this->disconnect_caller();
        });
    this->finish(false);
    CHECK_EQUAL(0U, this->sends_of("POST /a "));
}

// The relay is destroyed with a stream in flight and a caller's reset that was not delivered yet.
TEST(event_relay, the_relay_may_be_destroyed_with_an_undelivered_caller_reset)
{
    this->begin()
        .when(this->has_run(0), [this] { this->run_at(0)->send(stream_head + event(1)); })
        .until(this->caller_has("id: 1"));
    CHECK_TRUE(this->script->run());
    this->caller->reset();
    this->dispatcher->end_stop(this->loop.now());
    this->relay->run_actions();
    CHECK_EQUAL(0, this->relay->in_flight());
}

// Guards against a limit that counts only once the stream that stated it has ended.
TEST(event_relay, a_limit_stated_at_the_beginning_of_a_stream_is_kept)
{
    this->begin()
        .when(this->has_run(0),
              [this] {
                  CHECK_TRUE(this->accepts_requests(this->address_of_run(0)));
                  this->run_at(0)->send("HTTP/1.1 200 OK\r\nLimit: 0.02\r\n"
                                        "Transfer-Encoding: chunked\r\n\r\n" +
                                        event(1));
              })
        .when(this->caller_has("id: 1"),
              [this] {
                  CHECK_FALSE(this->accepts_requests(this->address_of_run(0)));
                  this->run_at(0)->send(stream_end());
              })
        .until([this] { return this->caller->ends_with(stream_end()); });
    this->script->when([] { return true; }, [this] { this->caller->close(); });
    this->finish(false);
}

// Guards against a limit that is lost with an answer that the caller does not get.
TEST(event_relay, a_limit_stated_by_a_dropped_answer_is_kept)
{
    this->dialect.prototype.kind = work_kind::idempotent;
    this->dialect.prototype.models = {"small", "large"};
    this->begin()
        .when(this->has_run(0),
              [this] {
                  this->run_at(0)->send(complete_answer("doubted", "Poor: yes\r\nLimit: 0.02\r\n"));
              })
        .when(this->has_run(1),
              [this] {
                  CHECK_FALSE(this->accepts_requests(this->address_of_run(0)));
                  CHECK_FALSE(this->address_of_run(0) == this->address_of_run(1));
                  this->run_at(1)->send(complete_answer("larger"));
              })
        .when(this->caller_has("larger"), [this] { this->caller->close(); });
    this->finish(false);
}

// Guards against a limit that is lost with a refusal.
TEST(event_relay, a_limit_stated_by_a_refusal_is_kept)
{
    this->begin()
        .when(this->has_run(0),
              [this] {
                  this->run_at(0)->send("HTTP/1.1 503 No\r\nLimit: 0.02\r\n"
                                        "Content-Length: 0\r\n\r\n");
              })
        .when(this->caller_has("refused, not run"), [this] {
            CHECK_FALSE(this->accepts_requests(this->address_of_run(0)));
            this->caller->close();
        });
    this->finish(false);
}

// Guards against a refused request, or the next one, that goes to an endpoint that wants rest.
TEST(event_relay, an_endpoint_that_refuses_a_stream_and_asks_for_rest_gets_no_more_requests)
{
    this->begin()
        .when(this->has_run(0),
              [this] {
                  this->run_at(0)->send("HTTP/1.1 503 No\r\nRest: yes\r\n"
                                        "Content-Length: 0\r\n\r\n");
              })
        .when(this->caller_has("refused, not run"), [this] {
            CHECK_FALSE(this->accepts_requests(this->address_of_run(0)));
            this->caller->close();
        });
    this->finish(false);
}

// Guards against a larger model that is asked at the endpoint that has just asked for rest.
TEST(event_relay, a_larger_model_is_asked_at_an_endpoint_that_did_not_ask_for_rest)
{
    this->dialect.prototype.kind = work_kind::idempotent;
    this->dialect.prototype.models = {"small", "large"};
    std::string resting;
    this->begin()
        .when(this->has_run(0),
              [this, &resting] {
                  resting = this->address_of_run(0);
                  this->dispatcher->on_endpoint_notice(1, 1, {std::nullopt, seconds(30)},
                                                       this->loop.now());
                  this->run_at(0)->send(complete_answer("doubted", "Poor: yes\r\n"));
              })
        .when(this->has_run(1),
              [this, &resting] {
                  CHECK_FALSE(this->accepts_requests(resting));
                  CHECK_FALSE(this->address_of_run(1) == resting);
                  this->run_at(1)->send(complete_answer("larger"));
              })
        .when(this->caller_has("larger"), [this] { this->caller->close(); });
    this->finish(false);
}

// Guards against a leaving that counts only once the stream that stated it has ended.
TEST(event_relay, an_endpoint_that_states_its_leaving_with_a_stream_gets_no_more_requests)
{
    this->begin()
        .when(this->has_run(0),
              [this] {
                  CHECK_TRUE(this->accepts_requests(this->address_of_run(0)));
                  this->run_at(0)->send("HTTP/1.1 200 OK\r\nLeaving: 1\r\n"
                                        "Transfer-Encoding: chunked\r\n\r\n" +
                                        event(1));
              })
        .when(this->caller_has("id: 1"),
              [this] {
                  CHECK_FALSE(this->accepts_requests(this->address_of_run(0)));
                  this->run_at(0)->send(stream_end());
              })
        .when([this] { return this->caller->ends_with(stream_end()); },
              [this] { this->caller->close(); });
    this->finish(false);
}

// Guards against a larger model that is asked at an endpoint that is about to end.
TEST(event_relay, a_larger_model_is_not_asked_at_a_leaving_endpoint)
{
    this->dialect.prototype.kind = work_kind::idempotent;
    this->dialect.prototype.models = {"small", "large"};
    std::string leaving;
    this->begin()
        .when(this->has_run(0),
              [this, &leaving] {
                  leaving = this->address_of_run(0);
                  this->run_at(0)->send(complete_answer("doubted", "Poor: yes\r\nLeaving: 1\r\n"));
              })
        .when(this->has_run(1),
              [this, &leaving] {
                  CHECK_FALSE(this->accepts_requests(leaving));
                  CHECK_FALSE(this->address_of_run(1) == leaving);
                  this->run_at(1)->send(complete_answer("larger"));
              })
        .when(this->caller_has("larger"), [this] { this->caller->close(); });
    this->finish(false);
}

// Guards against crashes of endpoints that no router hears of.
TEST(event_relay, a_run_lost_with_its_connection_is_reported_and_so_is_its_later_end)
{
    recording_reports reports;
    this->dialect.prototype.kind = work_kind::idempotent;
    this->begin();
    this->relay->report_runs_to(reports);
    this->script->when(this->has_run(0), [this] { this->run_at(0)->reset(); })
        .when(this->has_run(1), [this] { this->run_at(1)->send(complete_answer("whole")); })
        .when(this->caller_has("whole"), [this] { this->caller->close(); });
    this->finish(false);
    CHECK_EQUAL(1U, reports.lost.size());
    CHECK_EQUAL(0U, reports.lost[0].fingerprint);
    CHECK_EQUAL(1U, reports.finished.size());
}

// Guards against crashing parts that no other router hears of.
TEST(event_relay, lost_and_answered_prompts_are_reported)
{
    recording_reports reports;
    this->dialect.prototype.kind = work_kind::idempotent;
    this->dialect.prototype.work.part_names = {7};
    this->begin();
    this->relay->report_runs_to(reports);
    this->script->when(this->has_run(0), [this] { this->run_at(0)->reset(); })
        .when(this->has_run(1), [this] { this->run_at(1)->send(complete_answer("whole")); })
        .when(this->caller_has("whole"), [this] { this->caller->close(); });
    this->finish(false);
    CHECK_EQUAL(1U, reports.lost_prompts.size());
    CHECK_EQUAL(1U, reports.answered_prompts.size());
    CHECK_TRUE(reports.lost_prompts[0].parts == reports.answered_prompts[0].parts);
}

// Guards against a whole stream that is run again because it ended with its connection.
TEST(event_relay, a_stream_without_a_length_ends_with_its_connection)
{
    recording_reports reports;
    bool runs_again = false;
    this->begin();
    this->relay->report_runs_to(reports);
    this->script
        ->when(this->has_run(0),
               [this] {
                   this->run_at(0)->send("HTTP/1.1 200 OK\r\n\r\nid: 1\ndata: word\n\n");
                   this->run_at(0)->end();
               })
        .when([this] { return this->caller->ends_with(stream_end()); },
              [this, &runs_again] {
                  runs_again = this->has_run(1)();
                  this->caller->close();
              });
    this->finish(false);
    CHECK_TRUE(reports.lost.empty());
    CHECK_FALSE(runs_again);
}

// Guards against crashes that are not counted because the answer ended with its connection, inside
// an event.
TEST(event_relay, a_stream_that_ends_with_its_connection_inside_an_event_is_reported_as_lost)
{
    recording_reports reports;
    this->begin();
    this->relay->report_runs_to(reports);
    this->script
        ->when(this->has_run(0),
               [this] {
                   this->run_at(0)->send("HTTP/1.1 200 OK\r\n\r\nid: 1\ndata: word\n\nid: 2\nda");
                   this->run_at(0)->end();
               })
        .when(this->has_run(1),
              [this] { this->run_at(1)->send(stream_head + event(2) + stream_end()); })
        .when([this] { return this->caller->ends_with(stream_end()); },
              [this] { this->caller->close(); });
    this->finish(false);
    CHECK_EQUAL(1U, reports.lost.size());
}

// A whole stream whose last event is cut was sent by an endpoint that lives on.
TEST(event_relay, a_stream_with_an_end_of_its_own_inside_an_event_is_not_reported_as_lost)
{
    recording_reports reports;
    this->begin();
    this->relay->report_runs_to(reports);
    this->script
        ->when(this->has_run(0),
               [this] {
                   this->run_at(0)->send(stream_head + event(1) +
                                         adapters::write_chunk("id: 2\nda") + stream_end());
               })
        .when(this->has_run(1),
              [this] { this->run_at(1)->send(stream_head + event(2) + stream_end()); })
        .when([this] { return this->caller->ends_with(stream_end()); },
              [this] { this->caller->close(); });
    this->finish(false);
    CHECK_TRUE(reports.lost.empty());
}

TEST(event_relay, a_malformed_answer_is_not_reported_as_a_lost_run)
{
    recording_reports reports;
    this->dialect.prototype.kind = work_kind::idempotent;
    this->begin();
    this->relay->report_runs_to(reports);
    this->script->when(this->has_run(0), [this] { this->run_at(0)->send("no answer\r\n\r\n"); })
        .when(this->has_run(1), [this] { this->run_at(1)->send(complete_answer("whole")); })
        .when(this->caller_has("whole"), [this] { this->caller->close(); });
    this->finish(false);
    CHECK_TRUE(reports.lost.empty());
}
