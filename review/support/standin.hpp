// Small stand-ins of the platform for the review's cases: its store, replicas and requesters, and
// the part that starts routers. Each connection has a thread of its own; all sockets block.
#ifndef PEARHAVEN_REVIEW_STANDIN_HPP
#define PEARHAVEN_REVIEW_STANDIN_HPP

#include <arpa/inet.h>
#include <fcntl.h>
#include <netinet/in.h>
#include <netinet/tcp.h>
#include <poll.h>
#include <signal.h>
#include <sys/resource.h>
#include <sys/socket.h>
#include <sys/time.h>
#include <sys/wait.h>
#include <unistd.h>

#include <algorithm>
#include <atomic>
#include <chrono>
#include <condition_variable>
#include <cstdarg>
#include <cstdio>
#include <cstdlib>
#include <cstring>
#include <fstream>
#include <functional>
#include <map>
#include <memory>
#include <mutex>
#include <set>
#include <sstream>
#include <stdexcept>
#include <string>
#include <thread>
#include <utility>
#include <vector>

#include <nlohmann/json.hpp>

namespace review {

using nlohmann::json;
using clock_type = std::chrono::steady_clock;
using std::chrono::milliseconds;

constexpr int exit_kept = 0;
constexpr int exit_broken = 1;
constexpr int exit_not_run = 2;

// The case could not run; `main_of` turns it into exit code 2.
struct cannot_run : std::runtime_error {
    using std::runtime_error::runtime_error;
};

inline const clock_type::time_point start_time = clock_type::now();

inline double seconds_now()
{
    return std::chrono::duration<double>(clock_type::now() - start_time).count();
}

inline void sleep_ms(int ms)
{
    std::this_thread::sleep_for(milliseconds(ms));
}

// The lines of record.txt.
class recorder {
public:
    void open(const std::string& path) { this->file.open(path, std::ios::trunc); }
    __attribute__((format(printf, 2, 3))) void line(const char* format, ...)
    {
        char text[2000];
        va_list arguments;
        va_start(arguments, format);
        std::vsnprintf(text, sizeof text, format, arguments);
        va_end(arguments);
        const std::lock_guard<std::mutex> lock(this->guard);
        char when[32];
        std::snprintf(when, sizeof when, "%9.3f s  ", seconds_now());
        this->file << when << text << std::endl;
    }

private:
    std::mutex guard;
    std::ofstream file;
};

inline recorder record;

inline bool has_trouble()
{
    const char* const value = std::getenv("TROUBLE");
    return value == nullptr || std::string(value) != "0";
}

// ---- HTTP ----

inline std::string lower(std::string text)
{
    for (auto& letter : text) {
        letter = static_cast<char>(std::tolower(static_cast<unsigned char>(letter)));
    }
    return text;
}

struct message {
    std::string start_line;
    std::map<std::string, std::string> fields; // names in lower case
    std::string body;
    bool complete = false;
    std::size_t raw_bytes = 0;

    [[nodiscard]] std::string field(const std::string& name) const
    {
        const auto found = this->fields.find(name);
        return found == this->fields.end() ? "" : found->second;
    }
    [[nodiscard]] int status() const
    {
        return this->start_line.size() < 12 ? 0 : std::atoi(this->start_line.c_str() + 9);
    }
    [[nodiscard]] std::string target() const
    {
        const auto begin = this->start_line.find(' ') + 1;
        return this->start_line.substr(begin, this->start_line.find(' ', begin) - begin);
    }
};

class connection {
public:
    explicit connection(int descriptor) : socket(descriptor) {}
    ~connection() { this->close(); }
    connection(const connection&) = delete;
    connection& operator=(const connection&) = delete;

    void close()
    {
        if (this->socket >= 0) {
            ::close(this->socket);
            this->socket = -1;
        }
    }

    // Closes with a reset.
    void reset()
    {
        const linger now{1, 0};
        setsockopt(this->socket, SOL_SOCKET, SO_LINGER, &now, sizeof now);
        this->close();
    }

