#include "errors.hpp"

#include "pearhaven/coordination/errors.hpp"

#include <string>

namespace pearhaven::control {

namespace {

using coordination::coordination_error;

class control_category : public std::error_category {
public:
    [[nodiscard]] const char* name() const noexcept override { return "control"; }

    [[nodiscard]] std::string message(int code) const override
    {
        switch (static_cast<control_error>(code)) {
        case control_error::store_unavailable:
            return "the key-value service cannot be reached";
        case control_error::store_unreadable:
            return "the key-value service holds a configuration that this program cannot read";
        case control_error::conflict:
            return "another operator changed the same objects first";
        case control_error::stale_view:
            return "the base revision is too old or does not exist yet, so that changes since it "
                   "cannot be determined";
        case control_error::too_large:
            return "the change is too large for the key-value service";
        case control_error::outcome_unknown:
            return "the key-value service stopped answering; the change may have been accepted";
        }
        return "unknown error " + std::to_string(code);
    }
};

} // namespace

std::error_code make_error_code(control_error error)
{
    static const control_category category;
    return {static_cast<int>(error), category};
}

std::error_code to_control_error(std::error_code error)
{
    if (error == coordination_error::conflict) {
        return control_error::conflict;
    }
    if (error == coordination_error::stale_view) {
        return control_error::stale_view;
    }
    if (error == coordination_error::too_large) {
        return control_error::too_large;
    }
    if (error == coordination_error::unreadable) {
        return control_error::store_unreadable;
    }
    if (error == coordination_error::store_unavailable) {
        return control_error::store_unavailable;
    }
    if (error == coordination_error::outcome_unknown) {
        return control_error::outcome_unknown;
    }
    return error;
}

exit_code to_exit_code(std::error_code error)
{
    if (!error) {
        return exit_code::ok;
    }
    if (error == control_error::conflict) {
        return exit_code::conflict;
    }
    return error == control_error::outcome_unknown ? exit_code::outcome_unknown : exit_code::failed;
}

} // namespace pearhaven::control
