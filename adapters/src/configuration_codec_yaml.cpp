#include "configuration_codec_yaml.hpp"

#include <yaml-cpp/eventhandler.h>
#include <yaml-cpp/exceptions.h>
#include <yaml-cpp/mark.h>
#include <yaml-cpp/parser.h>

#include <charconv>
#include <optional>
#include <sstream>

namespace pearhaven::adapters {

namespace {

using nlohmann::json;

constexpr std::size_t max_text_bytes = std::size_t{8} << 20U;
constexpr std::size_t max_nesting = 16;

// Aliases can expand a short text to more than fits in memory, so the limit applies to the expanded
// size.
constexpr std::size_t max_document_size = std::size_t{128} << 10U;

// A longer sequence of digits is a digest or an identifier, not a number.
constexpr std::size_t max_number_length = 32;

template <class Number>
std::optional<Number> parse_number(std::string_view text)
{
    Number number{};
    const auto* const end = text.data() + text.size();
    const auto parsed = std::from_chars(text.data(), end, number);
    if (parsed.ec != std::errc() || parsed.ptr != end) {
        return std::nullopt;
    }
    return number;
}

bool looks_like_a_number(std::string_view text)
{
    if (text.empty() || text.size() > max_number_length) {
        return false;
    }
    const std::size_t start = text.front() == '-' ? 1 : 0;
    return start < text.size() && text[start] >= '0' && text[start] <= '9';
}

json plain_scalar(const std::string& text)
{
    if (text.empty() || text == "~" || text == "null" || text == "Null" || text == "NULL") {
        return nullptr;
    }
    if (text == "true" || text == "True" || text == "TRUE") {
        return true;
    }
    if (text == "false" || text == "False" || text == "FALSE") {
        return false;
    }
    if (looks_like_a_number(text)) {
        if (const auto integer = parse_number<std::int64_t>(text)) {
            return *integer;
        }
        if (const auto real = parse_number<double>(text)) {
            return *real;
        }
    }
    return text;
}

// Number of values plus bytes of text, as a measure of memory use.
std::size_t size_of(const json& value)
{
    if (value.is_string()) {
        return 1 + value.get_ref<const std::string&>().size();
    }
    std::size_t size = 1;
    if (value.is_structured()) {
        for (const auto& [key, inner] : value.items()) {
            size += (value.is_object() ? key.size() : 0) + size_of(inner);
        }
    }
    return size;
}

// Aborts the parsing of a text.
class unreadable_text : public std::exception {
public:
    explicit unreadable_text(configuration_fault cause) : fault(std::move(cause)) {}

    configuration_fault fault;
};

// Converts the parser's events to one JSON value per document, with the line numbers of its parts.
class document_handler : public YAML::EventHandler {
public:
    document_handler(const std::string& file_name, std::vector<configuration_fault>& fault_list)
        : file(file_name), faults(fault_list)
    {}

    // Returns the finished document, or nothing if the text ended without another document.
    std::optional<yaml_document> take() { return std::exchange(this->finished, std::nullopt); }

    // yaml-cpp 0.7 does not advance when a document starts with a stray "," or "}": it would report
    // empty documents until memory is exhausted.
    void OnDocumentStart(const YAML::Mark& mark) override
    {
        if (mark.pos == this->last_start_position) {
            this->reject(mark, "", "a character that no document starts with", "YAML documents");
        }
        this->last_start_position = mark.pos;
        this->size = 0;
        this->anchors.clear();
        this->document = yaml_document();
    }

    void OnDocumentEnd() override { this->finished = std::move(this->document); }

    void OnNull(const YAML::Mark& mark, YAML::anchor_t anchor) override
    {
        this->reject_as_field_name(mark);
        this->add_size(mark, 1);
        this->add_value(nullptr, this->line_of_empty_value(mark), anchor);
    }

    void OnAlias(const YAML::Mark& mark, YAML::anchor_t anchor) override
    {
        this->reject_as_field_name(mark);
        const json& repeated = this->anchors[anchor];
        this->add_size(mark, size_of(repeated));
        this->add_value(repeated, line_of(mark), 0);
    }

    void OnScalar(const YAML::Mark& mark, const std::string& tag, YAML::anchor_t anchor,
                  const std::string& text) override
    {
        if (this->expects_field_name()) {
            this->start_field(mark, text);
            return;
        }
        this->add_size(mark, 1 + text.size());
        this->add_value(tag == "?" ? plain_scalar(text) : json(text), line_of(mark), anchor);
    }

    void OnSequenceStart(const YAML::Mark& mark, const std::string& /*tag*/, YAML::anchor_t anchor,
                         YAML::EmitterStyle::value /*style*/) override
    {
        this->open(json::array(), mark, anchor);
    }

    void OnSequenceEnd() override { this->close(); }

    void OnMapStart(const YAML::Mark& mark, const std::string& /*tag*/, YAML::anchor_t anchor,
                    YAML::EmitterStyle::value /*style*/) override
    {
        this->open(json::object(), mark, anchor);
    }