    bool send(const std::string& bytes)
    {
        std::size_t sent = 0;
        while (sent < bytes.size()) {
            const auto count =
                ::send(this->socket, bytes.data() + sent, bytes.size() - sent, MSG_NOSIGNAL);
            if (count <= 0) {
                return false;
            }
            sent += static_cast<std::size_t>(count);
        }
        return true;
    }

    void set_timeout(int ms)
    {
        const timeval limit{ms / 1000, (ms % 1000) * 1000};
        setsockopt(this->socket, SOL_SOCKET, SO_RCVTIMEO, &limit, sizeof limit);
    }

    // Reads one message. `complete` is false if the connection ended or was silent before its end;
    // `raw_bytes` tells whether anything came.
    message read(bool is_response)
    {
        message read;
        std::size_t end;
        while ((end = this->buffer.find("\r\n\r\n")) == std::string::npos) {
            if (!this->fill()) {
                read.raw_bytes = this->buffer.size();
                read.start_line = this->buffer.substr(0, this->buffer.find('\r'));
                return read;
            }
        }
        read.raw_bytes = end;
        std::istringstream head(this->buffer.substr(0, end));
        this->buffer.erase(0, end + 4);
        std::string line;
        std::getline(head, line);
        read.start_line = line.substr(0, line.find('\r'));
        while (std::getline(head, line)) {
            line = line.substr(0, line.find('\r'));
            const auto colon = line.find(':');
            if (colon != std::string::npos) {
                auto value = line.substr(colon + 1);
                value.erase(0, value.find_first_not_of(' '));
                read.fields[lower(line.substr(0, colon))] = value;
            }
        }
        if (lower(read.field("transfer-encoding")) == "chunked") {
            read.complete = this->read_chunks(read.body);
            return read;
        }
        if (read.fields.count("content-length") > 0) {
            const auto length = std::stoul(read.field("content-length"));
            while (this->buffer.size() < length) {
                if (!this->fill()) {
                    return read;
                }
            }
            read.body = this->buffer.substr(0, length);
            this->buffer.erase(0, length);
            read.complete = true;
            return read;
        }
        if (is_response) {
            while (this->fill()) {
            }
            read.body = std::exchange(this->buffer, {});
        }
        read.complete = true;
        return read;
    }

    [[nodiscard]] int number() const { return this->socket; }
    [[nodiscard]] bool is_open() const { return this->socket >= 0; }

    // Whether the other end has closed or reset the connection.
    [[nodiscard]] bool is_gone() const
    {
        char byte;
        const auto count = recv(this->socket, &byte, 1, MSG_PEEK | MSG_DONTWAIT);
        return count == 0 || (count < 0 && errno != EAGAIN && errno != EWOULDBLOCK);
    }

private:
    bool fill()
    {
        char bytes[65536];
        const auto count = recv(this->socket, bytes, sizeof bytes, 0);
        if (count <= 0) {
            return false;
        }
        this->buffer.append(bytes, static_cast<std::size_t>(count));
        return true;
    }

    bool read_chunks(std::string& body)
    {
        for (;;) {
            std::size_t end;
            while ((end = this->buffer.find("\r\n")) == std::string::npos) {
                if (!this->fill()) {
                    return false;
                }
            }
            const auto size = std::stoul(this->buffer.substr(0, end), nullptr, 16);
            while (this->buffer.size() < end + 2 + size + 2) {
                if (!this->fill()) {
                    return false;
                }
            }
            body.append(this->buffer, end + 2, size);
            this->buffer.erase(0, end + 2 + size + 2);
            if (size == 0) {
                return true;
            }
        }
    }

