#include "pearhaven/adapters/http_client.hpp"

#include <future>

namespace pearhaven::adapters {

namespace {

class collecting_listener : public http_listener {
public:
    explicit collecting_listener(std::function<void(const http_answer&)> callback)
        : done(std::move(callback))
    {}

    void on_head(int /*status*/,
                 const std::vector<std::pair<std::string, std::string>>& headers) override
    {
        this->answer.headers = headers;
    }

    [[nodiscard]] bool on_body(std::string_view piece) override
    {
        this->answer.body += piece;
        return true;
    }

    void on_end(const http_result& result) override
    {
        this->answer.result = result;
        this->done(this->answer);
    }

private:
    std::function<void(const http_answer&)> done;
    http_answer answer;
};

} // namespace

exchange_number fetch(http_client& client, http_request request, std::size_t max_body,
                      std::function<void(const http_answer&)> done)
{
    request.max_body = max_body;
    return client.start(std::move(request), new collecting_listener(std::move(done)));
}

http_answer fetch_and_wait(http_client& client, http_request request, std::size_t max_body)
{
    std::promise<http_answer> answer;
    fetch(client, std::move(request), max_body,
          [&answer](const http_answer& received) { answer.set_value(received); });
    return answer.get_future().get();
}

} // namespace pearhaven::adapters
