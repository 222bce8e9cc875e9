#include "jujubehead/net/api_error.hpp"

#include <nlohmann/json.hpp> // for json

namespace jujubehead::net {
namespace {

using nlohmann::json;

json
TextOrNull(const std::string& aText)
{
  return aText.empty() ? json(nullptr) : json(aText);
}

} // namespace

std::string_view
Name(RunState aState)
{
  return aState == RunState::kNotRun ? "not_run" : "unknown";
}

std::string
RenderBody(const ApiError& aError)
{
  const json body = { { "error",
                        { { "message", aError.message },
                          { "type", aError.type },
                          { "param", TextOrNull(aError.param) },
                          { "code", TextOrNull(aError.code) },
                          { "run_state", Name(aError.run_state) } } } };
  // A message may quote bytes of a caller that are no UTF-8.
  return body.dump(-1, ' ', false, json::error_handler_t::replace);
}

HttpResponse
Render(const ApiError& aError)
{
  HttpResponse response;
  response.status = aError.status;
  response.headers.Add("Content-Type", "application/json");
  response.headers.Add(kRunStateHeader, Name(aError.run_state));
  if (aError.retry_after) {
    const auto seconds =
      std::chrono::ceil<std::chrono::seconds>(*aError.retry_after);
    response.headers.Add("Retry-After", std::to_string(seconds.count()));
  }
  response.body = RenderBody(aError);
  return response;
}

ApiError
OverloadError()
{
  ApiError error;
  error.status = 503;
  error.message = "The memory for requests is in use; try again later.";
  error.code = "overloaded";
  error.run_state = RunState::kNotRun;
  error.retry_after = std::chrono::seconds(1);
  return error;
}

} // namespace jujubehead::net
