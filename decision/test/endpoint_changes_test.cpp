#include "pearhaven/decision/endpoint_table.hpp"

#include <rapidcheck.h>

#include <map>
#include <optional>
#include <string>
#include <utility>
#include <vector>

#include <CppUTest/TestHarness.h>

using namespace pearhaven::decision;

namespace {

endpoint_host host_at(const std::string& address, std::uint64_t incarnation,
                      const std::string& served)
{
    return {address, "name-" + address, "osu", incarnation, false, {{"served", served}}};
}

pool pool_of(const std::string& name, selector hosts, selector versions, std::uint32_t slots)
{
    pool made;
    made.name = name;
    made.hosts = std::move(hosts);
    made.versions = std::move(versions);
    made.slots_per_host = slots;
    return made;
}

version version_of(const std::string& name, const std::string& model)
{
    version made;
    made.name = name;
    made.model = model;
    return made;
}

placement wanting(const std::string& name, bool is_service)
{
    placement wanted;
    wanted.version_or_service = name;
    wanted.is_service = is_service;
    wanted.work = 100.0;
    return wanted;
}

configuration_ptr two_versions()
{
    const auto pool_for = [](const std::string& name) {
        return pool_of(name, selector().require("served", {name}),
                       selector().require("version", {name}), 4);
    };
    return configuration_builder()
        .add(version_of("a", "m"))
        .add(version_of("b", "m"))
        .add(pool_for("a"))
        .add(pool_for("b"))
        .build();
}

using ended_list = std::vector<ended_incarnation>;

// A table whose endpoints are added and removed one by one.
struct changing_hosts_fixture {
    changing_hosts_fixture()
    {
        this->table.configure(*two_versions());
        this->table.set_host(host_at("e0", 1, "a"), this->now);
        this->table.set_host(host_at("e1", 1, "a"), this->now);
    }

    std::string choose(const std::string& name)
    {
        return this->table.choose(wanting(name, false), this->now, ++this->random).value_or("none");
    }

    endpoint_table table{{}};
    instant now{std::chrono::hours(1)};
    std::uint64_t random = 0;
};

} // namespace

TEST_GROUP(endpoint_changes){};

TEST(endpoint_changes, an_added_endpoint_gets_work_and_the_others_keep_theirs)
{
    changing_hosts_fixture fixture;
    fixture.table.started("e0", work_class::lookup, 100.0, {}, fixture.now);
    CHECK_EQUAL(std::string("none"), fixture.choose("b"));
    CHECK_TRUE(ended_list{} == fixture.table.set_host(host_at("e2", 1, "b"), fixture.now));
    CHECK_EQUAL(std::string("e2"), fixture.choose("b"));
    CHECK_EQUAL(1U, fixture.table.own_loads().size());
    CHECK_EQUAL(3U, fixture.table.addresses().size());
}

TEST(endpoint_changes, a_dropped_endpoint_ends_its_incarnation_and_gets_no_work)
{
    changing_hosts_fixture fixture;
    fixture.choose("a");
    CHECK_TRUE((ended_list{{"e0", 1, std::nullopt}}) == fixture.table.drop_host("e0", fixture.now));
    CHECK_TRUE(ended_list{} == fixture.table.drop_host("e0", fixture.now));
    CHECK_EQUAL(std::string("e1"), fixture.choose("a"));
    CHECK_TRUE((std::vector<std::string>{"e1"}) == fixture.table.addresses());
}

TEST(endpoint_changes, a_replacing_process_ends_the_previous_incarnation)
{
    changing_hosts_fixture fixture;
    CHECK_TRUE((ended_list{{"e0", 1, 2}}) ==
               fixture.table.set_host(host_at("e0", 2, "a"), fixture.now));
    CHECK_TRUE(ended_list{} == fixture.table.set_host(host_at("e0", 2, "a"), fixture.now));
    CHECK_EQUAL(2U, fixture.table.incarnation_of("e0"));
}

TEST(endpoint_changes, an_endpoint_that_serves_another_version_moves_to_its_route)
{
    changing_hosts_fixture fixture;
    fixture.choose("a");
    fixture.choose("b");
    fixture.table.set_host(host_at("e0", 1, "b"), fixture.now);
    CHECK_EQUAL(std::string("e0"), fixture.choose("b"));
    CHECK_EQUAL(std::string("e1"), fixture.choose("a"));
}

