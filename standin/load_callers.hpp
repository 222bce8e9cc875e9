#ifndef JUJUBEHEAD_STANDIN_LOAD_CALLERS_HPP
#define JUJUBEHEAD_STANDIN_LOAD_CALLERS_HPP

#include <cstddef> // for size_t
#include <cstdint> // for uint64_t
#include <iosfwd>  // for ostream
#include <memory>  // for unique_ptr
#include <random>  // for mt19937_64
#include <set>     // for set
#include <string>  // for string
#include <vector>  // for vector

#include <boost/asio/awaitable.hpp>  // for awaitable
#include <boost/asio/io_context.hpp> // for io_context

#include "jujubehead/net/http_client.hpp" // for HttpClient

namespace jujubehead::standin {

/// @brief Whom callers call, and how often.
struct LoadCallersOptions
{
  std::vector<std::string> instances; ///< `ip:port` each.
  double requests_per_second = 20;    ///< Without the poison request's.
  double poison_per_second = 0;       ///< Copies of the poison request.
  std::string poison;                 ///< Its body.
  bool changes_poison = false;        ///< Each copy has a body of its own.
  /// Part of their prompts instead; then no two of them are alike.
  std::string poison_part;
  std::string id_prefix = "r"; ///< Of the ids of requests.
  bool resumes = false;        ///< Streams that broke off are taken up again.
  std::uint64_t seed = 1;
};

/// @brief Callers that send requests to random instances and go on using their
/// open connections until those are closed.
///
/// Prompts go to `/chat/x`, calls that may be repeated to `/calls/x`, both at
/// host `a.example`; see EntryDeployment. A request that failed is not sent
/// again, but copies of the poison request go on as long as callers do.
class LoadCallers
{
public:
  /// @param aLog gets two lines for each request: Unix milliseconds, `sent`,
  /// kind, id, instance; and the same with `answered` and the status (0: none).
  /// A stream that broke off after an event gets one more, with `stream`: its
  /// kind, id, instance, whether it `goes_on` or `ends` there, and the software
  /// versions of its events.
  LoadCallers(boost::asio::io_context& aContext,
              LoadCallersOptions aOptions,
              std::ostream& aLog);

  void Start();

private:
  enum class Kind : std::uint8_t
  {
    kPrompt,
    kCall,
    kPoison,
  };

  /// What has come of a stream.
  struct Stream
  {
    std::string first_id; ///< Of the request that brought its first event.
    std::string last_event;
    std::set<std::string> versions; ///< Software that its events are of.
    unsigned status = 0;            ///< 0: it broke off.
  };

  boost::asio::awaitable<void> SendAll(bool aIsPoison, double aPerSecond);
  /// @brief Sends a prompt, and again at other instances while its stream
  /// breaks off.
  boost::asio::awaitable<void> SendStream(std::string aId,
                                          std::string aInstance);
  boost::asio::awaitable<void> ReadStream(net::HttpCall aCall,
                                          std::string aId,
                                          Stream& aStream);
  boost::asio::awaitable<void> Send(Kind aKind,
                                    std::string aId,
                                    std::string aInstance);
  net::HttpCall CallFor(Kind aKind,
                        const std::string& aId,
                        const std::string& aInstance);

  boost::asio::io_context& m_context;
  LoadCallersOptions m_options;
  std::ostream& m_log;
  std::unique_ptr<net::HttpClient> m_client;
  std::mt19937_64 m_random;
  std::uint64_t m_last_id = 0;
};

} // namespace jujubehead::standin

#endif // JUJUBEHEAD_STANDIN_LOAD_CALLERS_HPP
