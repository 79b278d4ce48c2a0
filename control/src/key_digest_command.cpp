#include "command.hpp"

#include "pearhaven/adapters/configuration_codec.hpp"

namespace pearhaven::control {

namespace {

// Returns the first line: a shell's `echo` appends a newline that is not part of the key.
std::string first_line(const std::string& text)
{
    return text.substr(0, text.find_first_of("\r\n"));
}

class key_digest_command : public command {
public:
    [[nodiscard]] command_usage usage() const override
    {
        return {"key-digest",
                "< FILE",
                "reads a team's key from standard input and shows its digest for key_sha256",
                {"key-digest < deposits.key"}};
    }

    [[nodiscard]] exit_code run(command_context& context) const override
    {
        if (!context.settings.arguments.empty()) {
            return report_usage(*this, context);
        }
        const auto key = first_line(context.input.read("-").value_or(""));
        if (key.empty()) {
            context.out.print_diagnostic(
                "standard input: found nothing, allowed is a key on one line");
            return exit_code::usage;
        }
        const auto digest = adapters::sha256_hex(key);
        context.out.show(digest + "\n", {{"key_sha256", digest}});
        return exit_code::ok;
    }
};

} // namespace

command_ptr make_key_digest_command()
{
    return std::make_unique<key_digest_command>();
}

} // namespace pearhaven::control
