#ifndef JUJUBEHEAD_NET_API_ERROR_HPP
#define JUJUBEHEAD_NET_API_ERROR_HPP

#include <chrono>      // for milliseconds
#include <optional>    // for optional
#include <string>      // for string
#include <string_view> // for string_view

#include "jujubehead/net/http_message.hpp" // for HttpResponse

namespace jujubehead::net {

/// The reply header that carries the run state.
inline constexpr std::string_view kRunStateHeader = "X-Jujubehead-Run-State";

/// @brief Whether a refused request was run.
enum class RunState
{
  kNotRun,  ///< No byte of it reached a target.
  kUnknown, ///< It may have run, wholly or in part.
};

/// @return the name in replies: `not_run` or `unknown`.
std::string_view
Name(RunState aState);

/// @brief An error reply in the shape of the OpenAI API.
struct ApiError
{
  unsigned status = 500;
  std::string message;
  std::string type = "server_error"; ///< As the API names its error types.
  std::string param;                 ///< The field at fault; empty: none.
  std::string code;                  ///< For programs; empty: none.
  RunState run_state = RunState::kUnknown;
  /// When the caller may try again.
  std::optional<std::chrono::milliseconds> retry_after = std::nullopt;
};

/// @return the error's JSON text, `{"error":{...}}`, with its run state.
std::string
RenderBody(const ApiError& aError);

/// @return the reply: status, run state header, Retry-After (whole seconds,
/// rounded up) and JSON body.
HttpResponse
Render(const ApiError& aError);

/// @return the error for a request that there is no memory for: 503, not run.
ApiError
OverloadError();

} // namespace jujubehead::net

#endif // JUJUBEHEAD_NET_API_ERROR_HPP
