#ifndef JUJUBEHEAD_NODE_FORWARD_HEADER_CODEC_HPP
#define JUJUBEHEAD_NODE_FORWARD_HEADER_CODEC_HPP

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

/// @brief Values of a caller's request headers.
struct CallerMetadata
{
  std::string request_id;                  ///< May be empty.
  std::optional<std::string> key;          ///< API key of a client account.
  std::optional<core::Duration> time_left; ///< Until the caller's time-out.
  std::optional<core::Prompt> prompt;
  std::string resume_after; ///< Last event received; empty: none.
  /// Id of the request that brought the first event of the stream to go on
  /// with; empty: unknown.
  std::string resumed_request;
};

/// @brief Where a part of a prompt may be read from or is to be stored.
struct PartLocation
{
  std::string address;      ///< `ip:port` of a store; empty: none.
  std::uint64_t tokens = 0; ///< Complete tokens held there.
};

/// @brief Values sent to a target with a request.
struct TargetCall
{
  core::TargetId target; ///< Any other target refuses the request.
  core::AccountId account;
  core::Duration time_left{};
  std::optional<std::uint32_t> urgency; ///< 0 to 9, 0 is the most urgent.
  std::optional<std::uint64_t> weight_version;
  /// Requests of the same scope share cached parts; empty: no sharing.
  std::string cache_scope;
  std::vector<PartLocation> read_from; ///< For each part; may be empty.
  /// Deadline of reads by the targets' clock, in ms; later ones are discarded.
  std::optional<std::int64_t> read_deadline_ms;
  std::vector<PartLocation> store_at; ///< For each part; may be empty.
  std::string resume_after;           ///< Empty: from the beginning.
};

/// @brief Values of a target's reply headers.
struct ReplyMetadata
{
  bool is_signed = false; ///< Carries a signature of the target.
  bool not_run = false;   ///< The request has not run and will not run.
  bool is_encoded = false;
  std::optional<std::string> request_id;
  std::optional<core::ReportedLoad> load;
  std::optional<std::uint64_t> weight_version;
  std::optional<core::Duration> keep_alive;
  /// For how long the target asks not to be sent requests again.
  std::optional<core::Duration> retry_after;
  /// Requests a second that the target takes from all instances together.
  std::optional<double> limit;
  /// The target is brittle: rejections in a second after which it falls over.
  std::optional<std::uint32_t> max_rejections;
  /// The target is about to leave; it says so in all its replies from then on.
  bool is_draining = false;
};

/// @brief Parses and formats the header lines between callers, instances and
/// targets. Names and formats only; it makes no decisions.
class HeaderCodec
{
public:
  virtual ~HeaderCodec() = default;

  /// @return the parsed values, or the reason why they are invalid.
  [[nodiscard]] virtual core::Checked<CallerMetadata> ParseCallerHeaders(
    const net::HttpHeaders& aHeaders) const = 0;
  [[nodiscard]] virtual ReplyMetadata ParseReplyHeaders(
    const net::MessageHead& aHead) const = 0;
  /// @return the header lines sent to a target with a request.
  [[nodiscard]] virtual net::HttpHeaders CallHeaders(
    const TargetCall& aCall) const = 0;
  /// @return the header lines of a response that no target produced.
  [[nodiscard]] virtual net::HttpHeaders LocalReplyHeaders(
    const std::string& aRequestId) const = 0;

  /// @return whether only the system may set a line; callers' are dropped.
  [[nodiscard]] virtual bool IsReserved(std::string_view aName) const = 0;
  /// @return whether a line of a target's reply concerns instances only: a
  /// caller would take it for a statement about the instance.
  [[nodiscard]] virtual bool IsForInstance(std::string_view aName) const = 0;
  /// @return whether a line is end-to-end, so that a caller cannot have it
  /// dropped by naming it in `Connection`.
  [[nodiscard]] virtual bool IsEndToEnd(std::string_view aName) const = 0;
};

} // namespace jujubehead::node

#endif // JUJUBEHEAD_NODE_FORWARD_HEADER_CODEC_HPP