// Guards against a limit that is forgotten while the endpoint's entry has expired, as during an
// outage of the host list.
TEST(endpoint_changes, a_request_limit_is_kept_while_its_endpoint_is_not_listed)
{
    changing_hosts_fixture fixture;
    fixture.table.noticed("e0", 1, {0.02}, fixture.now, fixture.now + std::chrono::milliseconds(1));
    fixture.table.drop_host("e0", fixture.now);
    fixture.table.set_host(host_at("e0", 1, "a"), fixture.now);
    CHECK_TRUE(fixture.table.request_limit_of("e0") == 0.02);
}

// Guards against a limit that outlives the process that stated it, whichever order the list and the
// endpoint's answers come in.
TEST(endpoint_changes, a_request_limit_belongs_to_one_incarnation)
{
    changing_hosts_fixture fixture;
    const auto answered = fixture.now + std::chrono::milliseconds(1);
    fixture.table.noticed("e0", 1, {0.02}, fixture.now, answered);
    fixture.table.set_host(host_at("e0", 2, "a"), answered);
    CHECK_FALSE(fixture.table.request_limit_of("e0").has_value());
    fixture.table.noticed("e0", 1, {0.02}, fixture.now, answered);
    CHECK_FALSE(fixture.table.request_limit_of("e0").has_value());
    fixture.table.drop_host("e0", answered);
    fixture.table.set_host(host_at("e0", 3, "a"), answered);
    CHECK_FALSE(fixture.table.request_limit_of("e0").has_value());
    fixture.table.peer_reported("peer", {{"e0", 0, 0.0, 2, {}, 0, false, limit_report{0.02, {}}}},
                                answered + std::chrono::seconds(1));
    CHECK_FALSE(fixture.table.request_limit_of("e0").has_value());
}

// Guards against a rest that is forgotten while the endpoint's entry has expired.
TEST(endpoint_changes, a_rest_is_kept_while_its_endpoint_is_not_listed)
{
    changing_hosts_fixture fixture;
    const auto until = fixture.now + std::chrono::seconds(3);
    fixture.table.noticed("e0", 1, {std::nullopt, std::chrono::seconds(3)}, fixture.now,
                          fixture.now);
    fixture.table.drop_host("e0", fixture.now);
    fixture.table.drop_host("e1", fixture.now);
    fixture.table.set_host(host_at("e0", 1, "a"), fixture.now);
    CHECK_TRUE(fixture.table.rests_until("e0") == until);
    CHECK_EQUAL(std::string("none"), fixture.choose("a"));
    fixture.now = until;
    CHECK_EQUAL(std::string("e0"), fixture.choose("a"));
}

// Guards against a rest that outlives the process that asked for it.
TEST(endpoint_changes, a_rest_belongs_to_one_incarnation)
{
    changing_hosts_fixture fixture;
    const endpoint_notice tired{std::nullopt, std::chrono::seconds(3)};
    fixture.table.drop_host("e1", fixture.now);
    fixture.table.noticed("e0", 1, tired, fixture.now, fixture.now);
    fixture.table.set_host(host_at("e0", 2, "a"), fixture.now);
    fixture.table.noticed("e0", 1, tired, fixture.now, fixture.now);
    CHECK_EQUAL(std::string("e0"), fixture.choose("a"));
}

// Guards against a leaving endpoint that gets requests again because its entry, which says nothing
// of its leaving, has expired and come back.
TEST(endpoint_changes, a_stated_leaving_is_kept_while_its_endpoint_is_not_listed)
{
    changing_hosts_fixture fixture;
    const endpoint_notice leaving{std::nullopt, std::nullopt, true};
    fixture.table.drop_host("e1", fixture.now);
    fixture.table.noticed("e0", 1, leaving, fixture.now, fixture.now);
    fixture.table.drop_host("e0", fixture.now);
    fixture.table.set_host(host_at("e0", 1, "a"), fixture.now);
    CHECK_EQUAL(std::string("none"), fixture.choose("a"));
}

// Guards against an endpoint that gets nothing after its restart because its earlier process left.
TEST(endpoint_changes, a_stated_leaving_belongs_to_one_incarnation)
{
    changing_hosts_fixture fixture;
    const endpoint_notice leaving{std::nullopt, std::nullopt, true};
    fixture.table.drop_host("e1", fixture.now);
    fixture.table.noticed("e0", 1, leaving, fixture.now, fixture.now);
    fixture.table.set_host(host_at("e0", 2, "a"), fixture.now);
    fixture.table.noticed("e0", 1, leaving, fixture.now, fixture.now);
    CHECK_EQUAL(std::string("e0"), fixture.choose("a"));
}

