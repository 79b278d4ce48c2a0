// Stand-ins for the cases of the second review: a small HTTP server and client on blocking sockets,
// the platform's store, and the processes of a router. Loopback addresses and the real clock only.
#ifndef PEARHAVEN_REVIEW_2_STANDIN_HPP
#define PEARHAVEN_REVIEW_2_STANDIN_HPP

#include <arpa/inet.h>
#include <netinet/in.h>
#include <netinet/tcp.h>
#include <poll.h>
#include <sys/prctl.h>
#include <sys/socket.h>
#include <sys/time.h>
#include <sys/wait.h>
#include <unistd.h>

#include <nlohmann/json.hpp>

#include <algorithm>
#include <atomic>
#include <cerrno>
#include <chrono>
#include <condition_variable>
#include <csignal>
#include <cstdint>
#include <cstdio>
#include <cstdlib>
#include <fstream>
#include <functional>
#include <map>
#include <mutex>
#include <sstream>
#include <string>
#include <thread>
#include <utility>
#include <vector>

namespace review {

using nlohmann::json;
using clock_type = std::chrono::steady_clock;
using std::chrono::milliseconds;
using std::chrono::seconds;

inline double seconds_since(clock_type::time_point start)
{
    return std::chrono::duration<double>(clock_type::now() - start).count();
}

inline bool has_trouble()
{
    const char* const chosen = std::getenv("TROUBLE");
    return chosen == nullptr || std::string(chosen) != "0";
}

// Lines of what was sent, answered and run, in record.txt.
class record_file {
public:
    explicit record_file(const std::string& path) : out(path) {}

    void line(const std::string& text)
    {
        const std::lock_guard lock(this->guard);
        char time[32];
        std::snprintf(time, sizeof time, "%8.3f ", seconds_since(this->start));
        this->out << time << text << "\n" << std::flush;
    }

    // A line that is printed as well.
    void say(const std::string& text)
    {
        this->line(text);
        std::printf("%s\n", text.c_str());
        std::fflush(stdout);
    }

private:
    std::mutex guard;
    std::ofstream out;
    clock_type::time_point start = clock_type::now();
};

inline sockaddr_in loopback(std::uint16_t port)
{
    sockaddr_in address{};
    address.sin_family = AF_INET;
    address.sin_port = htons(port);
    address.sin_addr.s_addr = htonl(INADDR_LOOPBACK);
    return address;
}

// A listening socket on a free port, or -1.
inline int listen_on(std::uint16_t& port)
{
    const int listener = socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);
    const int on = 1;
    setsockopt(listener, SOL_SOCKET, SO_REUSEADDR, &on, sizeof on);
    auto address = loopback(port);
    socklen_t length = sizeof address;
    if (bind(listener, reinterpret_cast<sockaddr*>(&address), sizeof address) != 0 ||
        listen(listener, 1024) != 0) {
        close(listener);
        return -1;
    }
    getsockname(listener, reinterpret_cast<sockaddr*>(&address), &length);
    port = ntohs(address.sin_port);
    return listener;
}

// The first of `count` free ports in a row.
inline std::uint16_t free_ports(int count)
{
    static unsigned next = 20000 + static_cast<unsigned>(getpid()) * 37 % 20000;
    for (;;) {
        next = next < 45000 ? next : 20000;
        const auto first = next;
        next += static_cast<unsigned>(count);
        bool all = true;
        for (int offset = 0; offset < count && all; ++offset) {
            auto port = static_cast<std::uint16_t>(first + static_cast<unsigned>(offset));
            const int probe = listen_on(port);
            all = probe >= 0;
            close(probe);
        }
        if (all) {
            return static_cast<std::uint16_t>(first);
        }
    }
}

inline std::string lower(std::string text)
{
    for (auto& letter : text) {
        letter = static_cast<char>(std::tolower(static_cast<unsigned char>(letter)));
    }
    return text;
}

struct message {
    std::string first_line;
    std::string method; // of a request
    std::string target;
    int status = 0;                            // of an answer
    std::map<std::string, std::string> fields; // by name in lower case
    std::string body;
    bool complete = false;

    [[nodiscard]] std::string field(const std::string& name) const
    {
        const auto found = this->fields.find(name);
        return found == this->fields.end() ? "" : found->second;
    }
};

