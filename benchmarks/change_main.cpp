#include "codec.hpp"
#include "sample_configuration.hpp"

#include "pearhaven/decision/dispatcher.hpp"

#include <fmt/core.h>
#include <gflags/gflags.h>

#include <algorithm>
#include <array>
#include <cstdint>
#include <cstdio>
#include <cstdlib>
#include <ctime>
#include <functional>
#include <string>
#include <utility>
#include <vector>

DEFINE_double(step_ms, 100.0, "CPU time for which each step is repeated, in milliseconds");

namespace pearhaven::benchmarks {

namespace {

constexpr std::size_t hosts = 10;
constexpr std::size_t teams = 100;
constexpr std::size_t endpoints_per_service = 10;
constexpr std::uint32_t slots = 16;

double processor_ms()
{
    constexpr double ms_per_second = 1000.0;
    return static_cast<double>(std::clock()) * ms_per_second / CLOCKS_PER_SEC;
}

// Mean CPU time of one run of the step, in microseconds.
double cost_of(const std::function<void()>& step)
{
    constexpr std::uint64_t min_runs = 3;
    constexpr double us_per_ms = 1000.0;
    step(); // excludes one-time initialization
    const double start = processor_ms();
    std::uint64_t runs = 0;
    double spent = 0.0;
    while (runs < min_runs || spent < FLAGS_step_ms) {
        step();
        ++runs;
        spent = processor_ms() - start;
    }
    return spent * us_per_ms / static_cast<double>(runs);
}

[[noreturn]] void fail(const std::string& why)
{
    fmt::print(stderr, "change: {}\n", why);
    std::exit(EXIT_FAILURE);
}

decision::pool pool_for(const std::string& service, std::uint32_t slots_per_host)
{
    decision::pool made;
    made.name = service;
    made.hosts = decision::selector().require("served", {service});
    made.versions = decision::selector().require("version", {service});
    made.slots_per_host = slots_per_host;
    return made;
}

// A router's state at one size, with the steps to benchmark.
class changed_router {
public:
    changed_router(std::size_t routes, std::size_t endpoints)
        : size{routes, hosts, std::max<std::size_t>(1, endpoints / endpoints_per_service), teams},
          text(platform::sample_configuration_text(this->size, 1))
    {
        this->parse();
        for (std::size_t number = 0; number < endpoints; ++number) {
            this->listed.push_back(this->endpoint_at(number));
        }
        this->ready = this->build_from_scratch();
        this->dispatcher.on_configuration(this->ready, this->now);
        this->dispatcher.on_hosts(this->listed, this->now);
        this->table.configure(*this->ready);
        this->table.set_hosts(this->listed, this->now);
        this->choose_everywhere();
    }

    void parse()
    {
        std::string fault;
        auto read = platform::read_configuration(this->text, fault);
        if (!read) {
            fail(fault);
        }
        this->declared = std::move(*read);
    }

    // Copies all routes and teams.
    [[nodiscard]] decision::configuration_ptr build_from_scratch()
    {
        decision::configuration_builder builder;
        builder.routes(this->declared.routes);
        for (const auto& one : this->declared.teams) {
            decision::team made;
            made.name = one.name;
            made.key_sha256 = one.key_sha256;
            builder.add(std::move(made));
        }
        this->add_versions(builder);
        return builder.build();
    }

    [[nodiscard]] decision::configuration_ptr build_sharing_parts()
    {
        decision::configuration_builder builder;
        builder.routes(this->ready->shared_routes()).teams(this->ready->shared_teams());
        this->add_versions(builder);
        return builder.build();
    }

    void find_route()
    {
        const auto number = this->next_number(this->size.routes);
        const auto path = platform::sample_path_prefix(number) + "item?query";
        const auto host = platform::sample_host_name(number % hosts) + ":8080";
        if (this->ready->routes().find(host, path) == nullptr) {
            fail("a route was not found");
        }
    }

    // An endpoint restarts, and the next request is sent to its service.
    void change_in_full_list()
    {
        auto& one = this->changed_endpoint();
        this->table.set_hosts(this->listed, this->now);
        this->choose(one);
    }

    void change_one_host()
    {
        auto& one = this->changed_endpoint();
        this->table.set_host(one, this->now);
        this->choose(one);
    }

    // Sent to the other routers many times a second, even if nothing changed.
    void report_loads() const { static_cast<void>(this->table.own_loads()); }

    // The next configuration differs only in its revision.
    void apply_same() { this->dispatcher.on_configuration(this->next_of_the_same(), this->now); }

    // The number of slots of one service's endpoints changes.
    void apply_changed_pool()
    {
        this->dispatcher.on_configuration(this->next_with_another_pool(), this->now);
    }