TEST(endpoint_changes, a_complete_list_reports_all_ended_incarnations)
{
    changing_hosts_fixture fixture;
    const auto ended = fixture.table.set_hosts({host_at("e1", 5, "a")}, fixture.now);
    CHECK_TRUE((ended_list{{"e1", 1, 5}, {"e0", 1, std::nullopt}}) == ended);
}

// Guards against a request sent to a stopped endpoint. Its leaving mark was set long ago, and a
// late host list still contains it. The history must be retained from the moment the address left
// the list, no matter how long the mark was set before.
TEST(endpoint_changes, the_history_of_an_address_is_retained_from_its_removal_from_the_list)
{
    changing_hosts_fixture fixture;
    fixture.table.mark_leaving("e0", 0, fixture.now);
    fixture.now += std::chrono::hours(1);
    fixture.table.drop_host("e0", fixture.now);
    fixture.now += std::chrono::minutes(1);
    fixture.table.set_host(host_at("e0", 1, "a"), fixture.now);
    CHECK_TRUE(fixture.table.find("e0")->leaving);
}

TEST(endpoint_changes, an_ended_incarnation_is_accepted_once_its_history_has_expired)
{
    changing_hosts_fixture fixture;
    fixture.table.set_host(host_at("e0", 2, "a"), fixture.now);
    fixture.table.drop_host("e0", fixture.now);
    fixture.table.set_host(host_at("e0", 1, "a"), fixture.now);
    CHECK_FALSE(fixture.table.find("e0").has_value());
    fixture.now += std::chrono::minutes(11);
    fixture.table.set_host(host_at("e1", 1, "a"), fixture.now);
    CHECK_EQUAL(1U, fixture.table.incarnation_of("e0"));
}

namespace {

// Uses the full range from the first trial on; by default the library starts with small values.
int any_below(int bound)
{
    return *rc::gen::resize(rc::kNominalSize, rc::gen::inRange(0, bound));
}

selector any_hosts()
{
    return *rc::gen::element(selector(), selector::nothing(), selector().require("served", {"a"}),
                             selector().require("served", {"a", "b"}),
                             selector().require("served", {"b"}).require("kind", {"x"}),
                             selector().require("kind", {"x", "y"}));
}

selector any_versions()
{
    return *rc::gen::element(selector(), selector::nothing(), selector().require("version", {"a"}),
                             selector().require("version", {"a", "b"}),
                             selector().require("model", {"m", "n"}));
}

std::string any_version()
{
    return *rc::gen::element<std::string>("a", "b", "c");
}

std::string any_service()
{
    return *rc::gen::element<std::string>("s", "t");
}

// Uses few names, so that consecutive configurations differ in some parts and agree in others.
configuration_ptr any_configuration()
{
    configuration_builder builder;
    for (int count = any_below(5); count > 0; --count) {
        builder.add(pool_of("p" + std::to_string(any_below(3)), any_hosts(), any_versions(),
                            1U + static_cast<std::uint32_t>(any_below(3))));
    }
    for (int count = 1 + any_below(5); count > 0; --count) {
        builder.add(version_of(any_version(), *rc::gen::element<std::string>("m", "n")));
    }
    for (int count = any_below(3); count > 0; --count) {
        service made;
        made.name = any_service();
        made.hosts = any_hosts();
        builder.add(made);
    }
    return builder.build();
}

endpoint_host any_host(const std::string& address)
{
    endpoint_host host;
    host.address = address;
    host.zone = *rc::gen::element<std::string>("osu", "esu");
    host.incarnation = static_cast<std::uint64_t>(any_below(4));
    host.leaving = any_below(5) == 0;
    host.tags = {{"served", any_version()}, {"kind", *rc::gen::element<std::string>("x", "y")}};
    return host;
}

endpoint_table_settings any_settings()
{
    endpoint_table_settings chosen;
    chosen.zone = "osu";
    chosen.subset_size = *rc::gen::element<std::size_t>(2, 48);
    chosen.lists_in_order = *rc::gen::arbitrary<bool>();
    chosen.compares_all = *rc::gen::arbitrary<bool>();
    return chosen;
}

// Three tables get the same events, but `complete` gets complete host lists and `incremental` gets
// single changes. `unqueried` also gets complete lists but is not queried in between, so its routes
// are built from the final state, while those of the others must have been updated.
class twin_tables {
public:
    twin_tables()
    {
        this->configure();
        for (const auto* address : {"e0", "e1", "e2", "e3", "e4"}) {
            this->set(any_host(address));
        }
    }