    int socket;
    std::string buffer;
};

inline sockaddr_in loopback(int port)
{
    sockaddr_in address{};
    address.sin_family = AF_INET;
    address.sin_port = htons(static_cast<std::uint16_t>(port));
    address.sin_addr.s_addr = htonl(INADDR_LOOPBACK);
    return address;
}

// A connection to a port on the loopback address; -1 if it isn't established in time.
inline int connect_to(int port, int timeout_ms)
{
    const int made = socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC | SOCK_NONBLOCK, 0);
    const auto address = loopback(port);
    const int yes = 1;
    setsockopt(made, IPPROTO_TCP, TCP_NODELAY, &yes, sizeof yes);
    if (connect(made, reinterpret_cast<const sockaddr*>(&address), sizeof address) != 0) {
        pollfd waiting{made, POLLOUT, 0};
        int error = errno == EINPROGRESS ? 0 : errno;
        socklen_t size = sizeof error;
        if (error != 0 || poll(&waiting, 1, timeout_ms) != 1 ||
            getsockopt(made, SOL_SOCKET, SO_ERROR, &error, &size) != 0 || error != 0) {
            ::close(made);
            return -1;
        }
    }
    fcntl(made, F_SETFL, fcntl(made, F_GETFL) & ~O_NONBLOCK);
    return made;
}

// Listens on a free port; `serve` runs in a thread for each connection.
class server {
public:
    explicit server(std::function<void(connection&)> handler) : serve(std::move(handler))
    {
        this->listener = socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);
        auto address = loopback(0);
        socklen_t size = sizeof address;
        if (bind(this->listener, reinterpret_cast<const sockaddr*>(&address), size) != 0 ||
            listen(this->listener, 1024) != 0) {
            throw cannot_run("no port is free");
        }
        getsockname(this->listener, reinterpret_cast<sockaddr*>(&address), &size);
        this->own_port = ntohs(address.sin_port);
        std::thread([this] {
            for (;;) {
                const int accepted = accept4(this->listener, nullptr, nullptr, SOCK_CLOEXEC);
                if (accepted < 0) {
                    return;
                }
                const int yes = 1;
                setsockopt(accepted, IPPROTO_TCP, TCP_NODELAY, &yes, sizeof yes);
                std::thread([this, accepted] {
                    connection made(accepted);
                    this->serve(made);
                }).detach();
            }
        }).detach();
    }

    [[nodiscard]] int port() const { return this->own_port; }

private:
    std::function<void(connection&)> serve;
    int listener = -1;
    int own_port = 0;
};

inline std::string answer_text(int status, const std::string& fields, const std::string& body)
{
    return "HTTP/1.1 " + std::to_string(status) + " X\r\n" + fields +
           "Content-Length: " + std::to_string(body.size()) + "\r\n\r\n" + body;
}

// ---- The store ----

inline std::string base64(const std::string& bytes)
{
    static const char* const letters =
        "ABCDEFGHIJKLMNOPQRSTUVWXYZabcdefghijklmnopqrstuvwxyz0123456789+/";
    std::string text;
    for (std::size_t i = 0; i < bytes.size(); i += 3) {
        unsigned group = 0;
        for (std::size_t j = 0; j < 3; ++j) {
            group = group << 8U |
                    (i + j < bytes.size() ? static_cast<unsigned char>(bytes[i + j]) : 0U);
        }
        for (std::size_t j = 0; j < 4; ++j) {
            text += i + j <= bytes.size() ? letters[group >> (18U - 6U * j) & 63U] : '=';
        }
    }
    return text;
}

inline std::string percent_decoded(const std::string& text)
{
    std::string plain;
    for (std::size_t i = 0; i < text.size(); ++i) {
        if (text[i] == '%' && i + 2 < text.size()) {
            plain += static_cast<char>(std::stoi(text.substr(i + 1, 2), nullptr, 16));
            i += 2;
        } else {
            plain += text[i];
        }
    }
    return plain;
}

inline std::string parameter(const std::string& target, const std::string& name)
{
    auto at = target.find("?" + name + "=");
    at = at == std::string::npos ? target.find("&" + name + "=") : at;
    if (at == std::string::npos) {
        return "";
    }
    const auto begin = at + name.size() + 2;
    return percent_decoded(target.substr(begin, target.find('&', begin) - begin));
}

// The platform's store, as far as routers use it. It is never in trouble here.
class store {
public:
    store() : listening([this](connection& made) { this->serve(made); })
    {
        std::thread([this] {
            for (;;) {
                sleep_ms(50);
                this->end_leases();
            }
        }).detach();
    }

    [[nodiscard]] int port() const { return this->listening.port(); }

