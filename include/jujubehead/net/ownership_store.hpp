#ifndef JUJUBEHEAD_NET_OWNERSHIP_STORE_HPP
#define JUJUBEHEAD_NET_OWNERSHIP_STORE_HPP

#include <memory> // for unique_ptr

#include <boost/asio/awaitable.hpp> // for awaitable

#include "jujubehead/core/ownership.hpp" // for WriteRows, ReadRows, RowsRead

namespace jujubehead::net {

class TableService;

/// @brief The rows of ownership, as the table service keeps them: items
/// `lease/<instance>#<number>` and `group/<id>`.
class OwnershipStore
{
public:
  /// @param aService outlives this.
  /// @param aTokenPrefix unique to this process; makes its writes' tokens.
  static std::unique_ptr<OwnershipStore> Create(TableService& aService,
                                                std::string aTokenPrefix);
  virtual ~OwnershipStore() = default;

  /// @brief Writes, and settles a lost answer. Throws nothing.
  virtual boost::asio::awaitable<core::WriteOutcome> Write(
    core::WriteRows aWrite) = 0;
  /// @brief Reads; a failure is said in the result. Throws nothing.
  virtual boost::asio::awaitable<core::RowsRead> Read(core::ReadRows aRead) = 0;
};

} // namespace jujubehead::net

#endif // JUJUBEHEAD_NET_OWNERSHIP_STORE_HPP
