#include "jujubehead/net/http1/message_parser.hpp"

#include <boost/asio/buffer.hpp>             // for const_buffer
#include <boost/beast/http/basic_parser.hpp> // for basic_parser

namespace jujubehead::net {
namespace {

namespace http = boost::beast::http;
using boost::system::error_code;
using Text = boost::beast::string_view;

constexpr unsigned kBadRequest = 400;
constexpr unsigned kTooLong = 413;
constexpr unsigned kHeadTooLong = 431;
constexpr std::string_view kHeadEnd = "\r\n\r\n";

unsigned
StatusOf(const error_code& aError)
{
  if (aError == http::error::header_limit) {
    return kHeadTooLong;
  }
  return aError == http::error::body_limit ? kTooLong : kBadRequest;
}

/// The library's parser, with what it reads collected.
template<bool kIsRequest>
class Collector : public http::basic_parser<kIsRequest>
{
public:
  explicit Collector(const MessageLimits& aLimits)
  {
    this->header_limit(aLimits.header_bytes);
    this->body_limit(aLimits.body_bytes);
    this->eager(true);
  }

  MessageHead head;
  std::string* body = nullptr; ///< Where bytes of the body go.

private:
  void on_request_impl(http::verb /*aVerb*/,
                       Text aMethod,
                       Text aTarget,
                       int aVersion,
                       error_code& /*aError*/) override
  {
    head.method = aMethod;
    head.target = aTarget;
    head.version = static_cast<unsigned>(aVersion);
  }
  void on_response_impl(int aStatus,
                        Text aReason,
                        int aVersion,
                        error_code& /*aError*/) override
  {
    head.status = static_cast<unsigned>(aStatus);
    head.reason = aReason;
    head.version = static_cast<unsigned>(aVersion);
  }
  void on_field_impl(http::field /*aField*/,
                     Text aName,
                     Text aValue,
                     error_code& /*aError*/) override
  {
    if (!m_head_ended) {
      head.headers.Add(aName, aValue);
    }
  }
  void on_header_impl(error_code& /*aError*/) override { m_head_ended = true; }
  void on_body_init_impl(const boost::optional<std::uint64_t>& /*aLength*/,
                         error_code& /*aError*/) override
  {
  }
  std::size_t on_body_impl(Text aBytes, error_code& /*aError*/) override
  {
    body->append(aBytes);
    return aBytes.size();
  }
  void on_chunk_header_impl(std::uint64_t /*aSize*/,
                            Text /*aExtensions*/,
                            error_code& /*aError*/) override
  {
  }
  std::size_t on_chunk_body_impl(std::uint64_t /*aLeft*/,
                                 Text aBytes,
                                 error_code& /*aError*/) override
  {
    body->append(aBytes);
    return aBytes.size();
  }
  void on_finish_impl(error_code& /*aError*/) override {}

  bool m_head_ended = false;
};

template<bool kIsRequest>
class Parser : public MessageParser
{
public:
  explicit Parser(const MessageLimits& aLimits)
    : m_limits(aLimits)
    , m_collector(aLimits)
  {
  }

  void SkipBody() { m_collector.skip(true); }

  std::size_t Put(std::string_view aBytes, std::string& aBody) override
  {
    std::size_t used = 0;
    while (used < aBytes.size() && !m_collector.is_done()) {
      const std::size_t step = PutSome(aBytes.substr(used), aBody);
      if (step == 0) {
        break;
      }
      used += step;
    }
    m_used += used;
    if (m_used > kMaxFramingFactor * m_limits.body_bytes +
                   2 * std::uint64_t(m_limits.header_bytes)) {
      throw MessageError("the body has too much framing", kTooLong);
    }
    // What is left cannot be read yet: the line of a chunk, or a trailer.
    if (HasHead() && !IsWhole() &&
        aBytes.size() - used > m_limits.header_bytes) {
      throw MessageError("the chunk line or the trailer is too long",
                         kHeadTooLong);
    }
    return used;
  }

  bool PutEnd() override
  {
    if (!m_collector.is_header_done() || !m_collector.need_eof()) {
      return IsWhole();
    }
    error_code error;
    m_collector.put_eof(error);
    return !error && IsWhole();
  }

  [[nodiscard]] bool HasHead() const override
  {
    return m_collector.is_header_done();
  }
  [[nodiscard]] bool IsWhole() const override { return m_collector.is_done(); }
  [[nodiscard]] const MessageHead& Head() const override
  {
    return m_collector.head;
  }
  [[nodiscard]] bool KeepsAlive() const override
  {
    return m_collector.keep_alive();
  }
  [[nodiscard]] bool EndsWithConnection() const override
  {
    return m_collector.need_eof();
  }

private:
  std::size_t PutSome(std::string_view aBytes, std::string& aBody)
  {
    if (!HasHead() && !HeadIsIn(aBytes)) {
      return 0;
    }
    m_collector.body = &aBody;
    error_code error;
    const std::size_t used = m_collector.put(
      boost::asio::const_buffer(aBytes.data(), aBytes.size()), error);
    if (error && error != http::error::need_more) {
      throw MessageError(error.message(), StatusOf(error));
    }
    if constexpr (!kIsRequest) {
      CheckReplyHead();
    }
    return used;
  }

  /// @throws MessageError.
  void CheckReplyHead()
  {
    if (m_is_head_checked || !HasHead()) {
      return;
    }
    m_is_head_checked = true;
    const auto fault = FaultOfReplyHead(Head().status, Head().headers);
    if (!fault.empty()) {
      throw MessageError(std::string(fault), kBadRequest);
    }
  }

  /// @return whether the whole head has come. @throws MessageError.
  [[nodiscard]] bool HeadIsIn(std::string_view aBytes) const
  {
    const std::size_t end = aBytes.find(kHeadEnd);
    const std::size_t size =
      end == std::string_view::npos ? aBytes.size() : end + kHeadEnd.size();
    if (size > m_limits.header_bytes) {
      throw MessageError("the header is too long", kHeadTooLong);
    }
    if (end == std::string_view::npos) {
      return false;
    }
    if constexpr (kIsRequest) {
      const auto fault = detail::FaultOfRequestHead(aBytes.substr(0, size));
      if (!fault.empty()) {
        throw MessageError(std::string(fault), kBadRequest);
      }
    }
    return true;
  }

  MessageLimits m_limits;
  Collector<kIsRequest> m_collector;
  bool m_is_head_checked = false;
  std::uint64_t m_used = 0; ///< Bytes of the message until now.
};

} // namespace

std::unique_ptr<MessageParser>
MessageParser::ForRequest(const MessageLimits& aLimits)
{
  return std::make_unique<Parser<true>>(aLimits);
}

std::unique_ptr<MessageParser>
MessageParser::ForReply(const MessageLimits& aLimits, bool aToHead)
{
  auto parser = std::make_unique<Parser<false>>(aLimits);
  if (aToHead) {
    parser->SkipBody();
  }
  return parser;
}

} // namespace jujubehead::net
