#ifndef JUJUBEHEAD_NODE_STATUS_HPP
#define JUJUBEHEAD_NODE_STATUS_HPP

#include <cstdint>     // for uint64_t, int64_t
#include <optional>    // for optional
#include <string>      // for string
#include <string_view> // for string_view
#include <vector>      // for vector

namespace jujubehead::node {

/// @brief A target that this instance owns.
struct OwnedTargetStatus
{
  std::string id;
  std::string model;
  std::uint64_t epoch = 0;
  std::uint64_t running = 0;  ///< Permits in use.
  std::uint64_t waiting = 0;  ///< Requests waiting for a permit.
  std::uint64_t reserved = 0; ///< Held for earlier permits not accounted for.
  std::uint64_t limit = 0;
  bool stopping = false;
  std::string data_centre;

  friend bool operator==(const OwnedTargetStatus&,
                         const OwnedTargetStatus&) = default;
};

/// @brief Requests that this instance runs at a target now.
struct RunsStatus
{
  std::string target;
  std::uint64_t requests = 0;
  std::string data_centre;

  friend bool operator==(const RunsStatus&, const RunsStatus&) = default;
};

/// @brief A store whose link this instance schedules.
struct OwnedStoreStatus
{
  std::string id;
  std::uint64_t epoch = 0;
  std::uint64_t queued_bytes = 0;
  bool stopping = false;

  friend bool operator==(const OwnedStoreStatus&,
                         const OwnedStoreStatus&) = default;
};

/// @brief A planned stop as this instance knows it.
struct StopStatus
{
  std::string kind;
  std::string id;
  std::int64_t deadline_ms = 0; ///< Since the epoch; 0: none.

  friend bool operator==(const StopStatus&, const StopStatus&) = default;
};

/// @brief What `/status` answers.
struct InstanceStatus
{
  std::string instance_id;
  std::string data_centre;
  std::string version; ///< Of the program.
  bool ready = false;
  std::string not_ready; ///< Why; empty when ready.
  std::uint64_t table_version = 0;
  std::uint64_t open_requests = 0; ///< Of callers, running or waiting.
  std::vector<OwnedTargetStatus> targets;
  std::vector<OwnedStoreStatus> stores;
  std::vector<RunsStatus> runs;
  std::vector<StopStatus> stops;

  friend bool operator==(const InstanceStatus&,
                         const InstanceStatus&) = default;
};

/// @return the status as JSON text.
std::string
ToJson(const InstanceStatus& aStatus);

/// @return the status in that text, or nothing. Parts that are missing stay
/// empty, and what is not known is passed over, so that programs of
/// neighbouring versions understand each other.
std::optional<InstanceStatus>
InstanceStatusFromJson(std::string_view aText);

} // namespace jujubehead::node

#endif // JUJUBEHEAD_NODE_STATUS_HPP
