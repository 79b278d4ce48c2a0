#include "host_list.hpp"

#include "pearhaven/adapters/ip_address.hpp"

#include <nlohmann/json.hpp>

#include <charconv>
#include <system_error>

namespace pearhaven::adapters {

namespace {

using json = nlohmann::json;

constexpr std::size_t max_list_bytes = 64U << 20U;
constexpr std::chrono::milliseconds list_timeout{2000};
constexpr int status_ok = 200;

std::string text_of(const json& object, const char* name)
{
    const auto found = object.find(name);
    return found != object.end() && found->is_string() ? found->get<std::string>() : std::string();
}

decision::labels labels_of(const json& host)
{
    decision::labels tags;
    const auto found = host.find("labels");
    if (found == host.end() || !found->is_object()) {
        return tags;
    }
    for (const auto& [name, value] : found->items()) {
        if (value.is_string()) {
            tags.emplace(name, value.get<std::string>());
        }
    }
    return tags;
}

bool is_ip_address(const std::string& text)
{
    const bool in_brackets = text.size() > 2 && text.front() == '[' && text.back() == ']';
    return in_brackets ? is_ipv6_address(text.substr(1, text.size() - 2)) : is_ipv4_address(text);
}

// Whether the text is IP:port. Any other text would create an endpoint that looks idle, is selected
// and can never be reached.
bool is_address(const std::string& text)
{
    const auto colon = text.rfind(':');
    if (colon == std::string::npos) {
        return false;
    }
    std::uint16_t port = 0;
    const auto* const end = text.data() + text.size();
    const auto read = std::from_chars(text.data() + colon + 1, end, port);
    return read.ec == std::errc() && read.ptr == end && port != 0 &&
           is_ip_address(text.substr(0, colon));
}

// Returns nothing for an entry that names no reachable host.
std::optional<listed_host> host_of(const json& item)
{
    if (!item.is_object()) {
        return std::nullopt;
    }
    listed_host host;
    host.name = text_of(item, "name");
    host.address = text_of(item, "address");
    host.zone = text_of(item, "zone");
    const auto incarnation = item.find("incarnation");
    const bool has_incarnation = incarnation != item.end() && incarnation->is_number_unsigned();
    if (host.name.empty() || !is_address(host.address) || !has_incarnation) {
        return std::nullopt;
    }
    host.incarnation = incarnation->get<std::uint64_t>();
    host.leaving = text_of(item, "state") != "live"; // unknown states get no new work
    host.tags = labels_of(item);
    return host;
}

std::optional<std::vector<listed_host>> hosts_of(const http_answer& answer)
{
    if (answer.result.error || answer.result.status != status_ok) {
        return std::nullopt;
    }
    return read_host_list(answer.body);
}

} // namespace

std::optional<std::vector<listed_host>> read_host_list(const std::string& text)
{
    const json body = json::parse(text, nullptr, false);
    const auto list = body.is_object() ? body.find("hosts") : body.end();
    if (!body.is_object() || list == body.end() || !list->is_array()) {
        return std::nullopt;
    }
    std::vector<listed_host> hosts;
    for (const json& item : *list) {
        if (auto host = host_of(item)) {
            hosts.push_back(std::move(*host));
        }
    }
    return hosts;
}

void fetch_host_list(http_client& client, const std::string& base_url,
                     std::function<void(const std::optional<std::vector<listed_host>>&)> done)
{
    http_request request;
    request.url = base_url + "/v1/hosts";
    request.connect_timeout = list_timeout;
    request.first_byte_timeout = list_timeout;
    request.total_timeout = list_timeout;
    fetch(client, std::move(request), max_list_bytes,
          [callback = std::move(done)](const http_answer& answer) { callback(hosts_of(answer)); });
}

} // namespace pearhaven::adapters