    void play_one_event()
    {
        this->now += std::chrono::seconds(
            *rc::gen::weightedElement<int>({{12, 0}, {3, 1}, {1, 500}, {1, 1300}}));
        const auto address = "e" + std::to_string(any_below(5));
        switch (any_below(12)) {
        case 0:
            this->configure();
            break;
        case 1:
        case 2:
            this->drop(address);
            break;
        case 3:
            this->mark_leaving(address);
            break;
        case 4:
        case 5:
            this->end_one(address);
            break;
        case 6:
        case 7:
        case 8:
            this->start_one(address);
            break;
        default:
            this->set(any_host(address));
            break;
        }
    }

    void compare_answers()
    {
        RC_ASSERT(this->complete.status(this->now) == this->incremental.status(this->now));
        RC_ASSERT(this->complete.addresses() == this->incremental.addresses());
        RC_ASSERT(this->complete.own_loads() == this->incremental.own_loads());
        const auto random = ++this->draws;
        for (const auto* name : {"a", "b", "c"}) {
            this->compare_target(wanting(name, false), random);
        }
        for (const auto* name : {"s", "t"}) {
            this->compare_target(wanting(name, true), random);
        }
    }

    void compare_with_unqueried()
    {
        RC_ASSERT(this->unqueried.status(this->now) == this->incremental.status(this->now));
        RC_ASSERT(this->unqueried.used_addresses(this->now) ==
                  this->incremental.used_addresses(this->now));
        for (const auto* name : {"a", "b", "c"}) {
            RC_ASSERT(this->unqueried.choose(wanting(name, false), this->now, this->draws) ==
                      this->incremental.choose(wanting(name, false), this->now, this->draws));
        }
    }

private:
    void compare_target(const placement& wanted, std::uint64_t random)
    {
        RC_ASSERT(this->complete.serves(wanted, this->now) ==
                  this->incremental.serves(wanted, this->now));
        RC_ASSERT(this->complete.choose(wanted, this->now, random) ==
                  this->incremental.choose(wanted, this->now, random));
        RC_ASSERT(this->complete.used_addresses(this->now) ==
                  this->incremental.used_addresses(this->now));
    }

    template <typename Event>
    void on_all(Event event)
    {
        event(this->complete);
        event(this->incremental);
        event(this->unqueried);
    }

    void configure()
    {
        const auto next = any_configuration();
        this->on_all([&](endpoint_table& table) { table.configure(*next); });
    }

    void mark_leaving(const std::string& address)
    {
        const auto incarnation = static_cast<std::uint64_t>(any_below(4));
        this->on_all(
            [&](endpoint_table& table) { table.mark_leaving(address, incarnation, this->now); });
    }

    void start_one(const std::string& address)
    {
        const auto kind = *rc::gen::element(work_class::lookup, work_class::reading);
        this->on_all(
            [&](endpoint_table& table) { table.started(address, kind, 100.0, {}, this->now); });
        this->running[address].push_back(kind);
    }

    void end_one(const std::string& address)
    {
        auto& here = this->running[address];
        if (here.empty()) {
            return;
        }
        const auto result = *rc::gen::element(attempt_result::finished, attempt_result::refused,
                                              attempt_result::unreachable);
        this->on_all([&](endpoint_table& table) {
            table.ended(address, here.back(), 100.0, result, std::chrono::milliseconds(100),
                        this->now);
        });
        here.pop_back();
    }

    void set(const endpoint_host& host)
    {
        this->listed.insert_or_assign(host.address, host);
        this->compare_ended(this->incremental.set_host(host, this->now));
    }

    void drop(const std::string& address)
    {
        this->listed.erase(address);
        this->compare_ended(this->incremental.drop_host(address, this->now));
    }

    // The reported ended incarnations must match the difference between the lists.
    void compare_ended(const ended_list& ended)
    {
        const auto before = this->incarnations_of(this->complete);
        std::vector<endpoint_host> hosts;
        for (const auto& [address, host] : this->listed) {
            hosts.push_back(host);
        }
        RC_ASSERT(this->complete.set_hosts(hosts, this->now) == ended);
        this->unqueried.set_hosts(hosts, this->now);
        const auto after = this->incarnations_of(this->complete);
        ended_list found;
        for (const auto& [address, incarnation] : before) {
            const auto next = after.find(address);
            if (next == after.end()) {
                found.push_back({address, incarnation, std::nullopt});
            } else if (next->second != incarnation) {
                found.push_back({address, incarnation, next->second});
            }
        }
        RC_ASSERT(found == ended);
    }