// A connected socket. Reads and writes block, for as long as its timeout allows.
class connection {
public:
    explicit connection(int number) : socket_number(number) {}
    ~connection() { this->finish(); }
    connection(const connection&) = delete;
    connection& operator=(const connection&) = delete;

    [[nodiscard]] bool is_open() const { return this->socket_number >= 0; }
    [[nodiscard]] int number() const { return this->socket_number; }

    void set_timeout(milliseconds time) const
    {
        timeval limit{};
        limit.tv_sec = time.count() / 1000;
        limit.tv_usec = time.count() % 1000 * 1000;
        setsockopt(this->socket_number, SOL_SOCKET, SO_RCVTIMEO, &limit, sizeof limit);
        setsockopt(this->socket_number, SOL_SOCKET, SO_SNDTIMEO, &limit, sizeof limit);
    }

    bool send(const std::string& bytes) const
    {
        for (std::size_t sent = 0; sent < bytes.size();) {
            const auto count =
                ::send(this->socket_number, bytes.data() + sent, bytes.size() - sent, MSG_NOSIGNAL);
            if (count <= 0) {
                return false;
            }
            sent += static_cast<std::size_t>(count);
        }
        return true;
    }

    // Whether the other end has closed or reset the connection.
    [[nodiscard]] bool is_ended() const
    {
        char byte = 0;
        const auto count = recv(this->socket_number, &byte, 1, MSG_PEEK | MSG_DONTWAIT);
        return count == 0 || (count < 0 && errno != EAGAIN && errno != EWOULDBLOCK);
    }

    // An orderly close; a reset if bytes are unread.
    void finish()
    {
        if (this->socket_number >= 0) {
            close(std::exchange(this->socket_number, -1));
        }
    }

    // Reads a request or an answer. `on_body`, if set, gets each piece of the body.
    message read_message(const std::function<void(const std::string&)>& on_body = {})
    {
        message read;
        std::size_t end = std::string::npos;
        while ((end = this->held.find("\r\n\r\n")) == std::string::npos) {
            if (!this->receive()) {
                return read;
            }
        }
        this->parse_head(read, this->held.substr(0, end + 2));
        this->held.erase(0, end + 4);
        const auto add = [&](const std::string& piece) {
            read.body += piece;
            if (on_body) {
                on_body(piece);
            }
        };
        if (lower(read.field("transfer-encoding")) == "chunked") {
            read.complete = this->read_chunks(add);
        } else if (!read.field("content-length").empty()) {
            read.complete = this->take(std::stoul(read.field("content-length")), add);
        } else if (!read.method.empty() || read.status == 204 || read.status == 304) {
            read.complete = true;
        } else {
            do {
                add(std::exchange(this->held, {}));
            } while (this->receive());
            read.complete = this->ended_in_order;
        }
        return read;
    }

private:
    bool receive()
    {
        char bytes[16384];
        const auto count = recv(this->socket_number, bytes, sizeof bytes, 0);
        this->ended_in_order = count == 0;
        if (count <= 0) {
            return false;
        }
        this->held.append(bytes, static_cast<std::size_t>(count));
        return true;
    }

    static void parse_head(message& read, const std::string& head)
    {
        std::istringstream lines(head);
        std::string line;
        std::getline(lines, line);
        read.first_line = line.substr(0, line.find('\r'));
        std::istringstream words(read.first_line);
        words >> read.method >> read.target;
        if (read.method.starts_with("HTTP/")) {
            read.status = std::atoi(read.target.c_str());
            read.method.clear();
            read.target.clear();
        }
        while (std::getline(lines, line)) {
            line = line.substr(0, line.find('\r'));
            const auto colon = line.find(':');
            if (colon != std::string::npos) {
                const auto begin = line.find_first_not_of(' ', colon + 1);
                read.fields[lower(line.substr(0, colon))] =
                    begin == std::string::npos ? "" : line.substr(begin);
            }
        }
    }

    template <typename Function>
    bool take(std::size_t count, Function&& add)
    {
        while (count > 0) {
            if (this->held.empty() && !this->receive()) {
                return false;
            }
            const auto piece = this->held.substr(0, count);
            this->held.erase(0, piece.size());
            count -= piece.size();
            add(piece);
        }
        return true;
    }

