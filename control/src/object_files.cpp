#include "object_files.hpp"

#include "object_difference.hpp"

#include "pearhaven/adapters/configuration_codec.hpp"

#include <map>

namespace pearhaven::control {

namespace {

using adapters::configuration_fault;
using adapters::object_location;
using coordination::config_object;

// Collects the objects and faults of several files.
class file_reader {
public:
    void add(const std::string& file, const std::string& text)
    {
        auto parsed = adapters::parse_yaml(text, file);
        this->append(std::move(parsed.faults));
        for (std::size_t index = 0; index < parsed.objects.size(); ++index) {
            this->add(std::move(parsed.objects[index]), parsed.places[index]);
        }
    }

    void add_fault(configuration_fault fault) { this->faults.push_back(std::move(fault)); }

    std::vector<config_object> objects;
    std::vector<configuration_fault> faults;

private:
    void append(std::vector<configuration_fault> more)
    {
        this->faults.insert(this->faults.end(), std::make_move_iterator(more.begin()),
                            std::make_move_iterator(more.end()));
    }

    // Reports objects that occur in two files. The parser reports duplicates within one file.
    void add(config_object object, const object_location& place)
    {
        const std::string key = object_text(object.kind, object.name);
        const auto [first, inserted] = this->places.emplace(key, place);
        if (!inserted && first->second.file != place.file) {
            this->faults.push_back({place.file, place.line, "name", key + " a second time",
                                    "each object once (this one is also at " + first->second.file +
                                        ":" + std::to_string(first->second.line) + ")"});
        }
        this->objects.push_back(std::move(object));
    }

    std::map<std::string, object_location> places;
};

// Arguments after the flag are files as well: `apply -f a.yaml b.yaml` reads both.
std::vector<std::string> file_names(const control_settings& settings)
{
    std::vector<std::string> names = settings.files;
    names.insert(names.end(), settings.arguments.begin(), settings.arguments.end());
    return names;
}

} // namespace

std::optional<std::vector<config_object>> read_object_files(command_context& context)
{
    file_reader reader;
    for (const auto& name : file_names(context.settings)) {
        const auto text = context.input.read(name);
        if (text) {
            reader.add(name, *text);
        } else {
            reader.add_fault({name, 0, "", "no file that can be read", "a YAML file"});
        }
    }
    for (const auto& fault : reader.faults) {
        context.out.print_diagnostic(adapters::to_string(fault));
    }
    if (!reader.faults.empty()) {
        return std::nullopt;
    }
    return std::move(reader.objects);
}

} // namespace pearhaven::control
