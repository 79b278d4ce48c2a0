#include "request_limit.hpp"

namespace pearhaven::decision {

bool request_limit::on_answer(std::optional<double> stated, instant sent, instant now)
{
    if (!stated && (!this->current || sent <= this->stated_at)) {
        return false;
    }
    this->stated_at = stated ? now : this->stated_at;
    const bool changes = stated != this->current;
    this->current = stated;
    return changes;
}

} // namespace pearhaven::decision
