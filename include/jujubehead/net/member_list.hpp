#ifndef JUJUBEHEAD_NET_MEMBER_LIST_HPP
#define JUJUBEHEAD_NET_MEMBER_LIST_HPP

#include <cstdint>     // for uint8_t, int64_t
#include <memory>      // for unique_ptr
#include <stdexcept>   // for runtime_error
#include <string>      // for string
#include <string_view> // for string_view
#include <vector>      // for vector

#include <boost/asio/awaitable.hpp> // for awaitable

#include "jujubehead/core/ids.hpp"           // for DataCentreId, ModelId
#include "jujubehead/core/runtime_clock.hpp" // for Duration

namespace jujubehead::net {

class HttpClient;

/// @brief What a member of the platform's list is.
enum class MemberKind : std::uint8_t
{
  kInstance,
  kTarget,
  kStore,
  kService,
};

/// @brief One member.
struct Member
{
  std::string id;
  MemberKind kind = MemberKind::kInstance;
  std::string address;      ///< `ip:port`.
  std::string peer_address; ///< `ip:port`; instances only.
  core::DataCentreId data_centre;
  core::ModelId model; ///< Targets; of plain services `service:NAME`.
  std::string service; ///< Plain services: the name.
  bool checks_fencing = false;
  bool leaving = false;

  friend bool operator==(const Member&, const Member&) = default;
};

/// @brief The platform's list, as it was at some time.
struct Members
{
  std::int64_t as_of_ms = 0; ///< Since the epoch.
  std::vector<Member> members;
};

/// @brief The list could not be read.
class MemberListError : public std::runtime_error
{
public:
  using std::runtime_error::runtime_error;
};

/// @return the list in that JSON text; members that are not understood are
/// left out. @throws MemberListError when it is no list at all.
Members
ParseMembers(std::string_view aJson);

/// @brief The platform's membership list. It lags and may be wrong.
class MemberList
{
public:
  /// @param aClient outlives this.
  static std::unique_ptr<MemberList> Create(
    HttpClient& aClient,
    std::string aAuthority,
    core::Duration aTimeout = std::chrono::seconds(2));
  virtual ~MemberList() = default;

  /// @throws MemberListError.
  virtual boost::asio::awaitable<Members> Read() = 0;
};

} // namespace jujubehead::net

#endif // JUJUBEHEAD_NET_MEMBER_LIST_HPP
