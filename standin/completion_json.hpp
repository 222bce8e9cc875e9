#ifndef JUJUBEHEAD_STANDIN_COMPLETION_JSON_HPP
#define JUJUBEHEAD_STANDIN_COMPLETION_JSON_HPP

#include <cstddef>     // for size_t
#include <optional>    // for optional
#include <string>      // for string
#include <string_view> // for string_view

#include <nlohmann/json.hpp> // for json

#include "standin/engine_model.hpp" // for Run, RunRequest

namespace jujubehead::standin {

/// @brief Where an engine may fetch kept context.
struct ImportOrder
{
  std::string store; ///< `address:port`.
  std::string handle;
  std::string generation;
  std::size_t blocks = 0;
};

/// @brief A completion call, read from its body.
struct CompletionCall
{
  RunRequest run;
  std::optional<ImportOrder> import;
  std::string model;
  bool is_chat = false;
  bool stream = false;
  bool include_usage = false;
};

/// @return the text of a string, or a number or array as it is written.
[[nodiscard]] std::string
TextOf(const nlohmann::json& aValue);

/// @brief Reads the body of a completion or chat completion call.
/// @throws nlohmann::json::exception when it has another shape.
[[nodiscard]] CompletionCall
ParseCompletionCall(std::string_view aBody, bool aIsChat);

/// @brief Writes the replies to one call, in the API's shapes.
class CompletionWriter
{
public:
  CompletionWriter(const CompletionCall& aCall, const Run& aRun);

  /// @return the server-sent event of one token.
  [[nodiscard]] std::string TokenEvent(std::size_t aIndex) const;
  /// @return the events after the last token, with `[DONE]`.
  [[nodiscard]] std::string FinalEvents() const;
  /// @return the reply to a call that does not stream.
  [[nodiscard]] nlohmann::json Whole() const;

private:
  [[nodiscard]] nlohmann::json Envelope(std::string_view aKind) const;
  [[nodiscard]] nlohmann::json Usage() const;

  const Run* m_run;
  std::size_t m_first; // Index of the first token of this reply.
  bool m_is_chat;
  bool m_include_usage;
  std::string m_model;
  std::string m_before_token;
  std::string m_after_token;
};

} // namespace jujubehead::standin

#endif // JUJUBEHEAD_STANDIN_COMPLETION_JSON_HPP
