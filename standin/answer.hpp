#ifndef JUJUBEHEAD_STANDIN_ANSWER_HPP
#define JUJUBEHEAD_STANDIN_ANSWER_HPP

#include <cstddef>     // for size_t
#include <cstdint>     // for int64_t
#include <optional>    // for optional
#include <string>      // for string
#include <string_view> // for string_view
#include <vector>      // for vector

namespace jujubehead::standin {

/// @brief All that an answer may depend on.
struct AnswerInput
{
  std::string_view prompt; ///< The whole prompt text.
  std::string_view version;
  std::string_view adapter;
  std::int64_t seed = 0;
  std::optional<std::size_t> max_tokens;
  std::vector<std::string> stop; ///< The answer ends before any of these.
};

/// @brief A whole answer, token by token.
struct Answer
{
  std::vector<std::string> tokens;
  std::string_view finish_reason; ///< `stop` or `length`.
};

/// Most tokens of one answer.
inline constexpr std::size_t kMaxAnswerTokens = 32768;

/// @brief Works out the answer: the same input gives the same tokens anywhere.
/// Without `max_tokens` it has 16 to 63 tokens and ends with `stop`.
[[nodiscard]] Answer
MakeAnswer(const AnswerInput& aInput);

/// @return tokens of a text of that many bytes.
[[nodiscard]] constexpr std::size_t
TokensOfBytes(std::size_t aBytes)
{
  constexpr std::size_t kBytesPerToken = 4;
  return (aBytes + kBytesPerToken - 1) / kBytesPerToken;
}

} // namespace jujubehead::standin

#endif // JUJUBEHEAD_STANDIN_ANSWER_HPP
