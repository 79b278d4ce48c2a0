#include "pearhaven/decision/endpoint_table.hpp"

#include <rapidcheck.h>

#include <algorithm>
#include <map>
#include <optional>
#include <string>
#include <vector>

#include <CppUTest/TestHarness.h>

using namespace pearhaven::decision;
using std::chrono::milliseconds;
using std::chrono::seconds;

namespace {

constexpr int endpoint_count = 3;

// What an endpoint's present process has stated.
struct statements {
    std::uint64_t incarnation = 1;
    bool listed = true;
    bool leaving = false;
    instant rests_until{};
    std::optional<double> limit;
    std::vector<instant> sends; // since the limit was stated or changed
};

std::string address_of(std::size_t number)
{
    return "e" + std::to_string(number);
}

configuration_ptr one_version()
{
    version served;
    served.name = "v";
    served.model = "m";
    pool engines;
    engines.name = "engines";
    engines.hosts = selector();
    engines.versions = selector();
    engines.slots_per_host = 1000;
    return configuration_builder().add(served).add(engines).build();
}

// A table whose endpoints state all kinds of things about themselves, expire, return and restart in
// any order, and a plain record of the same.
class stating_endpoints {
public:
    stating_endpoints()
    {
        this->table.configure(*one_version());
        for (int i = 0; i < endpoint_count; ++i) {
            this->list(static_cast<std::size_t>(i));
        }
    }

    void step()
    {
        this->now += milliseconds(*rc::gen::inRange(1, 100));
        const auto number = static_cast<std::size_t>(*rc::gen::inRange(0, endpoint_count));
        auto& known = this->endpoints[number];
        switch (*rc::gen::inRange(0, 20)) {
        case 0:
            this->state_something(number, known);
            break;
        case 1:
            this->state_for_earlier_process(number, known);
            break;
        case 2:
            this->table.drop_host(address_of(number), this->now);
            known.listed = false;
            break;
        case 3:
            this->list(number);
            break;
        case 4:
            this->restart(number, known);
            break;
        default:
            this->send();
            break;
        }
    }

private:
    void list(std::size_t number)
    {
        auto& known = this->endpoints[number];
        known.listed = true;
        endpoint_host host;
        host.address = address_of(number);
        host.incarnation = known.incarnation;
        this->table.set_host(host, this->now);
    }

    void restart(std::size_t number, statements& known)
    {
        const auto next = known.incarnation + 1;
        known = {};
        known.incarnation = next;
        this->list(number);
    }

    void state_something(std::size_t number, statements& known)
    {
        if (!known.listed) {
            return; // the table does not know it
        }
        endpoint_notice notice;
        notice.leaving = *rc::gen::inRange(0, 6) == 0;
        if (*rc::gen::inRange(0, 2) == 0) {
            notice.rest = milliseconds(*rc::gen::inRange(0, 3'000));
            known.rests_until = std::max(known.rests_until, this->now + *notice.rest);
        }
        if (*rc::gen::inRange(0, 2) == 0) {
            notice.request_limit = 0.5 * *rc::gen::inRange(0, 7);
        }
        if (known.limit != notice.request_limit) {
            known.sends.clear();
        }
        known.limit = notice.request_limit;
        known.leaving = known.leaving || notice.leaving;
        this->table.noticed(address_of(number), known.incarnation, notice, this->now, this->now);
    }

    void state_for_earlier_process(std::size_t number, const statements& known)
    {
        const endpoint_notice everything{0.0, seconds(60), true};
        this->table.noticed(address_of(number), known.incarnation - 1, everything, this->now,
                            this->now);
    }

    void send()
    {
        placement wanted;
        wanted.version_or_service = "v";
        const auto address = this->table.choose(
            wanted, this->now, static_cast<std::uint64_t>(*rc::gen::inRange(0, 64)));
        if (!address) {
            this->check_that_none_is_open();
            return;
        }
        auto& known = this->endpoints[std::stoul(address->substr(1))];
        RC_ASSERT(known.listed);
        RC_ASSERT(!known.leaving);
        RC_ASSERT(this->now >= known.rests_until);
        this->table.started(*address, work_class::lookup, 1.0, {}, this->now);
        this->table.ended(*address, work_class::lookup, 1.0, attempt_result::finished, {},
                          this->now);
        known.sends.push_back(this->now);
        if (known.limit) {
            this->check_rate(known);
        }
    }

    // Half as much again as was stated, and five, in any four seconds.
    void check_rate(const statements& known) const
    {
        const auto recent =
            std::count_if(known.sends.begin(), known.sends.end(),
                          [this](instant sent) { return this->now - sent < seconds(4); });
        RC_ASSERT(static_cast<double>(recent) <= 1.5 * 4.0 * *known.limit + 5.0);
    }

    // An endpoint that stated nothing that keeps requests away would have been chosen.
    void check_that_none_is_open() const
    {
        for (const auto& [number, known] : this->endpoints) {
            RC_ASSERT(!known.listed || known.leaving || known.limit ||
                      this->now < known.rests_until);
        }
    }

    static endpoint_table_settings settings()
    {
        endpoint_table_settings made;
        made.compares_all = true;
        made.lists_in_order = true;
        return made;
    }

    endpoint_table table{settings()};
    instant now{std::chrono::hours(1)};
    std::map<std::size_t, statements> endpoints;
};

} // namespace

TEST_GROUP(endpoint_statements){};

// Guards against an order of statements, expired entries and restarts in which a statement is lost
// or outlives the process that made it.
TEST(endpoint_statements, hold_for_their_process_in_any_order_of_events)
{
    CHECK_TRUE(rc::check("statements", [] {
        constexpr int steps = 400;
        stating_endpoints all;
        for (int i = 0; i < steps; ++i) {
            all.step();
        }
    }));
}
