#ifndef JUJUBEHEAD_NET_HTTP1_MESSAGE_PARSER_HPP
#define JUJUBEHEAD_NET_HTTP1_MESSAGE_PARSER_HPP

#include <cstddef>     // for size_t
#include <cstdint>     // for uint32_t, uint64_t
#include <memory>      // for unique_ptr
#include <stdexcept>   // for runtime_error
#include <string>      // for string
#include <string_view> // for string_view

#include "jujubehead/net/http_message.hpp" // for HttpHeaders

namespace jujubehead::net {

/// @brief The start line and the header lines of a message.
struct MessageHead
{
  std::string method;    ///< Of a request, as sent.
  std::string target;    ///< Of a request: path and query, as sent.
  unsigned status = 0;   ///< Of a reply.
  std::string reason;    ///< Of a reply.
  unsigned version = 11; ///< 10 or 11.
  HttpHeaders headers;
};

/// Interim replies (1xx) that are skipped before the final one.
inline constexpr int kMaxInterimReplies = 16;

/// @brief How long a message may be.
struct MessageLimits
{
  /// Of the header; also of each chunk's line and of the trailer.
  std::uint32_t header_bytes = 16U * 1024U;
  std::uint64_t body_bytes = 4UL * 1024UL * 1024UL;
};

/// A body with its framing may be this many times as long as a body may be:
/// more than chunks of one byte take, so that only chunk extensions and empty
/// lines exceed it.
inline constexpr std::uint64_t kMaxFramingFactor = 8;

/// @return what is wrong with the status and the headers of a reply, interim
/// ones included, of which the library's parser accepts more than there are;
/// empty: nothing.
[[nodiscard]] std::string_view
FaultOfReplyHead(unsigned aStatus, const HttpHeaders& aHeaders);

/// @brief Bytes that are no message, or one that is longer than allowed.
class MessageError : public std::runtime_error
{
public:
  MessageError(const std::string& aWhat, unsigned aStatus)
    : std::runtime_error(aWhat)
    , m_status(aStatus)
  {
  }
  /// @return the status that tells a caller what was wrong.
  [[nodiscard]] unsigned Status() const { return m_status; }

private:
  unsigned m_status;
};

/// @brief Reads one message from bytes as they come, with one reading of them:
/// what could be read in two ways is refused (two lengths, a length beside
/// chunks, lines that end otherwise than by CR LF, folded lines), and so is a
/// body in a transfer coding other than chunks, or a status that does not
/// exist. Header lines after a body in chunks are dropped.
///
/// @code
/// auto parser = MessageParser::ForRequest(limits);
/// std::string body;
/// input.erase(0, parser->Put(input, body));
/// if (parser->IsWhole()) { ... }
/// @endcode
class MessageParser
{
public:
  static std::unique_ptr<MessageParser> ForRequest(
    const MessageLimits& aLimits);
  /// @param aToHead whether the request was a HEAD, whose reply has no body.
  static std::unique_ptr<MessageParser> ForReply(const MessageLimits& aLimits,
                                                 bool aToHead);
  virtual ~MessageParser() = default;

  /// @brief Takes bytes up to the end of the message and appends what belongs
  /// to its body.
  /// @return how many bytes were used; the caller keeps the others.
  /// @throws MessageError.
  virtual std::size_t Put(std::string_view aBytes, std::string& aBody) = 0;
  /// @brief The connection ended in order.
  /// @return whether the message is whole by that.
  virtual bool PutEnd() = 0;

  [[nodiscard]] virtual bool HasHead() const = 0;
  [[nodiscard]] virtual bool IsWhole() const = 0;
  [[nodiscard]] virtual const MessageHead& Head() const = 0;
  /// @return whether the connection stays open after the message.
  [[nodiscard]] virtual bool KeepsAlive() const = 0;
  /// @return whether only the end of the connection ends the body.
  [[nodiscard]] virtual bool EndsWithConnection() const = 0;
};

namespace detail {

/// @return what is wrong with a request's head (its last line's end included);
/// empty when it can be read in one way only.
std::string_view
FaultOfRequestHead(std::string_view aHead);

} // namespace detail
} // namespace jujubehead::net

#endif // JUJUBEHEAD_NET_HTTP1_MESSAGE_PARSER_HPP
