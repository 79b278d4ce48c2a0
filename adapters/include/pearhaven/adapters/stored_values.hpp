#ifndef PEARHAVEN_ADAPTERS_STORED_VALUES_HPP
#define PEARHAVEN_ADAPTERS_STORED_VALUES_HPP

#include "pearhaven/coordination/bill_ledger.hpp"
#include "pearhaven/coordination/config_head.hpp"
#include "pearhaven/coordination/lease_holder.hpp"
#include "pearhaven/coordination/once_claims.hpp"
#include "pearhaven/coordination/registration.hpp"

#include <memory>

namespace pearhaven::adapters {

// The stored forms of coordination's values: JSON, so that operators can read them in the store.
// Equal values give equal text; bytes that are not UTF-8 are replaced. Text that is not such a
// value, with every field of its type, gives nothing, never an exception.
std::unique_ptr<coordination::config_head_codec> make_config_head_codec();
std::unique_ptr<coordination::bill_page_codec> make_bill_page_codec();
std::unique_ptr<coordination::member_codec> make_member_codec();
std::unique_ptr<coordination::duty_codec> make_duty_codec();

// A claim's outcome comes back byte for byte, also where it is not UTF-8: it is what a resending
// caller is answered with.
std::unique_ptr<coordination::claim_codec> make_claim_codec();

} // namespace pearhaven::adapters

#endif