    void put(const std::string& key, const std::string& value)
    {
        const std::lock_guard<std::mutex> lock(this->guard);
        this->write(key, base64(value), 0);
    }
    void remove(const std::string& key)
    {
        const std::lock_guard<std::mutex> lock(this->guard);
        this->erase(key);
    }

    // Number of keys with that beginning.
    std::size_t count(const std::string& prefix)
    {
        const std::lock_guard<std::mutex> lock(this->guard);
        return static_cast<std::size_t>(
            std::count_if(this->items.begin(), this->items.end(),
                          [&](const auto& item) { return item.first.rfind(prefix, 0) == 0; }));
    }

private:
    struct item {
        std::string value; // base64
        std::uint64_t revision = 0;
        std::uint64_t created = 0;
        std::uint64_t lease = 0;
    };
    struct lease_state {
        clock_type::time_point ends;
        milliseconds time{};
    };
    struct change {
        std::uint64_t revision;
        std::string key;
        bool removed;
        item what;
    };

    static json to_json(const std::string& key, const item& what)
    {
        return {{"key", key},
                {"value", what.value},
                {"revision", what.revision},
                {"created", what.created},
                {"lease", what.lease}};
    }

    void write(const std::string& key, const std::string& value, std::uint64_t lease)
    {
        auto& known = this->items[key];
        known.value = value;
        known.revision = ++this->revision;
        known.created = known.created == 0 ? this->revision : known.created;
        known.lease = lease;
        this->history.push_back({this->revision, key, false, known});
        this->changed.notify_all();
    }

    void erase(const std::string& key)
    {
        if (this->items.erase(key) > 0) {
            this->history.push_back({++this->revision, key, true, {}});
            this->changed.notify_all();
        }
    }

    void end_leases()
    {
        const std::lock_guard<std::mutex> lock(this->guard);
        const auto now = clock_type::now();
        for (auto at = this->leases.begin(); at != this->leases.end();) {
            if (now < at->second.ends) {
                ++at;
                continue;
            }
            this->drop_keys_of(at->first);
            at = this->leases.erase(at);
        }
    }

    void drop_keys_of(std::uint64_t lease)
    {
        std::vector<std::string> keys;
        for (const auto& [key, what] : this->items) {
            if (what.lease == lease) {
                keys.push_back(key);
            }
        }
        for (const auto& key : keys) {
            this->erase(key);
        }
    }

    void serve(connection& made)
    {
        for (;;) {
            const auto call = made.read(false);
            if (!call.complete) {
                return;
            }
            const auto [status, body] = this->answer(call, made);
            if (!made.send(answer_text(status, "Content-Type: application/json\r\n",
                                       body.is_null() ? "" : body.dump()))) {
                return;
            }
        }
    }

    std::pair<int, json> answer(const message& call, const connection& made)
    {
        const auto target = call.target();
        const auto path = target.substr(0, target.find('?'));
        std::unique_lock<std::mutex> lock(this->guard);
        if (path == "/v1/kv-key") {
            const auto key = parameter(target, "key");
            const auto found = this->items.find(key);
            if (found == this->items.end()) {
                return {404, {{"as-of", this->revision}}};
            }
            auto body = to_json(key, found->second);
            body["as-of"] = this->revision;
            return {200, body};
        }
        if (path == "/v1/kv-range") {
            return {200, this->range(parameter(target, "path-prefix"), parameter(target, "after"))};
        }
        if (path == "/v1/kv-watch") {
            return this->watch(target, lock, made);
        }
        if (path == "/v1/kv-txn") {
            return this->transact(json::parse(call.body));
        }
        if (path == "/v1/kv-lease") {
            const auto ttl = json::parse(call.body).at("ttl-ms").get<int>();
            const auto number = ++this->last_lease;
            this->leases[number] = {clock_type::now() + milliseconds(ttl), milliseconds(ttl)};
            return {200, {{"lease", number}, {"ttl-ms", ttl}}};
        }
        const auto number = std::strtoull(path.c_str() + path.rfind('/') + 1, nullptr, 10);
        const auto lease = this->leases.find(number);
        if (lease == this->leases.end()) {
            return {404, json::object()};
        }
        if (path.rfind("/v1/kv-keep/", 0) == 0) {
            lease->second.ends = clock_type::now() + lease->second.time;
            return {200, {{"ttl-ms", lease->second.time.count()}}};
        }
        this->drop_keys_of(number);
        this->leases.erase(number);
        return {200, json::object()};
    }