    template <typename Function>
    bool read_chunks(Function&& add)
    {
        for (;;) {
            std::size_t end = std::string::npos;
            while ((end = this->held.find("\r\n")) == std::string::npos) {
                if (!this->receive()) {
                    return false;
                }
            }
            const auto size = std::strtoul(this->held.c_str(), nullptr, 16);
            this->held.erase(0, end + 2);
            if (size > 0 && !this->take(size, add)) {
                return false;
            }
            if (!this->take(2, [](const std::string&) {})) {
                return false;
            }
            if (size == 0) {
                return true;
            }
        }
    }

    int socket_number;
    std::string held;
    bool ended_in_order = false;
};

inline int connect_to(std::uint16_t port, int receive_buffer = 0)
{
    const int number = socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);
    if (receive_buffer > 0) {
        setsockopt(number, SOL_SOCKET, SO_RCVBUF, &receive_buffer, sizeof receive_buffer);
    }
    const auto address = loopback(port);
    if (connect(number, reinterpret_cast<const sockaddr*>(&address), sizeof address) != 0) {
        close(number);
        return -1;
    }
    const int on = 1;
    setsockopt(number, IPPROTO_TCP, TCP_NODELAY, &on, sizeof on);
    return number;
}

// An HTTP server with a thread for each connection. The handler answers a request and returns
// whether the connection stays open.
class http_server {
public:
    using handler = std::function<bool(connection&, const message&)>;

    explicit http_server(handler answer) : answer_request(std::move(answer))
    {
        this->listener = listen_on(this->own_port);
        this->acceptor = std::thread([this] { this->accept_all(); });
    }

    ~http_server()
    {
        this->stopping = true;
        shutdown(this->listener, SHUT_RDWR);
        this->acceptor.join();
        close(this->listener);
    }

    http_server(const http_server&) = delete;
    http_server& operator=(const http_server&) = delete;

    [[nodiscard]] std::uint16_t port() const { return this->own_port; }
    [[nodiscard]] std::string address() const
    {
        return "127.0.0.1:" + std::to_string(this->own_port);
    }

private:
    void accept_all()
    {
        while (!this->stopping) {
            const int number = accept4(this->listener, nullptr, nullptr, SOCK_CLOEXEC);
            if (number < 0) {
                continue;
            }
            const int on = 1;
            setsockopt(number, IPPROTO_TCP, TCP_NODELAY, &on, sizeof on);
            // The process ends with _exit, so that no thread outlives what it uses.
            std::thread([this, number] { this->serve(number); }).detach();
        }
    }

    void serve(int number)
    {
        connection caller(number);
        for (bool open = true; open && !this->stopping;) {
            const auto request = caller.read_message();
            open = request.complete && this->answer_request(caller, request);
        }
    }

    handler answer_request;
    std::uint16_t own_port = 0;
    int listener = -1;
    std::atomic<bool> stopping{false};
    std::thread acceptor;
};

inline std::string plain_answer(int status, const std::string& body, const std::string& fields = "")
{
    return "HTTP/1.1 " + std::to_string(status) +
           " X\r\nContent-Length: " + std::to_string(body.size()) + "\r\n" + fields + "\r\n" + body;
}

inline std::string to_base64(const std::string& bytes)
{
    static const char* const letters =
        "ABCDEFGHIJKLMNOPQRSTUVWXYZabcdefghijklmnopqrstuvwxyz0123456789+/";
    std::string text;
    for (std::size_t at = 0; at < bytes.size(); at += 3) {
        std::uint32_t group = 0;
        for (std::size_t offset = 0; offset < 3; ++offset) {
            group =
                group << 8U |
                (at + offset < bytes.size() ? static_cast<unsigned char>(bytes[at + offset]) : 0U);
        }
        for (std::size_t offset = 0; offset < 4; ++offset) {
            text += at + offset > bytes.size() ? '=' : letters[group >> (18U - 6U * offset) & 63U];
        }
    }
    return text;
}

inline std::string percent_decoded(const std::string& text)
{
    std::string decoded;
    for (std::size_t at = 0; at < text.size(); ++at) {
        if (text[at] == '%' && at + 2 < text.size()) {
            decoded += static_cast<char>(std::strtoul(text.substr(at + 1, 2).c_str(), nullptr, 16));
            at += 2;
        } else {
            decoded += text[at];
        }
    }
    return decoded;
}

