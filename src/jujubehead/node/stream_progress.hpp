#ifndef JUJUBEHEAD_NODE_STREAM_PROGRESS_HPP
#define JUJUBEHEAD_NODE_STREAM_PROGRESS_HPP

#include <cstdint>     // for uint32_t, int64_t
#include <optional>    // for optional
#include <string>      // for string
#include <string_view> // for string_view

namespace jujubehead::node {

/// @brief Token counts that an answer reports of itself.
struct AnswerUsage
{
  std::uint32_t prompt_tokens = 0;
  std::uint32_t completion_tokens = 0;
  std::uint32_t cached_tokens = 0;
  std::uint32_t recomputed_tokens = 0;
  std::uint32_t imported_tokens = 0;
};

/// @brief Follows one streamed answer over the targets that serve it in turn.
///
/// Each event of a target's stream goes through Take(), which says what the
/// caller is to get. After a resume it drops what the caller has already, and
/// gives the events the id of the first stream, so that the caller sees one
/// answer.
class StreamProgress
{
public:
  /// @param aData the data of one event, without its field name.
  /// @return what to pass on; nothing when the caller has it already.
  /// @throws std::invalid_argument when it is no event of an answer, or when a
  /// resumed stream comes from another software version than the first one.
  std::optional<std::string_view> Take(std::string_view aData);

  /// @brief The next events come from a stream resumed at Tokens().
  void Resume()
  {
    m_resumed = true;
    m_is_version_checked = false;
  }
  /// @return whether a broken stream can go on at another target: every event
  /// so far carried at most one plain token.
  [[nodiscard]] bool CanResume() const { return m_plain; }
  /// @return tokens passed on; where a resumed stream has to begin.
  [[nodiscard]] std::uint32_t Tokens() const { return m_tokens; }
  /// @return whether the end mark was passed on: the answer is whole.
  [[nodiscard]] bool IsDone() const { return m_done; }
  [[nodiscard]] const std::optional<AnswerUsage>& Usage() const
  {
    return m_usage;
  }

private:
  struct Event;

  [[nodiscard]] bool Has(const Event& aEvent) const;
  /// @brief What two software versions write does not fit together.
  /// @throws std::invalid_argument
  void CheckSoftwareVersion(const std::string& aVersion);
  void Count(const Event& aEvent);

  std::uint32_t m_tokens = 0;
  bool m_plain = true;
  bool m_done = false;
  bool m_finished = false;
  bool m_role_sent = false;
  bool m_resumed = false;
  bool m_is_version_checked = false; ///< Of the present stream.
  /// `system_fingerprint` of the first stream; empty: it has none.
  std::string m_software_version;
  std::string m_id;
  std::int64_t m_created = 0;
  std::optional<AnswerUsage> m_usage;
  std::string m_rewritten;
};

/// @return the usage in an answer's JSON text, if it has one.
std::optional<AnswerUsage>
UsageOf(std::string_view aAnswer);

} // namespace jujubehead::node

#endif // JUJUBEHEAD_NODE_STREAM_PROGRESS_HPP
