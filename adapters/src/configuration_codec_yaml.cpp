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

constexpr std::size_t largest_text = std::size_t{8} << 20U;
constexpr std::size_t deepest_nesting = 16;

// Aliases let a short text unfold into more than the memory holds; so what they unfold to counts.
constexpr std::size_t largest_document = std::size_t{128} << 10U;

// A longer run of digits is a digest or an identifier, not a number.
constexpr std::size_t longest_number = 32;

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
    if (text.empty() || text.size() > longest_number) {
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
        if (const auto whole = parse_number<std::int64_t>(text)) {
            return *whole;
        }
        if (const auto real = parse_number<double>(text)) {
            return *real;
        }
    }
    return text;
}

// Values and bytes of text in it: a measure of the memory that it takes.
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

// Ends the reading of a text that cannot be read on.
class unreadable_text : public std::exception {
public:
    explicit unreadable_text(configuration_fault what_is_wrong) : fault(std::move(what_is_wrong)) {}

    configuration_fault fault;
};

// Takes the parser's events and makes a JSON value of each document, with the lines of its parts.
class document_handler : public YAML::EventHandler {
public:
    document_handler(const std::string& file_name, std::vector<configuration_fault>& fault_list)
        : file(file_name), faults(fault_list)
    {}

    // The finished document; nothing when the text ended without another.
    std::optional<yaml_document> take() { return std::exchange(this->finished, std::nullopt); }

    // The parser of yaml-cpp 0.7 does not move on where a document starts with a stray "," or "}":
    // it would report empty documents from there until the memory is full.
    void OnDocumentStart(const YAML::Mark& mark) override
    {
        if (mark.pos == this->last_start) {
            this->refuse(mark, "", "a character that no document starts with", "YAML documents");
        }
        this->last_start = mark.pos;
        this->size = 0;
        this->anchors.clear();
        this->document = yaml_document();
    }

    void OnDocumentEnd() override { this->finished = std::move(this->document); }

    void OnNull(const YAML::Mark& mark, YAML::anchor_t anchor) override
    {
        this->refuse_as_name(mark);
        this->grow(mark, 1);
        this->place(nullptr, this->value_line_of_nothing(mark), anchor);
    }

    void OnAlias(const YAML::Mark& mark, YAML::anchor_t anchor) override
    {
        this->refuse_as_name(mark);
        const json& repeated = this->anchors[anchor];
        this->grow(mark, size_of(repeated));
        this->place(repeated, line_of(mark), 0);
    }

    void OnScalar(const YAML::Mark& mark, const std::string& tag, YAML::anchor_t anchor,
                  const std::string& text) override
    {
        if (this->expects_name()) {
            this->start_field(mark, text);
            return;
        }
        this->grow(mark, 1 + text.size());
        this->place(tag == "?" ? plain_scalar(text) : json(text), line_of(mark), anchor);
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
    // A list or map whose end has not come yet.
    struct open_value {
        json value;
        std::string path;
        int line = 0;
        YAML::anchor_t anchor = 0;
        std::optional<std::string> field; // of a map: the name whose value comes next
        int field_line = 0;
    };

    static int line_of(const YAML::Mark& mark) { return mark.line + 1; }

    [[nodiscard]] bool expects_name() const
    {
        return !this->open_values.empty() && this->open_values.back().value.is_object() &&
               !this->open_values.back().field;
    }

    // Where nothing is written, the parser's mark is already that of what comes after.
    [[nodiscard]] int value_line_of_nothing(const YAML::Mark& mark) const
    {
        const bool in_map = !this->open_values.empty() && this->open_values.back().field;
        return in_map ? this->open_values.back().field_line : line_of(mark);
    }

    [[nodiscard]] std::string next_path() const
    {
        if (this->open_values.empty()) {
            return "";
        }
        const open_value& around = this->open_values.back();
        return around.field ? member_path(around.path, *around.field)
                            : element_path(around.path, around.value.size());
    }

    void start_field(const YAML::Mark& mark, const std::string& name)
    {
        open_value& around = this->open_values.back();
        around.field = name;
        around.field_line = line_of(mark);
        this->grow(mark, name.size());
        if (around.value.contains(name)) {
            this->faults.push_back({this->file, line_of(mark), this->next_path(),
                                    "the field a second time", "each field once"});
        }
    }

    void open(json empty, const YAML::Mark& mark, YAML::anchor_t anchor)
    {
        this->refuse_as_name(mark);
        const std::string path = this->next_path();
        if (this->open_values.size() >= deepest_nesting) {
            this->refuse(mark, path, "deeper nesting",
                         "values nested " + std::to_string(deepest_nesting) + " deep at most");
        }
        this->grow(mark, 1);
        this->open_values.push_back(
            {std::move(empty), path, line_of(mark), anchor, std::nullopt, 0});
    }

    void close()
    {
        open_value whole = std::move(this->open_values.back());
        this->open_values.pop_back();
        this->place(std::move(whole.value), whole.line, whole.anchor);
    }

    void place(json value, int line, YAML::anchor_t anchor)
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
        open_value& around = this->open_values.back();
        if (!around.field) {
            this->document.lines[path] = {line, line};
            around.value.push_back(std::move(value));
            return;
        }
        this->document.lines[path] = {around.field_line, line};
        around.value[*around.field] = std::move(value);
        around.field.reset();
    }

    void grow(const YAML::Mark& mark, std::size_t more)
    {
        this->size += more;
        if (this->size > largest_document) {
            this->refuse(mark, this->next_path(), "more values and text than that",
                         "a document of at most " + std::to_string(largest_document) + " bytes");
        }
    }

    void refuse_as_name(const YAML::Mark& mark) const
    {
        if (this->expects_name()) {
            this->refuse(mark, this->open_values.back().path,
                         "a field whose name is not plain text", "text as the name of each field");
        }
    }

    [[noreturn]] void refuse(const YAML::Mark& mark, const std::string& path, std::string found,
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
    int last_start = -1;
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
    if (text.size() > largest_text) {
        result.faults.push_back({file, 0, "", std::to_string(text.size()) + " bytes",
                                 "at most " + std::to_string(largest_text) + " bytes"});
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
