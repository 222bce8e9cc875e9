#ifndef JUJUBEHEAD_NODE_CALLER_HPP
#define JUJUBEHEAD_NODE_CALLER_HPP

#include <memory> // for shared_ptr

#include "jujubehead/core/change_log.hpp" // for TableSnapshot
#include "jujubehead/core/ids.hpp"        // for AccountId

namespace jujubehead::node {

/// @brief An authenticated caller, and the table that its request goes by.
struct Caller
{
  core::AccountId account;
  std::shared_ptr<const core::TableSnapshot> table;
};

} // namespace jujubehead::node

#endif // JUJUBEHEAD_NODE_CALLER_HPP
