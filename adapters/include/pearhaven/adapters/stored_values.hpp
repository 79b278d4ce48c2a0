#ifndef PEARHAVEN_ADAPTERS_STORED_VALUES_HPP
#define PEARHAVEN_ADAPTERS_STORED_VALUES_HPP

#include "pearhaven/coordination/bill_ledger.hpp"
#include "pearhaven/coordination/config_head.hpp"
#include "pearhaven/coordination/lease_holder.hpp"
#include "pearhaven/coordination/once_claims.hpp"
#include "pearhaven/coordination/registration.hpp"

#include <memory>

namespace pearhaven::adapters {

// JSON encoding of the values that coordination stores, readable by operators. Equal values have
// equal text; bytes that are not UTF-8 are replaced. Reading returns nothing, and never throws, for
// text that is not an encoding of the type with all its fields.
std::unique_ptr<coordination::config_head_codec> make_config_head_codec();
std::unique_ptr<coordination::bill_page_codec> make_bill_page_codec();
std::unique_ptr<coordination::member_codec> make_member_codec();
std::unique_ptr<coordination::duty_codec> make_duty_codec();

// Preserves the outcome of a claim byte for byte, even when it is not UTF-8, because a caller that
// resends its request is answered with it.
std::unique_ptr<coordination::claim_codec> make_claim_codec();

} // namespace pearhaven::adapters

#endif
