#include "jujubehead/node/models_page.hpp"

#include <string> // for string

#include <nlohmann/json.hpp> // for json

#include "jujubehead/net/api_error.hpp" // for ApiError, Render

namespace jujubehead::node {
namespace {

using Json = nlohmann::json;

constexpr std::string_view kOnePath = "/v1/models/";
constexpr std::string_view kServicePrefix = "service:";

Json
ModelJson(const core::TableRow& aRow)
{
  return { { "id", aRow.model.Text() },
           { "object", "model" },
           { "created", 0 },
           { "owned_by", "jujubehead" } };
}

bool
IsShown(const core::TableRow& aRow)
{
  return !aRow.model.View().starts_with(kServicePrefix);
}

net::HttpResponse
JsonReply(const Json& aJson)
{
  net::HttpResponse response;
  response.headers.Add("Content-Type", "application/json");
  response.body = aJson.dump();
  return response;
}

net::HttpResponse
NoSuchModel(std::string_view aModel)
{
  net::ApiError error;
  error.status = 404;
  error.message = "The model '" + std::string(aModel) + "' does not exist";
  error.type = "invalid_request_error";
  error.param = "model";
  error.code = "model_not_found";
  error.run_state = net::RunState::kNotRun;
  return net::Render(error);
}

} // namespace

net::HttpResponse
ModelsPage(const Caller& aCaller, std::string_view aPath)
{
  const auto rows = aCaller.table->table.RowsOf(aCaller.account);
  if (aPath.starts_with(kOnePath)) {
    const std::string_view wanted = aPath.substr(kOnePath.size());
    for (const auto& row : rows) {
      if (IsShown(*row) && row->model.View() == wanted) {
        return JsonReply(ModelJson(*row));
      }
    }
    return NoSuchModel(wanted);
  }
  Json list = Json::array();
  for (const auto& row : rows) {
    if (IsShown(*row)) {
      list.push_back(ModelJson(*row));
    }
  }
  return JsonReply({ { "object", "list" }, { "data", list } });
}

} // namespace jujubehead::node
