#ifndef JUJUBEHEAD_NET_OPENAI_REQUEST_HPP
#define JUJUBEHEAD_NET_OPENAI_REQUEST_HPP

#include <cstdint>     // for uint32_t
#include <optional>    // for optional
#include <string>      // for string
#include <string_view> // for string_view
#include <variant>     // for variant

#include <nlohmann/json.hpp> // for json

#include "jujubehead/core/ids.hpp"      // for ModelId
#include "jujubehead/net/api_error.hpp" // for ApiError

namespace jujubehead::net {

/// @brief A completion request, checked.
struct CompletionRequest
{
  core::ModelId model;
  /// The text that names the context: the prompt, or the messages as JSON.
  std::string prompt;
  /// What else may decide the tokens that a target makes of the prompt, such as
  /// tools; contexts are the same only if this is too. Empty for plain chats.
  std::string prompt_form;
  bool stream = false;
  bool include_usage = false;
  std::optional<std::uint32_t> max_tokens;
  /// What is passed on to the target; fields that are not known are kept.
  nlohmann::json body;
};

/// @brief Reads the body of `POST /v1/completions` or `/v1/chat/completions`.
/// @param aPath which of the two.
/// @return the request, or an error 400 that names the field at fault.
std::variant<CompletionRequest, ApiError>
ParseCompletion(std::string_view aPath, std::string_view aBody);

} // namespace jujubehead::net

#endif // JUJUBEHEAD_NET_OPENAI_REQUEST_HPP