// The platform's store. It is always up, and loses nothing.
class platform_store {
public:
    platform_store()
        : server([this](connection& caller, const message& request) {
              return this->serve(caller, request);
          })
    {}

    // Writes a key as the operator or a server does.
    void put(const std::string& key, const json& value)
    {
        const std::lock_guard lock(this->guard);
        this->write(key, to_base64(value.dump()), 0);
    }

    void remove(const std::string& key)
    {
        const std::lock_guard lock(this->guard);
        this->erase(key);
    }

    [[nodiscard]] std::uint16_t port() const { return this->server.port(); }

private:
    struct item {
        std::string value; // base64
        std::uint64_t revision = 0;
        std::uint64_t created = 0;
        std::uint64_t lease = 0;
    };

    struct lease_state {
        milliseconds time{};
        clock_type::time_point end;
    };

    static json to_json(const std::string& key, const item& stored)
    {
        return {{"key", key},
                {"value", stored.value},
                {"revision", stored.revision},
                {"created", stored.created},
                {"lease", stored.lease}};
    }

    void write(const std::string& key, const std::string& value, std::uint64_t lease)
    {
        auto& stored = this->items[key];
        stored.value = value;
        stored.revision = ++this->revision;
        stored.created = stored.created == 0 ? stored.revision : stored.created;
        stored.lease = lease;
        this->history.push_back({this->revision, key, to_json(key, stored)});
        this->changed.notify_all();
    }

    void erase(const std::string& key)
    {
        if (this->items.erase(key) > 0) {
            ++this->revision;
            this->history.push_back(
                {this->revision, key,
                 json{{"key", key}, {"revision", this->revision}, {"removed", true}}});
            this->changed.notify_all();
        }
    }

    void expire()
    {
        const auto now = clock_type::now();
        for (auto lease = this->leases.begin(); lease != this->leases.end();) {
            if (lease->second.end > now) {
                ++lease;
                continue;
            }
            this->remove_keys_of(lease->first);
            lease = this->leases.erase(lease);
        }
    }

    void remove_keys_of(std::uint64_t lease)
    {
        std::vector<std::string> keys;
        for (const auto& [key, stored] : this->items) {
            if (stored.lease == lease) {
                keys.push_back(key);
            }
        }
        for (const auto& key : keys) {
            this->erase(key);
        }
    }

    static std::map<std::string, std::string> query_of(const std::string& target)
    {
        std::map<std::string, std::string> query;
        const auto mark = target.find('?');
        std::istringstream parts(mark == std::string::npos ? "" : target.substr(mark + 1));
        for (std::string part; std::getline(parts, part, '&');) {
            const auto equals = part.find('=');
            if (equals != std::string::npos) {
                query[part.substr(0, equals)] = percent_decoded(part.substr(equals + 1));
            }
        }
        return query;
    }

    static std::uint64_t number(const std::string& text)
    {
        return text.empty() ? 0 : std::strtoull(text.c_str(), nullptr, 10);
    }

    bool serve(connection& caller, const message& request)
    {
        auto [status, body] = this->answer(request);
        return caller.send(plain_answer(status, body.is_null() ? "" : body.dump(),
                                        "Content-Type: application/json\r\nStore-Era: 1\r\n"));
    }

    std::pair<int, json> answer(const message& request)
    {
        std::unique_lock lock(this->guard);
        this->expire();
        const auto path = request.target.substr(0, request.target.find('?'));
        auto query = query_of(request.target);
        const auto last = path.substr(path.rfind('/') + 1);
        if (path == "/v1/kv-key") {
            const auto found = this->items.find(query["key"]);
            if (found == this->items.end()) {
                return {404, json{{"as-of", this->revision}}};
            }
            auto body = to_json(found->first, found->second);
            body["as-of"] = this->revision;
            return {200, body};
        }
        if (path == "/v1/kv-range") {
            json entries = json::array();
            for (const auto& [key, stored] : this->items) {
                if (key.starts_with(query["path-prefix"]) && key > query["after"]) {
                    entries.push_back(to_json(key, stored));
                }
            }
            return {200,
                    json{{"entries", entries}, {"truncated", false}, {"as-of", this->revision}}};
        }
        if (path == "/v1/kv-watch") {
            return {200, this->watch(lock, query)};
        }
        if (path == "/v1/kv-txn") {
            return this->transaction(json::parse(request.body));
        }
        if (path == "/v1/kv-lease") {
            const milliseconds time(json::parse(request.body).at("ttl-ms").get<int>());
            this->leases[++this->last_lease] = {time, clock_type::now() + time};
            return {200, json{{"lease", this->last_lease}, {"ttl-ms", time.count()}}};
        }
        const auto lease = this->leases.find(number(last));
        if (lease == this->leases.end()) {
            return {404, nullptr};
        }
        if (path.starts_with("/v1/kv-keep/")) {
            lease->second.end = clock_type::now() + lease->second.time;
            return {200, json{{"ttl-ms", lease->second.time.count()}}};
        }
        this->remove_keys_of(lease->first);
        this->leases.erase(lease);
        return {200, json::object()};
    }

