#ifndef JUJUBEHEAD_NODE_FORWARD_DIALECT_HPP
#define JUJUBEHEAD_NODE_FORWARD_DIALECT_HPP

#include <cstdint>     // for uint32_t, uint64_t
#include <optional>    // for optional
#include <string>      // for string
#include <string_view> // for string_view
#include <vector>      // for vector

#include "jujubehead/core/context/prompt.hpp"        // for Prompt
#include "jujubehead/core/finding.hpp"               // for Checked
#include "jujubehead/core/ids.hpp"                   // for TargetId
#include "jujubehead/core/routing/load_estimate.hpp" // for ReportedLoad
#include "jujubehead/core/runtime_clock.hpp"         // for Duration
#include "jujubehead/net/http1/message_parser.hpp"   // for MessageHead

namespace jujubehead::node {

/// @brief What a caller's header lines say.
struct CallerFacts
{
  std::string request_id;                  ///< May be empty.
  std::optional<std::string> key;          ///< Of a client account.
  std::optional<core::Duration> time_left; ///< That the caller will wait.
  std::optional<core::Prompt> prompt;
  std::string resume_after; ///< Last event the caller has; empty: none.
};

/// @brief Where a part of a prompt may be read from or is to be kept.
struct PartPlace
{
  std::string address;      ///< `ip:port` of a store; empty: none.
  std::uint64_t tokens = 0; ///< That are whole there.
};

/// @brief What a target is told with a request.
struct TargetCall
{
  core::TargetId target; ///< Any other one refuses the request.
  core::AccountId account;
  core::Duration time_left{};
  std::optional<std::uint32_t> urgency; ///< 0 to 9, 0 is the most urgent.
  std::optional<std::uint64_t> weight_version;
  std::string cache_scope; ///< Who may share cached parts; empty: none.
  std::vector<PartPlace> read_from; ///< For each part; may be empty.
  /// By the targets' clock, in ms: a read that has not ended is thrown away.
  std::optional<std::int64_t> read_until_ms;
  std::vector<PartPlace> keep_at; ///< For each part; may be empty.
  std::string resume_after;       ///< Empty: from the beginning.
};

/// @brief What a target's header lines say.
struct ReplyFacts
{
  bool is_signed = false; ///< The target vouches that this is its answer.
  bool not_run = false;   ///< The request has not run and will not.
  bool is_encoded = false;
  std::optional<std::string> request_id;
  std::optional<core::ReportedLoad> load;
  std::optional<std::uint64_t> weight_version;
  std::optional<core::Duration> keep_alive;
};

/// @brief The header lines by which callers, instances and targets speak. Names
/// and formats only; decisions are made by whoever asks.
class Dialect
{
public:
  virtual ~Dialect() = default;

  /// @return what the lines say, or what about them is not to be understood.
  [[nodiscard]] virtual core::Checked<CallerFacts> ReadCaller(
    const net::HttpHeaders& aHeaders) const = 0;
  [[nodiscard]] virtual ReplyFacts ReadReply(
    const net::MessageHead& aHead) const = 0;
  /// @return the lines that go to a target with a request.
  [[nodiscard]] virtual net::HttpHeaders LinesOf(
    const TargetCall& aCall) const = 0;
  /// @return the lines that an answer of this system's own carries.
  [[nodiscard]] virtual net::HttpHeaders LinesOfOwnAnswer(
    const std::string& aRequestId) const = 0;

  /// @return whether only this system may set a line; callers' are dropped.
  [[nodiscard]] virtual bool IsSetHere(std::string_view aName) const = 0;
  /// @return whether a line belongs to the request itself, so that no caller
  /// can have it dropped as one of its connection.
  [[nodiscard]] virtual bool BelongsToRequest(std::string_view aName) const = 0;
};

} // namespace jujubehead::node

#endif // JUJUBEHEAD_NODE_FORWARD_DIALECT_HPP
