#include "pearhaven/control/program.hpp"

#include "command.hpp"

#include "pearhaven/adapters/platform.hpp"

#include <algorithm>
#include <iostream>

namespace pearhaven::control {

namespace {

// Connects one command to the real store, routers, files and clock.
class program {
public:
    explicit program(const control_settings& chosen)
        : settings(chosen), client(adapters::make_http_client({})),
          store(adapters::make_key_value_store(*this->client, chosen.kv_url, chosen.store_timeout)),
          configuration(*this->store, this->clock),
          routers(*this->client, chosen.operator_key, chosen.router_timeout),
          out(chosen.format, std::cout, std::cerr)
    {}

    ~program() { this->client->stop(); }
    program(const program&) = delete;
    program& operator=(const program&) = delete;

    exit_code run(const command& chosen)
    {
        command_context context{this->settings, this->configuration, this->routers,
                                this->input,    this->clock,         this->out};
        return chosen.run(context);
    }

private:
    const control_settings& settings;
    system_clock clock;
    system_input input;
    std::unique_ptr<adapters::http_client> client;
    std::unique_ptr<coordination::key_value_store> store;
    configuration_store configuration;
    http_router_inspector routers;
    output out;
};

exit_code report_faults(const read_settings_result& read)
{
    for (const auto& fault : read.faults) {
        std::cerr << fault << "\n";
    }
    return exit_code::usage;
}

exit_code run_command(const read_settings_result& read, const std::string& name)
{
    for (const auto& each : make_commands()) {
        if (each->usage().name == name) {
            return program(read.settings).run(*each);
        }
    }
    std::cerr << "COMMAND: found \"" << name << "\", allowed are those that pearhavenctl help "
              << "shows\n";
    return exit_code::usage;
}

exit_code run_requested_command(read_settings_result read)
{
    if (read.help_requested || read.command.empty()) {
        auto& arguments = read.settings.arguments;
        arguments.clear();
        if (!read.command.empty()) {
            arguments.push_back(read.command);
        }
        const exit_code shown = run_command(read, "help");
        return read.help_requested ? shown : exit_code::usage;
    }
    return read.faults.empty() ? run_command(read, read.command) : report_faults(read);
}

} // namespace

int run_program(int argc, char** argv)
{
    return static_cast<int>(run_requested_command(read_settings(argc, argv)));
}

} // namespace pearhaven::control