    static std::map<std::string, std::uint64_t> incarnations_of(const endpoint_table& table)
    {
        std::map<std::string, std::uint64_t> present;
        for (const auto& address : table.addresses()) {
            present.emplace(address, table.incarnation_of(address));
        }
        return present;
    }

    const endpoint_table_settings settings = any_settings();
    endpoint_table complete{this->settings};
    endpoint_table incremental{this->settings};
    endpoint_table unqueried{this->settings};
    std::map<std::string, endpoint_host> listed;
    std::map<std::string, std::vector<work_class>> running;
    instant now{std::chrono::hours(1)};
    std::uint64_t draws = 0;
};

} // namespace

TEST(endpoint_changes, single_changes_have_the_same_result_as_complete_lists)
{
    CHECK_TRUE(rc::check("same as whole lists", [] {
        constexpr int events = 60;
        twin_tables twins;
        for (int event = 0; event < events; ++event) {
            twins.play_one_event();
            twins.compare_answers();
        }
        twins.compare_with_unqueried();
    }));
}

namespace {

configuration_ptr two_versions_without(const std::vector<std::string>& evacuated)
{
    const auto all = two_versions();
    configuration_builder builder;
    for (const auto& [name, object] : all->versions()) {
        builder.add(object);
    }
    for (const auto& [name, object] : all->pools()) {
        pool cold = object;
        cold.cold_time = std::chrono::seconds(3);
        cold.cold_requests_per_s = 1.0;
        builder.add(cold);
    }
    for (const auto& zone : evacuated) {
        builder.add(evacuation{zone, "", 0});
    }
    return builder.build();
}

endpoint_host host_in(const std::string& address, const std::string& zone)
{
    auto host = host_at(address, 1, "a");
    host.zone = zone;
    return host;
}

} // namespace

// Guards against requests to endpoints that the operator is about to cut off or restart.
TEST(endpoint_changes, an_evacuated_zone_gets_no_requests_until_it_is_restored)
{
    changing_hosts_fixture fixture;
    fixture.table.set_host(host_in("e2", "tema"), fixture.now);
    fixture.table.configure(*two_versions_without({"osu"}), fixture.now);
    for (int draw = 0; draw < 50; ++draw) {
        CHECK_EQUAL(std::string("e2"), fixture.choose("a"));
    }
    fixture.table.set_host(host_at("e3", 1, "a"), fixture.now);
    CHECK_EQUAL(std::string("e2"), fixture.choose("a"));
    fixture.table.mark_leaving("e2", 0, fixture.now);
    CHECK_EQUAL(std::string("none"), fixture.choose("a"));
    CHECK_FALSE(fixture.table.serves(wanting("a", false), fixture.now));
    fixture.table.configure(*two_versions_without({"nowhere"}), fixture.now);
    CHECK_TRUE(fixture.table.serves(wanting("a", false), fixture.now));
}

// Guards against an endpoint that is restarted while its zone is evacuated, and whose process
// crashes when every router comes back at once.
TEST(endpoint_changes, the_endpoints_of_a_restored_zone_are_cold)
{
    changing_hosts_fixture fixture;
    fixture.table.configure(*two_versions_without({"osu"}), fixture.now);
    fixture.table.configure(*two_versions_without({}), fixture.now);
    CHECK_EQUAL(std::string("none"), fixture.choose("a"));
    fixture.now += std::chrono::seconds(6);
    CHECK_FALSE(fixture.choose("a") == "none");
}

TEST(endpoint_changes, an_endpoint_that_is_listed_as_cold_gets_few_requests)
{
    changing_hosts_fixture fixture;
    fixture.table.configure(*two_versions_without({}), fixture.now);
    auto cold = host_at("e0", 1, "a");
    cold.cold_for = std::chrono::seconds(3);
    fixture.table.set_host(cold, fixture.now);
    fixture.table.mark_leaving("e1", 0, fixture.now);
    int started = 0;
    for (int step = 0; step < 30; ++step) {
        fixture.now += std::chrono::milliseconds(100);
        if (fixture.choose("a") != "none") {
            fixture.table.started("e0", work_class::lookup, 1.0, {}, fixture.now);
            fixture.table.ended("e0", work_class::lookup, 1.0, attempt_result::finished,
                                std::chrono::milliseconds(1), fixture.now);
            ++started;
        }
    }
    CHECK_COMPARE(started, >=, 2);
    CHECK_COMPARE(started, <=, 3);
}