    json range(const std::string& prefix, const std::string& after)
    {
        constexpr std::size_t page = 500;
        json entries = json::array();
        bool truncated = false;
        for (const auto& [key, what] : this->items) {
            if (key.rfind(prefix, 0) != 0 || (!after.empty() && key <= after)) {
                continue;
            }
            if (entries.size() == page) {
                truncated = true;
                break;
            }
            entries.push_back(to_json(key, what));
        }
        return {{"entries", entries}, {"truncated", truncated}, {"as-of", this->revision}};
    }

    std::pair<int, json> watch(const std::string& target, std::unique_lock<std::mutex>& lock,
                               const connection& made)
    {
        const auto prefix = parameter(target, "path-prefix");
        const auto after = std::stoull(parameter(target, "after"));
        const auto end = clock_type::now() + milliseconds(std::stoi(parameter(target, "wait-ms")));
        for (;;) {
            json events = json::array();
            for (const auto& one : this->history) {
                if (one.revision <= after || one.key.rfind(prefix, 0) != 0) {
                    continue;
                }
                events.push_back(
                    one.removed
                        ? json{{"key", one.key}, {"revision", one.revision}, {"removed", true}}
                        : to_json(one.key, one.what));
            }
            if (!events.empty() || clock_type::now() >= end || made.is_gone()) {
                return {200, {{"events", events}, {"as-of", this->revision}}};
            }
            this->changed.wait_until(lock, std::min(end, clock_type::now() + milliseconds(500)));
        }
    }

    std::pair<int, json> transact(const json& call)
    {
        bool holds = true;
        json states = json::array();
        for (const auto& row : call.value("expect", json::array())) {
            const auto key = row.at("key").get<std::string>();
            const auto found = this->items.find(key);
            const auto present = found == this->items.end() ? 0 : found->second.revision;
            holds = holds && present == row.at("revision").get<std::uint64_t>();
            if (found != this->items.end()) {
                states.push_back(to_json(key, found->second));
            }
        }
        if (!holds) {
            return {412, {{"entries", states}}};
        }
        for (const auto& put : call.value("puts", json::array())) {
            const auto lease = put.value("lease", std::uint64_t{0});
            if (lease != 0 && this->leases.count(lease) == 0) {
                return {404, json::object()};
            }
        }
        for (const auto& put : call.value("puts", json::array())) {
            this->write(put.at("key").get<std::string>(), put.at("value").get<std::string>(),
                        put.value("lease", std::uint64_t{0}));
        }
        for (const auto& key : call.value("remove", json::array())) {
            this->erase(key.get<std::string>());
        }
        return {200, {{"revision", this->revision}}};
    }

    std::mutex guard;
    std::condition_variable changed;
    std::map<std::string, item> items;
    std::vector<change> history;
    std::map<std::uint64_t, lease_state> leases;
    std::uint64_t revision = 1;
    std::uint64_t last_lease = 77000;
    server listening;
};

// ---- Routers ----

struct router_ports {
    int front = 0;
    int readiness = 0;
    int peers = 0;
};

inline bool is_free(int port)
{
    const int probe = socket(AF_INET, SOCK_STREAM, 0);
    const auto address = loopback(port);
    const bool bound =
        bind(probe, reinterpret_cast<const sockaddr*>(&address), sizeof address) == 0;
    ::close(probe);
    return bound;
}

// A port below the range of which the kernel takes its own.
inline int free_port()
{
    static std::mutex guard;
    static int next = 12000 + static_cast<int>(getpid() * 37U % 18000U);
    const std::lock_guard<std::mutex> lock(guard);
    for (;;) {
        next = next >= 31000 ? 12000 : next + 1;
        if (is_free(next)) {
            return next;
        }
    }
}

