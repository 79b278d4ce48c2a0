#ifndef PEARHAVEN_CONTROL_COMMAND_HPP
#define PEARHAVEN_CONTROL_COMMAND_HPP

#include "configuration_store.hpp"
#include "errors.hpp"
#include "input_source.hpp"
#include "output.hpp"
#include "process_clock.hpp"
#include "router_inspector.hpp"
#include "settings.hpp"

#include <memory>
#include <string>
#include <vector>

namespace pearhaven::control {

// Settings of the call and the services that a command uses.
struct command_context {
    const control_settings& settings;
    configuration_store& store;
    router_inspector& routers;
    input_source& input;
    process_clock& clock;
    output& out;
};

// Usage of a command, as the help command shows it.
struct command_usage {
    std::string name;
    std::string arguments;
    std::string summary;
    std::vector<std::string> examples;
};

class command {
public:
    virtual ~command() = default;
    [[nodiscard]] virtual command_usage usage() const = 0;
    [[nodiscard]] virtual exit_code run(command_context& context) const = 0;
};

using command_ptr = std::unique_ptr<command>;

command_ptr make_apply_command();
command_ptr make_delete_command();
command_ptr make_get_command();
command_ptr make_diff_command();
command_ptr make_label_command();
command_ptr make_history_command();
command_ptr make_status_command();
command_ptr make_watch_command();
command_ptr make_bills_command();
command_ptr make_rollout_command();
command_ptr make_evacuate_command();
command_ptr make_restore_command();
command_ptr make_version_command();
command_ptr make_key_digest_command();
command_ptr make_help_command();

// Returns all commands in the order in which help lists them.
std::vector<command_ptr> make_commands();

// Prints the usage of the command and returns the exit status for wrong usage.
exit_code report_usage(const command& called, command_context& context);

// Prints the error and returns the matching exit status.
exit_code report_error(command_context& context, std::error_code error);

} // namespace pearhaven::control

#endif
