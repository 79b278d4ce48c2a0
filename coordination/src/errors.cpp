#include "pearhaven/coordination/errors.hpp"

#include <string>

namespace pearhaven::coordination {

namespace {

class coordination_category : public std::error_category {
public:
    [[nodiscard]] const char* name() const noexcept override { return "coordination"; }

    [[nodiscard]] std::string message(int code) const override
    {
        switch (static_cast<coordination_error>(code)) {
        case coordination_error::conflict:
            return "another change was applied first";
        case coordination_error::stale_view:
            return "the change is based on an outdated revision";
        case coordination_error::too_large:
            return "the value is too large for the key-value service";
        case coordination_error::unreadable:
            return "the stored value cannot be decoded";
        case coordination_error::store_unavailable:
            return "the key-value service cannot be reached; nothing was applied";
        case coordination_error::outcome_unknown:
            return "the key-value service did not answer; the write may have been applied";
        }
        return "unknown coordination error " + std::to_string(code);
    }
};

} // namespace

std::error_code make_error_code(coordination_error error)
{
    static const coordination_category category;
    return {static_cast<int>(error), category};
}

} // namespace pearhaven::coordination
