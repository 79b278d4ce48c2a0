#include "command.hpp"

namespace pearhaven::control {

std::vector<command_ptr> make_commands()
{
    std::vector<command_ptr> all;
    all.push_back(make_apply_command());
    all.push_back(make_get_command());
    all.push_back(make_diff_command());
    all.push_back(make_delete_command());
    all.push_back(make_label_command());
    all.push_back(make_version_command());
    all.push_back(make_rollout_command());
    all.push_back(make_evacuate_command());
    all.push_back(make_restore_command());
    all.push_back(make_history_command());
    all.push_back(make_watch_command());
    all.push_back(make_status_command());
    all.push_back(make_bills_command());
    all.push_back(make_key_digest_command());
    all.push_back(make_help_command());
    return all;
}

exit_code report_usage(const command& called, command_context& context)
{
    const command_usage usage = called.usage();
    context.out.print_diagnostic("usage: pearhavenctl " + usage.name + " " + usage.arguments);
    return exit_code::usage;
}

exit_code report_error(command_context& context, std::error_code error)
{
    context.out.print_diagnostic("error: " + error.message());
    return to_exit_code(error);
}

} // namespace pearhaven::control