    // Prepares the configurations for the steps above, so that building them is not measured.
    void prepare()
    {
        this->same = {this->build_sharing_parts(), this->build_sharing_parts()};
        this->other_slots = slots + 1;
        this->different = {this->same[0], this->build_sharing_parts()};
        this->other_slots = slots;
    }

private:
    void add_versions(decision::configuration_builder& builder) const
    {
        for (std::size_t number = 0; number < this->size.services; ++number) {
            const auto name = platform::sample_service_name(number);
            decision::version made;
            made.name = name;
            made.model = name;
            builder.add(std::move(made));
            builder.add(pool_for(name, number == 0 ? this->other_slots : slots));
        }
    }

    [[nodiscard]] decision::endpoint_host endpoint_at(std::size_t number) const
    {
        decision::endpoint_host host;
        host.address = "endpoint-" + std::to_string(number);
        host.incarnation = 1;
        host.tags = {{"served", platform::sample_service_name(number % this->size.services)}};
        return host;
    }

    decision::endpoint_host& changed_endpoint()
    {
        auto& one = this->listed.at(this->next_number(this->listed.size()));
        ++one.incarnation;
        return one;
    }

    void choose(const decision::endpoint_host& of_service)
    {
        decision::placement wanted;
        wanted.version_or_service = of_service.tags.at("served");
        if (!this->table.choose(wanted, this->now, ++this->draws)) {
            fail("no endpoint was chosen");
        }
    }

    void choose_everywhere()
    {
        for (const auto& host : this->listed) {
            this->choose(host);
        }
    }

    std::size_t next_number(std::size_t bound)
    {
        constexpr std::size_t stride = 7919; // a prime: visits all numbers, in distant steps
        this->visited += stride;
        return this->visited % bound;
    }

    const decision::configuration_ptr& next_of_the_same()
    {
        return this->same.at(++this->configurations_applied % this->same.size());
    }

    const decision::configuration_ptr& next_with_another_pool()
    {
        return this->different.at(++this->configurations_applied % this->different.size());
    }

    platform::sample_configuration_size size;
    std::string text;
    platform::declared_configuration declared;
    std::vector<decision::endpoint_host> listed;
    decision::configuration_ptr ready;
    std::array<decision::configuration_ptr, 2> same;
    std::array<decision::configuration_ptr, 2> different;
    std::uint32_t other_slots = slots;
    decision::dispatcher dispatcher{{}};
    decision::endpoint_table table{{}};
    decision::instant now{std::chrono::hours(1)};
    std::size_t visited = 0;
    std::size_t configurations_applied = 0;
    std::uint64_t draws = 0;
};

void print_head()
{
    fmt::print("mean processor time of a step, in microseconds; {} hosts, {} teams, a service for "
               "each {} endpoints\n",
               hosts, teams, endpoints_per_service);
    fmt::print("| routes | endpoints | parse | build anew | build of parts | find | change in a "
               "list | change alone | own loads | hand-over, same | hand-over, a pool |\n");
    fmt::print("|---|---|---|---|---|---|---|---|---|---|---|\n");
}

void print_row(std::size_t routes, std::size_t endpoints)
{
    changed_router router(routes, endpoints);
    router.prepare();
    fmt::print("| {} | {} ", routes, endpoints);
    fmt::print("| {:.0f} ", cost_of([&] { router.parse(); }));
    fmt::print("| {:.1f} ", cost_of([&] { static_cast<void>(router.build_from_scratch()); }));
    fmt::print("| {:.1f} ", cost_of([&] { static_cast<void>(router.build_sharing_parts()); }));
    fmt::print("| {:.2f} ", cost_of([&] { router.find_route(); }));
    fmt::print("| {:.1f} ", cost_of([&] { router.change_in_full_list(); }));
    fmt::print("| {:.1f} ", cost_of([&] { router.change_one_host(); }));
    fmt::print("| {:.1f} ", cost_of([&] { router.report_loads(); }));
    fmt::print("| {:.1f} ", cost_of([&] { router.apply_same(); }));
    fmt::print("| {:.1f} |\n", cost_of([&] { router.apply_changed_pool(); }));
    std::fflush(stdout);
}

void run()
{
    print_head();
    for (const std::size_t routes : {100U, 1'400U, 10'000U}) {
        for (const std::size_t endpoints : {10U, 100U, 1'000U, 10'000U}) {
            print_row(routes, endpoints);
        }
    }
}

} // namespace

} // namespace pearhaven::benchmarks

int main(int argc, char** argv)
{
    gflags::SetUsageMessage("what a change of the configuration or of an endpoint costs a router");
    gflags::ParseCommandLineFlags(&argc, &argv, true);
    pearhaven::benchmarks::run();
    return EXIT_SUCCESS;
}
