#include "web_client.hpp"

#include <civetweb.h>
#include <fmt/format.h>

#include <array>
#include <memory>

namespace pearhaven::standins {

namespace {

constexpr int answer_timeout_ms = 30'000;
constexpr std::size_t read_size = 4096;
constexpr std::size_t problem_size = 256;

struct close_connection {
    void operator()(mg_connection* connection) const { mg_close_connection(connection); }
};

using client_connection = std::unique_ptr<mg_connection, close_connection>;

client_connection connect(const std::string& address)
{
    const auto colon = address.rfind(':');
    const auto port = to_number(address.substr(colon + 1)).value_or(0);
    std::array<char, problem_size> problem{};
    return client_connection(mg_connect_client(address.substr(0, colon).c_str(),
                                               static_cast<int>(port), 0, problem.data(),
                                               problem.size()));
}

std::string request_text(const std::string& address, const web_call& wanted)
{
    auto text = fmt::format("{} {} HTTP/1.1\r\nHost: {}\r\nConnection: close\r\n", wanted.method,
                            wanted.path, address);
    for (const auto& [name, value] : wanted.fields) {
        text += fmt::format("{}: {}\r\n", name, value);
    }
    return text + fmt::format("Content-Length: {}\r\n\r\n", wanted.body.size()) + wanted.body;
}

} // namespace

web_answer call(const std::string& address, const web_call& wanted)
{
    const auto connection = connect(address);
    if (connection == nullptr) {
        return {};
    }
    const auto request = request_text(address, wanted);
    mg_write(connection.get(), request.data(), request.size());
    std::array<char, problem_size> problem{};
    if (mg_get_response(connection.get(), problem.data(), problem.size(), answer_timeout_ms) < 0) {
        return {};
    }
    web_answer answer;
    answer.status = mg_get_response_info(connection.get())->status_code;
    answer.not_run = mg_get_header(connection.get(), "X-Not-Run") != nullptr;
    std::array<char, read_size> part{};
    int length = 0;
    while ((length = mg_read(connection.get(), part.data(), part.size())) > 0) {
        answer.body.append(part.data(), static_cast<std::size_t>(length));
    }
    answer.complete = length == 0;
    return answer;
}

} // namespace pearhaven::standins
