#include "pearhaven/adapters/stored_values.hpp"

#include "stored_values_json.hpp"

#include <sodium.h>

#include <array>
#include <utility>

namespace pearhaven::adapters {

namespace {

using coordination::claim_record;
using coordination::claim_state;
using coordination::duty_record;
using nlohmann::json;

constexpr int base64_variant = sodium_base64_VARIANT_ORIGINAL;

constexpr std::array<stored_name<claim_state>, 4> claim_names = {
    {{claim_state::held, "held"},
     {claim_state::ran, "ran"},
     {claim_state::unknown, "unknown"},
     {claim_state::not_run, "not_run"}}};

bool is_utf8(const std::string& text)
{
    try {
        static_cast<void>(json(text).dump());
        return true;
    } catch (const json::type_error&) {
        return false;
    }
}

std::string to_base64(const std::string& bytes)
{
    std::string text(sodium_base64_encoded_len(bytes.size(), base64_variant), '\0');
    // NOLINTNEXTLINE(cppcoreguidelines-pro-type-reinterpret-cast): libsodium takes bytes.
    const auto* const start = reinterpret_cast<const unsigned char*>(bytes.data());
    sodium_bin2base64(text.data(), text.size(), start, bytes.size(), base64_variant);
    text.pop_back(); // the terminating null byte
    return text;
}

std::string from_base64(const std::string& text)
{
    std::string bytes(text.size(), '\0');
    // NOLINTNEXTLINE(cppcoreguidelines-pro-type-reinterpret-cast): libsodium gives bytes.
    auto* const start = reinterpret_cast<unsigned char*>(bytes.data());
    std::size_t length = 0;
    const int failed = sodium_base642bin(start, bytes.size(), text.data(), text.size(), nullptr,
                                         &length, nullptr, base64_variant);
    if (failed != 0) {
        throw malformed_value();
    }
    bytes.resize(length);
    return bytes;
}

std::string read_outcome(const json& value)
{
    if (value.is_object() && value.contains("outcome_base64")) {
        return from_base64(text_field(value, "outcome_base64"));
    }
    return text_field(value, "outcome");
}

claim_record read_claim_value(const json& value)
{
    return {read_name(claim_names, text_field(value, "state")), text_field(value, "holder"),
            text_field(value, "write_id"), read_outcome(value)};
}

class json_claim_codec : public coordination::claim_codec {
public:
    [[nodiscard]] std::string write_claim(const claim_record& claim) const override
    {
        json value = {{"state", write_name(claim_names, claim.state)},
                      {"holder", claim.holder},
                      {"write_id", claim.write_id}};
        if (is_utf8(claim.outcome)) {
            value["outcome"] = claim.outcome;
        } else {
            value["outcome_base64"] = to_base64(claim.outcome);
        }
        return to_stored_text(value);
    }

    [[nodiscard]] std::optional<claim_record> read_claim(std::string_view text) const override
    {
        return read_stored_text(text, read_claim_value);
    }
};

duty_record read_duty_value(const json& value)
{
    return {text_field(value, "holder"), count_field(value, "lease")};
}

class json_duty_codec : public coordination::duty_codec {
public:
    [[nodiscard]] std::string write_duty(const duty_record& record) const override
    {
        return to_stored_text({{"holder", record.holder}, {"lease", record.lease}});
    }

    [[nodiscard]] std::optional<duty_record> read_duty(std::string_view text) const override
    {
        return read_stored_text(text, read_duty_value);
    }
};

} // namespace

std::unique_ptr<coordination::claim_codec> make_claim_codec()
{
    return std::make_unique<json_claim_codec>();
}

std::unique_ptr<coordination::duty_codec> make_duty_codec()
{
    return std::make_unique<json_duty_codec>();
}

} // namespace pearhaven::adapters