    void OnMapEnd() override { this->close(); }

private:
    // A list or map whose end event has not been received yet.
    struct open_value {
        json value;
        std::string path;
        int line = 0;
        YAML::anchor_t anchor = 0;
        std::optional<std::string> field; // for a map: the name of the next value
        int field_line = 0;
    };

    static int line_of(const YAML::Mark& mark) { return mark.line + 1; }

    [[nodiscard]] bool expects_field_name() const
    {
        return !this->open_values.empty() && this->open_values.back().value.is_object() &&
               !this->open_values.back().field;
    }

    // For an empty value, the parser's mark is already at the following token.
    [[nodiscard]] int line_of_empty_value(const YAML::Mark& mark) const
    {
        const bool in_map = !this->open_values.empty() && this->open_values.back().field;
        return in_map ? this->open_values.back().field_line : line_of(mark);
    }

    [[nodiscard]] std::string next_path() const
    {
        if (this->open_values.empty()) {
            return "";
        }
        const open_value& parent = this->open_values.back();
        return parent.field ? member_path(parent.path, *parent.field)
                            : element_path(parent.path, parent.value.size());
    }

    void start_field(const YAML::Mark& mark, const std::string& name)
    {
        open_value& parent = this->open_values.back();
        parent.field = name;
        parent.field_line = line_of(mark);
        this->add_size(mark, name.size());
        if (parent.value.contains(name)) {
            this->faults.push_back({this->file, line_of(mark), this->next_path(),
                                    "the field a second time", "each field once"});
        }
    }

    void open(json empty, const YAML::Mark& mark, YAML::anchor_t anchor)
    {
        this->reject_as_field_name(mark);
        const std::string path = this->next_path();
        if (this->open_values.size() >= max_nesting) {
            this->reject(mark, path, "deeper nesting",
                         "values nested " + std::to_string(max_nesting) + " deep at most");
        }
        this->add_size(mark, 1);
        this->open_values.push_back(
            {std::move(empty), path, line_of(mark), anchor, std::nullopt, 0});
    }

    void close()
    {
        open_value closed = std::move(this->open_values.back());
        this->open_values.pop_back();
        this->add_value(std::move(closed.value), closed.line, closed.anchor);
    }

    void add_value(json value, int line, YAML::anchor_t anchor)
    {
        if (anchor != 0) {
            this->anchors[anchor] = value;
        }
        if (this->open_values.empty()) {
            this->document.value = std::move(value);
            this->document.lines[""] = {line, line};
            return;
        }
        const std::string path = this->next_path();
        open_value& parent = this->open_values.back();
        if (!parent.field) {
            this->document.lines[path] = {line, line};
            parent.value.push_back(std::move(value));
            return;
        }
        this->document.lines[path] = {parent.field_line, line};
        parent.value[*parent.field] = std::move(value);
        parent.field.reset();
    }

    void add_size(const YAML::Mark& mark, std::size_t more)
    {
        this->size += more;
        if (this->size > max_document_size) {
            this->reject(mark, this->next_path(), "more values and text than the limit",
                         "a document of at most " + std::to_string(max_document_size) + " bytes");
        }
    }

    void reject_as_field_name(const YAML::Mark& mark) const
    {
        if (this->expects_field_name()) {
            this->reject(mark, this->open_values.back().path,
                         "a field whose name is not plain text", "text as the name of each field");
        }
    }

    [[noreturn]] void reject(const YAML::Mark& mark, const std::string& path, std::string found,
                             std::string allowed) const
    {
        throw unreadable_text(
            {this->file, line_of(mark), path, std::move(found), std::move(allowed)});
    }

    const std::string& file;
    std::vector<configuration_fault>& faults;
    yaml_document document;
    std::optional<yaml_document> finished;
    std::vector<open_value> open_values;
    std::map<YAML::anchor_t, json> anchors;
    std::size_t size = 0;
    int last_start_position = -1;
};

void read_documents(std::istream& text, const std::string& file, yaml_documents& result)
{
    YAML::Parser parser(text);
    document_handler handler(file, result.faults);
    while (parser.HandleNextDocument(handler)) {
        auto document = handler.take();
        if (document && !document->value.is_null()) {
            result.documents.push_back(std::move(*document));
        }
    }
}

} // namespace

yaml_documents read_yaml(std::string_view text, const std::string& file)
{
    yaml_documents result;
    if (text.size() > max_text_bytes) {
        result.faults.push_back({file, 0, "", std::to_string(text.size()) + " bytes",
                                 "at most " + std::to_string(max_text_bytes) + " bytes"});
        return result;
    }
    std::istringstream stream{std::string(text)};
    try {
        read_documents(stream, file, result);
    } catch (const unreadable_text& error) {
        result.faults.push_back(error.fault);
    } catch (const YAML::Exception& error) {
        result.faults.push_back({file, error.mark.line + 1, "", error.msg, "YAML documents"});
    }
    return result;
}

} // namespace pearhaven::adapters
