#ifndef PEARHAVEN_CONTROL_INPUT_SOURCE_HPP
#define PEARHAVEN_CONTROL_INPUT_SOURCE_HPP

#include <optional>
#include <string>

namespace pearhaven::control {

// Port to the operator's input files.
class input_source {
public:
    virtual ~input_source() = default;

    // Returns nothing when the file cannot be read. The name `-` stands for standard input.
    virtual std::optional<std::string> read(const std::string& file) = 0;
};

class system_input : public input_source {
public:
    std::optional<std::string> read(const std::string& file) override;
};

} // namespace pearhaven::control

#endif