inline std::string read_file(const std::string& path)
{
    std::ifstream file(path);
    std::stringstream text;
    text << file.rdbuf();
    return text.str();
}

// A router, started with the command of the deploy file and a flag file made from the template.
class router {
public:
    router(std::string node, std::string zone_name, int store_port, std::string folder)
        : name(std::move(node)), zone(std::move(zone_name)), store_at(store_port),
          flag_file(folder + "/" + name + ".conf"), log_file(folder + "/" + name + ".log")
    {
        this->ports.front = free_port();
        this->ports.readiness = free_port();
        do {
            this->ports.peers = free_port();
        } while (!is_free(this->ports.peers + 1));
        free_port();
        this->write_settings();
    }
    ~router() { this->kill(); }
    router(const router&) = delete;
    router& operator=(const router&) = delete;

    void start()
    {
        const auto program = std::string("target/pearhavend");
        if (access(program.c_str(), X_OK) != 0) {
            throw cannot_run("target/pearhavend isn't built");
        }
        const auto flag = "--flagfile=" + this->flag_file;
        const pid_t parent = getpid();
        const pid_t child = fork();
        if (child == 0) {
            prctl_death(parent);
            const rlimit files{4100, 4100};
            setrlimit(RLIMIT_NOFILE, &files);
            const int log = open(this->log_file.c_str(), O_WRONLY | O_CREAT | O_APPEND, 0600);
            dup2(log, 1);
            dup2(log, 2);
            execl(program.c_str(), program.c_str(), flag.c_str(), nullptr);
            _exit(127);
        }
        this->process = child;
        record.line("router %s started", this->name.c_str());
    }

    // Whether the router answers the readiness check.
    [[nodiscard]] bool is_ready() const
    {
        const int made = connect_to(this->ports.readiness, 1000);
        if (made < 0) {
            return false;
        }
        connection checked(made);
        checked.set_timeout(1000);
        checked.send("GET /v1/readyz HTTP/1.1\r\nHost: x\r\nConnection: close\r\n\r\n");
        return checked.read(true).status() == 200;
    }

    void wait_ready() const
    {
        for (int i = 0; i < 200; ++i) {
            if (this->is_ready()) {
                return;
            }
            sleep_ms(50);
        }
        throw cannot_run("router " + this->name + " doesn't become ready");
    }

    void kill()
    {
        const pid_t child = this->process.exchange(0);
        if (child > 0) {
            ::kill(child, SIGKILL);
            waitpid(child, nullptr, 0);
        }
    }

    void signal(int number) const { ::kill(this->process, number); }
    [[nodiscard]] bool is_alive() const
    {
        const pid_t child = this->process;
        return child > 0 && waitpid(child, nullptr, WNOHANG) == 0;
    }

    // Resident memory in bytes.
    [[nodiscard]] std::size_t memory() const
    {
        std::ifstream file("/proc/" + std::to_string(this->process) + "/statm");
        std::size_t total = 0;
        std::size_t resident = 0;
        file >> total >> resident;
        return resident * static_cast<std::size_t>(sysconf(_SC_PAGESIZE));
    }

    [[nodiscard]] pid_t id() const { return this->process; }

    std::string name;
    std::string zone;
    router_ports ports;

private:
    static void prctl_death(pid_t parent);

    void write_settings() const
    {
        const auto local = [](int port) { return "127.0.0.1:" + std::to_string(port); };
        const std::map<std::string, std::string> fields = {
            {"node-name", this->name},
            {"zone", this->zone},
            {"ip", "127.0.0.1"},
            {"listen.front", local(this->ports.front)},
            {"listen.readiness", local(this->ports.readiness)},
            {"port-range",
             std::to_string(this->ports.peers) + "," + std::to_string(this->ports.peers + 1)},
            {"platform.address", local(this->store_at)},
            {"bounds.config-apply-ms", "2000"},
            {"bounds.drain-ms", "2000"},
            {"bounds.grace-s", "8"},
            {"bounds.retry-budget-ratio", "0.9"},
            {"bounds.retry-allowance", "58"}};
        auto text = read_file("deploy/settings.template");
        if (text.empty()) {
            throw cannot_run("deploy/settings.template can't be read");
        }
        for (const auto& [field, value] : fields) {
            const auto placeholder = "{{" + field + "}}";
            for (auto at = text.find(placeholder); at != std::string::npos;
                 at = text.find(placeholder)) {
                text.replace(at, placeholder.size(), value);
            }
        }
        std::ofstream(this->flag_file) << text;
    }