    json watch(std::unique_lock<std::mutex>& lock, std::map<std::string, std::string>& query)
    {
        const auto prefix = query["path-prefix"];
        const auto after = number(query["after"]);
        const auto end = clock_type::now() + milliseconds(number(query["wait-ms"]));
        for (;;) {
            json events = json::array();
            auto first = std::lower_bound(
                this->history.begin(), this->history.end(), after + 1,
                [](const change& one, std::uint64_t wanted) { return one.revision < wanted; });
            for (; first != this->history.end(); ++first) {
                if (first->key.starts_with(prefix)) {
                    events.push_back(first->event);
                }
            }
            const auto now = clock_type::now();
            if (!events.empty() || now >= end) {
                return {{"events", events}, {"as-of", this->revision}};
            }
            this->changed.wait_for(lock,
                                   std::min<clock_type::duration>(end - now, milliseconds(200)));
            this->expire();
        }
    }

    std::pair<int, json> transaction(const json& body)
    {
        json states = json::array();
        bool holds = true;
        for (const auto& row : body.value("expect", json::array())) {
            const auto key = row.at("key").get<std::string>();
            const auto found = this->items.find(key);
            const auto present = found == this->items.end() ? 0 : found->second.revision;
            holds = holds && present == row.at("revision").get<std::uint64_t>();
            states.push_back(found == this->items.end()
                                 ? json{{"key", key}, {"revision", 0}, {"removed", true}}
                                 : to_json(key, found->second));
        }
        if (!holds) {
            return {412, json{{"entries", states}}};
        }
        for (const auto& put : body.value("puts", json::array())) {
            const auto lease = put.value("lease", std::uint64_t{0});
            if (lease != 0 && this->leases.count(lease) == 0) {
                return {404, nullptr};
            }
            this->write(put.at("key").get<std::string>(), put.at("value").get<std::string>(),
                        lease);
        }
        for (const auto& key : body.value("remove", json::array())) {
            this->erase(key.get<std::string>());
        }
        return {200, json{{"revision", this->revision}}};
    }

    struct change {
        std::uint64_t revision;
        std::string key;
        json event;
    };

    std::mutex guard;
    std::condition_variable changed;
    std::map<std::string, item> items;
    std::vector<change> history;
    std::map<std::uint64_t, lease_state> leases;
    std::uint64_t last_lease = 0;
    std::uint64_t revision = 100;
    http_server server;
};

// A router, started as the deploy file says, with settings made from its template.
class router_process {
public:
    router_process(std::string name, std::uint16_t store, const std::string& folder,
                   int memory_limit = 260)
        : own_name(std::move(name)), memory_mb(memory_limit),
          settings_path(folder + "/" + this->own_name + ".conf"),
          log_path(folder + "/" + this->own_name + ".log")
    {
        this->first_port = free_ports(4);
        std::ifstream source("deploy/settings.template");
        std::ofstream settings(this->settings_path);
        const std::map<std::string, std::string> values = {
            {"node-name", this->own_name},
            {"zone", "hall-a"},
            {"ip", "127.0.0.1"},
            {"listen.front", "127.0.0.1:" + std::to_string(this->callers_port())},
            {"listen.readiness", "127.0.0.1:" + std::to_string(this->first_port + 1)},
            {"port-range",
             std::to_string(this->first_port + 2) + "," + std::to_string(this->first_port + 3)},
            {"platform.address", "127.0.0.1:" + std::to_string(store)},
            {"bounds.config-apply-ms", "2000"},
            {"bounds.drain-ms", "2000"},
            {"bounds.grace-s", "8"},
            {"limits.link-mbps", "1000.0"},
            {"bounds.retry-budget-ratio", "0.9"},
            {"bounds.retry-allowance", "56"}};
        for (std::string line; std::getline(source, line);) {
            const auto open = line.find("{{");
            const auto close_at = line.find("}}");
            if (open != std::string::npos && close_at != std::string::npos) {
                const auto found = values.find(line.substr(open + 2, close_at - open - 2));
                line = line.substr(0, open) + (found == values.end() ? "" : found->second) +
                       line.substr(close_at + 2);
            }
            settings << line << "\n";
        }
        settings.close();
        this->start();
    }

