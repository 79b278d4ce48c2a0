#include "weight_loader.hpp"

#include "web_client.hpp"

#include <chrono>
#include <utility>

namespace pearhaven::standins {

namespace {

constexpr std::chrono::seconds retry_pause{1};
constexpr int status_ok = 200;

bool read_weights(const std::string& store, const std::string& version)
{
    const nlohmann::json body = {{"version", version}};
    return call(store, {"POST", "/v1/load", body.dump(), {}}).status == status_ok;
}

} // namespace

weight_loader::weight_loader(std::string store_address, loaded_hook loaded)
    : store(std::move(store_address)), on_loaded(std::move(loaded)), thread([this] { this->run(); })
{}

weight_loader::~weight_loader()
{
    {
        const std::lock_guard guard(this->mutex);
        this->stopping = true;
    }
    this->changed.notify_all();
    this->thread.join();
}

void weight_loader::start_read(const std::string& version)
{
    {
        const std::lock_guard guard(this->mutex);
        this->pending.insert(version);
    }
    this->changed.notify_all();
}

void weight_loader::cancel_read(const std::string& version)
{
    const std::lock_guard guard(this->mutex);
    this->pending.erase(version);
}

std::uint64_t weight_loader::failures() const
{
    const std::lock_guard guard(this->mutex);
    return this->failed;
}

void weight_loader::run()
{
    std::unique_lock lock(this->mutex);
    while (!this->stopping) {
        if (this->pending.empty()) {
            this->changed.wait(lock);
            continue;
        }
        const auto version = *this->pending.begin();
        lock.unlock();
        const bool read = read_weights(this->store, version);
        lock.lock();
        if (!read) {
            ++this->failed;
            this->changed.wait_for(lock, retry_pause);
        } else if (this->pending.erase(version) > 0) {
            lock.unlock();
            this->on_loaded(version);
            lock.lock();
        }
    }
}

} // namespace pearhaven::standins