    int store_at;
    std::string flag_file;
    std::string log_file;
    std::atomic<pid_t> process{0};
};

} // namespace review

#include <sys/prctl.h>

namespace review {

// A router ends with the program that started it, however that ends.
inline void router::prctl_death(pid_t parent)
{
    prctl(PR_SET_PDEATHSIG, SIGKILL);
    if (getppid() != parent) {
        _exit(127);
    }
}

// ---- Replicas and requesters ----

// One replica of a service: its registration and its server. `work` answers one request; it returns
// whether the connection stays open.
class replica {
public:
    using work_function =
        std::function<bool(replica& self, const message& request, connection& caller)>;

    replica(store& registry, std::string instance, std::string service_name, std::string zone_name,
            int slot_count, work_function answer)
        : id(std::move(instance)), service(std::move(service_name)), zone(std::move(zone_name)),
          slots(slot_count), kept(registry), work(std::move(answer)),
          listening([this](connection& made) { this->serve(made); })
    {}

    void enter(const std::string& phase = "ready")
    {
        this->kept.put("servers/" + this->id,
                       json{{"service", this->service},
                            {"address", "127.0.0.1:" + std::to_string(this->listening.port())},
                            {"zone", this->zone},
                            {"version", "v1"},
                            {"slots", this->slots},
                            {"phase", phase},
                            {"cold-remaining-ms", 0},
                            {"sequence", ++this->sequence}}
                           .dump());
    }

    const std::string id;
    const std::string service;
    const std::string zone;
    const int slots;

private:
    void serve(connection& made)
    {
        for (;;) {
            const auto request = made.read(false);
            if (!request.complete) {
                return;
            }
            const auto expected = request.field("expect-instance");
            if (!expected.empty() && expected != this->id) {
                made.send(
                    answer_text(421, "Not-Executed: 1\r\nInstance-Id: " + this->id + "\r\n", ""));
                continue;
            }
            if (!this->work(*this, request, made)) {
                return;
            }
        }
    }

    store& kept;
    work_function work;
    std::atomic<int> sequence{0};
    server listening;
};

inline std::string sealed_fields(const message& request)
{
    return "Attempt-Id: " + request.field("attempt-id") + "\r\nResponse-Seal: 3e1b." +
           request.field("attempt-id") + "\r\n";
}

// A temporary folder, removed at the end with what is in it.
class scratch_folder {
public:
    scratch_folder()
    {
        char name[] = "/tmp/pearhaven-review-XXXXXX";
        if (mkdtemp(name) == nullptr) {
            throw cannot_run("no temporary folder");
        }
        this->path = name;
    }
    ~scratch_folder()
    {
        for (const auto& file : this->files) {
            unlink(file.c_str());
        }
        rmdir(this->path.c_str());
    }
    void expect(const std::string& router_name)
    {
        this->files.push_back(this->path + "/" + router_name + ".conf");
        this->files.push_back(this->path + "/" + router_name + ".log");
    }
    std::string path;

private:
    std::vector<std::string> files;
};

// Runs the case, started in the repository's root with the folder of its record. Ends the process
// without waiting for the threads of the stand-ins.
inline int main_of(int count, char** arguments, const std::function<int()>& body)
{
    ::signal(SIGPIPE, SIG_IGN);
    const std::string folder = count > 1 ? arguments[1] : ".";
    record.open(folder + "/record.txt");
    int code = exit_not_run;
    try {
        code = body();
    } catch (const std::exception& error) {
        record.line("could not run: %s", error.what());
        std::fprintf(stderr, "could not run: %s\n", error.what());
    }
    record.line("exit code %d", code);
    std::fflush(nullptr);
    _exit(code);
}

} // namespace review

#endif
