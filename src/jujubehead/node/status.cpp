#include "jujubehead/node/status.hpp"

#include <nlohmann/json.hpp> // for json

namespace jujubehead::node {

// Found by the JSON library, by these names.
NLOHMANN_DEFINE_TYPE_NON_INTRUSIVE_WITH_DEFAULT(OwnedTargetStatus,
                                                id,
                                                model,
                                                epoch,
                                                running,
                                                waiting,
                                                reserved,
                                                limit,
                                                stopping,
                                                data_centre)
NLOHMANN_DEFINE_TYPE_NON_INTRUSIVE_WITH_DEFAULT(RunsStatus,
                                                target,
                                                requests,
                                                data_centre)
NLOHMANN_DEFINE_TYPE_NON_INTRUSIVE_WITH_DEFAULT(OwnedStoreStatus,
                                                id,
                                                epoch,
                                                queued_bytes,
                                                stopping)
NLOHMANN_DEFINE_TYPE_NON_INTRUSIVE_WITH_DEFAULT(StopStatus,
                                                kind,
                                                id,
                                                deadline_ms)
NLOHMANN_DEFINE_TYPE_NON_INTRUSIVE_WITH_DEFAULT(InstanceStatus,
                                                instance_id,
                                                data_centre,
                                                version,
                                                ready,
                                                not_ready,
                                                table_version,
                                                open_requests,
                                                targets,
                                                stores,
                                                runs,
                                                stops)

std::string
ToJson(const InstanceStatus& aStatus)
{
  const nlohmann::json json = aStatus;
  return json.dump(-1, ' ', false, nlohmann::json::error_handler_t::replace);
}

std::optional<InstanceStatus>
InstanceStatusFromJson(std::string_view aText)
{
  try {
    return nlohmann::json::parse(aText).get<InstanceStatus>();
  } catch (const nlohmann::json::exception&) {
    return std::nullopt;
  }
}

} // namespace jujubehead::node