    ~router_process() { this->kill_now(); }
    router_process(const router_process&) = delete;
    router_process& operator=(const router_process&) = delete;

    void start()
    {
        this->process = fork();
        if (this->process == 0) {
            prctl(PR_SET_PDEATHSIG, SIGKILL); // no router outlives its case
            if (std::freopen(this->log_path.c_str(), "a", stdout) == nullptr) {
                _exit(127);
            }
            const auto flags = "--flagfile=" + this->settings_path;
            const auto memory = "--platform_memory_mb=" + std::to_string(this->memory_mb);
            execl("target/pearhavend", "target/pearhavend", flags.c_str(), memory.c_str(), nullptr);
            _exit(127);
        }
    }

    void kill_now()
    {
        if (this->process > 0) {
            ::kill(this->process, SIGKILL);
            waitpid(this->process, nullptr, 0);
            this->process = -1;
        }
    }

    void signal(int number) const { ::kill(this->process, number); }

    // Whether the process still runs; its exit status, if it has ended, is in `status`.
    bool is_running(int& status)
    {
        if (this->process > 0 && waitpid(this->process, &status, WNOHANG) == this->process) {
            this->process = -1;
        }
        return this->process > 0;
    }

    // Resident memory in kilobytes, or its peak.
    [[nodiscard]] long memory(const std::string& field = "VmRSS:") const
    {
        std::ifstream status("/proc/" + std::to_string(this->process) + "/status");
        for (std::string line; std::getline(status, line);) {
            if (line.starts_with(field)) {
                return std::atol(line.c_str() + field.size());
            }
        }
        return 0;
    }

    [[nodiscard]] bool is_ready() const
    {
        connection probe(connect_to(static_cast<std::uint16_t>(this->first_port + 1)));
        if (!probe.is_open()) {
            return false;
        }
        probe.set_timeout(milliseconds(1000));
        probe.send("GET /v1/readyz HTTP/1.1\r\nHost: x\r\nConnection: close\r\n\r\n");
        return probe.read_message().status == 200;
    }

    bool wait_ready(seconds limit) const
    {
        const auto start = clock_type::now();
        while (!this->is_ready()) {
            if (clock_type::now() - start > limit) {
                return false;
            }
            std::this_thread::sleep_for(milliseconds(100));
        }
        return true;
    }

    [[nodiscard]] std::uint16_t callers_port() const { return this->first_port; }
    [[nodiscard]] const std::string& name() const { return this->own_name; }
    [[nodiscard]] int memory_limit_mb() const { return this->memory_mb; }

private:
    std::string own_name;
    int memory_mb;
    std::string settings_path;
    std::string log_path;
    std::uint16_t first_port = 0;
    pid_t process = -1;
};

// A server's entry in the store.
inline json endpoint_entry(const std::string& service, const std::string& address, int slots)
{
    const auto now = std::chrono::system_clock::now().time_since_epoch();
    return {
        {"service", service},     {"address", address},
        {"zone", "hall-a"},       {"version", "v1"},
        {"slots", slots},         {"phase", "ready"},
        {"cold-remaining-ms", 0}, {"born", std::chrono::duration_cast<milliseconds>(now).count()},
        {"sequence", 1}};
}

inline json limits_of_site()
{
    return {{"max-header-bytes", 16384},
            {"max-body-bytes", 4194304},
            {"header-timeout-ms", 3000},
            {"idle-timeout-ms", 15000}};
}

// Ends the case with its verdict, without waiting for threads that serve connections.
[[noreturn]] inline void end_case(int status)
{
    std::fflush(nullptr);
    _exit(status);
}

} // namespace review

#endif
